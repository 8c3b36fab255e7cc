#pragma once

namespace trefoilwing {

/// Limits retries to a share of the requests, so that retries can't amplify an overload.
class RetryBudget {
public:
    /// Adds the share of a retry that each request permits.
    void deposit();

    /// Withdraws one retry if the budget allows it.
    /// @return whether it does.
    bool tryWithdraw();

private:
    static constexpr double retriesPerRequest = 0.1;
    static constexpr double maxRetries = 20;

    double balance_ = maxRetries / 2;
};

} // namespace trefoilwing
