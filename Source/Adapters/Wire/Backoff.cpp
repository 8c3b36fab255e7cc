#include "Adapters/Wire/Backoff.h"

#include <algorithm>

namespace trefoilwing {

Backoff::Backoff(absl::Duration first, absl::Duration max, Random& random)
    : first_(first)
    , max_(max)
    , bound_(first)
    , random_(random)
{
}

absl::Duration Backoff::next()
{
    const absl::Duration wait = bound_ * (0.5 + random_.unit() / 2);
    bound_ = std::min(bound_ * 2, max_);
    return wait;
}

void Backoff::reset()
{
    bound_ = first_;
}

} // namespace trefoilwing
