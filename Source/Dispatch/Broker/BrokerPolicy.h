#pragma once

#include <string>

namespace trefoilwing {

/// The names of the strategies that a slot broker uses.
struct BrokerPolicy {
    std::string jobOrder = "least-work";
    std::string backerOrder = "quota";
    std::string minionChoice = "patient";
    std::string reserve = "adaptive";
    std::string admission = "deadline";
    std::string ejection = "faults";
};

} // namespace trefoilwing
