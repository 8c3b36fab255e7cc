#pragma once

#include <cstdint>

namespace trefoilwing {

/// A seeded random number generator.
class Random {
public:
    virtual ~Random() = default;

    /// @param bound the exclusive upper bound of the result; at least 1.
    /// @return a uniformly distributed number in [0, bound).
    virtual uint64_t below(uint64_t bound) = 0;

    /// @return a uniformly distributed number in [0, 1).
    virtual double unit() = 0;
};

} // namespace trefoilwing
