#pragma once

#include "Placement/DispatchPolicy.h"

#include <absl/time/time.h>

namespace trefoilwing {

/// Whether a minion's own behaviour says that it can be given work.
///
/// A minion that doesn't answer, or fails or stalls what it is given, is left alone for a while, each
/// time longer, and then tried with one task at a time.
class MinionHealth {
public:
    explicit MinionHealth(const DispatchPolicy& policy)
        : policy_(policy)
    {
    }

    /// A run ended well.
    void worked();
    /// A run failed or stood still, and no other minion has failed the same task.
    void failed(absl::Time now);
    /// An order got an answer.
    void reached();
    /// An order got none.
    void missed(absl::Time now);

    /// Whether a look should be sent, where the minion doesn't answer.
    bool mayTry(absl::Time now) const { return now >= retryAt_; }
    bool isReachable() const { return misses_ < missesUntilUnreachable; }
    bool isEjected(absl::Time now) const { return now < ejectedUntil_; }
    /// Whether it must show with one run that it works again.
    bool isOnTrial() const { return isOnTrial_; }

private:
    static constexpr uint32_t missesUntilUnreachable = 2;

    const DispatchPolicy& policy_;
    uint32_t misses_ = 0;
    absl::Time retryAt_ = absl::InfinitePast();
    absl::Duration retryDelay_;
    uint32_t failures_ = 0;
    absl::Time ejectedUntil_ = absl::InfinitePast();
    absl::Duration ejection_;
    bool isOnTrial_ = false;
};

} // namespace trefoilwing
