#pragma once

#include <algorithm>
#include <cstdint>

namespace trefoilwing {

/// The amounts of resources that a task needs or a minion offers.
struct ResourceVector {
    /// Thousandths of a core.
    int64_t milliCores = 0;
    int64_t memoryMb = 0;
    int64_t accelerators = 0;

    /// @return whether a task with the given needs fits into these resources.
    bool holds(const ResourceVector& need) const
    {
        return milliCores >= need.milliCores && memoryMb >= need.memoryMb && accelerators >= need.accelerators;
    }

    ResourceVector& operator+=(const ResourceVector& other)
    {
        milliCores += other.milliCores;
        memoryMb += other.memoryMb;
        accelerators += other.accelerators;
        return *this;
    }

    ResourceVector& operator-=(const ResourceVector& other)
    {
        milliCores -= other.milliCores;
        memoryMb -= other.memoryMb;
        accelerators -= other.accelerators;
        return *this;
    }

    friend bool operator==(const ResourceVector&, const ResourceVector&) = default;
};

} // namespace trefoilwing
