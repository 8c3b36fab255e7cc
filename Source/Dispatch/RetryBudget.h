#pragma once

namespace trefoilwing {

/// Bounds repeats to a share of the work, so that they can't multiply a load that is too high already.
class RetryBudget {
public:
    /// Notes a request, which earns a part of a repeat.
    void earn();

    /// @return whether a repeat is allowed; if so it is spent.
    bool spend();

private:
    static constexpr double earnedByRequest = 0.1;
    static constexpr double mostRepeats = 20;

    double repeats_ = mostRepeats / 2;
};

} // namespace trefoilwing
