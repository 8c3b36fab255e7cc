#pragma once

#include <ostream>

namespace trefoilwing {

/// The output streams of a command.
struct Console {
    std::ostream& out;
    std::ostream& err;
};

} // namespace trefoilwing
