#include "Dispatch/RetryBudget.h"

#include <algorithm>

namespace trefoilwing {

void RetryBudget::deposit()
{
    balance_ = std::min(balance_ + retriesPerRequest, maxRetries);
}

bool RetryBudget::tryWithdraw()
{
    if (balance_ < 1)
        return false;
    balance_ -= 1;
    return true;
}

} // namespace trefoilwing
