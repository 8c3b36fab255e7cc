#include "Dispatch/RetryBudget.h"

#include <algorithm>

namespace trefoilwing {

void RetryBudget::earn()
{
    repeats_ = std::min(repeats_ + earnedByRequest, mostRepeats);
}

bool RetryBudget::spend()
{
    if (repeats_ < 1)
        return false;
    repeats_ -= 1;
    return true;
}

} // namespace trefoilwing
