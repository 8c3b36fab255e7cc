#pragma once

#include <string>

namespace trefoilwing {

/// Names the strategies that a slot broker is made of.
struct BrokerPolicy {
    std::string jobOrder = "least-work";
    std::string backerOrder = "quota";
    std::string minionChoice = "patient";
    std::string reserve = "adaptive";
    std::string admission = "deadline";
    std::string ejection = "faults";
};

} // namespace trefoilwing
