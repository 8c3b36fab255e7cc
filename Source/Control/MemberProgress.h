#pragma once

#include "Model/LogRecord.h"

#include <absl/time/time.h>

#include <deque>
#include <memory>
#include <optional>

namespace trefoilwing {

/// A leader's view of how far one other member has replicated the log.
class MemberProgress {
public:
    /// Maximum number of unanswered requests to one member.
    static constexpr size_t maxInFlight = 8;

    /// @param now counts as the time of the last contact, so that members have time to answer a new leader.
    MemberProgress(LogIndex nextIndex, absl::Time now);

    /// Index of the last entry that the member is known to store.
    LogIndex matchIndex() const { return matchIndex_; }
    LogIndex nextIndex() const { return nextIndex_; }
    /// Send time of the latest request that the member has answered.
    absl::Time lastContactAt() const { return lastContactAt_; }
    bool hasRequestInFlight() const { return !inFlight_.empty(); }
    /// Until the member has accepted a request, only one may be in flight. If it rejected several at
    /// once, each rejection would trigger as many new requests.
    bool canSend() const { return inFlight_.size() < (isProbing_ ? 1 : maxInFlight); }

    void sent(uint64_t round, LogIndex lastIndex, absl::Time now);
    /// @return whether the request was in flight; if not, the answer is late or a duplicate.
    bool answered(uint64_t round);
    void accepted(LogIndex lastIndex);
    /// @param lastIndexHint the member's hint: the last index where its log may match the leader's.
    void rejected(LogIndex lastIndexHint);

    /// Resends requests that weren't answered within the timeout, by resetting nextIndex().
    void expire(absl::Time now, absl::Duration timeout);

    /// The snapshot that is being sent; kept until the member has stored it.
    std::shared_ptr<const Snapshot> snapshot;
    uint32_t snapshotChunk = 0;

private:
    struct Request {
        uint64_t round;
        absl::Time sentAt;
    };

    LogIndex matchIndex_;
    LogIndex nextIndex_;
    absl::Time lastContactAt_;
    bool isProbing_ = true;
    std::deque<Request> inFlight_;
};

} // namespace trefoilwing
