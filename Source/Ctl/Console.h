#pragma once

#include <ostream>

namespace trefoilwing {

/// Where a command writes.
struct Console {
    std::ostream& out;
    std::ostream& err;
};

} // namespace trefoilwing
