#pragma once

namespace trefoilwing {

/// Limits retries to a share of the requests, so that retries can't amplify an overload.
class RetryBudget {
public:
    /// Adds the share of a retry that each request permits.
    void earn();

    /// Withdraws one retry if the budget allows it.
    /// @return whether it does.
    bool spend();

private:
    static constexpr double earnedByRequest = 0.1;
    static constexpr double mostRepeats = 20;

    double repeats_ = mostRepeats / 2;
};

} // namespace trefoilwing
