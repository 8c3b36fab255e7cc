#pragma once

#include "Model/LogRecord.h"

#include <absl/time/time.h>

#include <deque>
#include <memory>
#include <optional>

namespace trefoilwing {

/// What a leader knows of one other member.
class MemberProgress {
public:
    /// Requests that may be under way to one member at once.
    static constexpr size_t maxInFlight = 8;

    /// @param now counts as heard, so that a new leader has time to be answered.
    MemberProgress(LogIndex nextIndex, absl::Time now);

    /// The last entry that the member is known to keep.
    LogIndex matchIndex() const { return matchIndex_; }
    LogIndex nextIndex() const { return nextIndex_; }
    /// When the latest request that the member has answered was sent.
    absl::Time heardAt() const { return heardAt_; }
    bool isWaiting() const { return !inFlight_.empty(); }
    /// Until the member has accepted a request one is under way at once: were many refused, each
    /// refusal would bring forth as many again.
    bool canSend() const { return inFlight_.size() < (isProbing_ ? 1 : maxInFlight); }

    void sent(uint64_t round, LogIndex lastIndex, absl::Time now);
    /// @return whether the request was under way; if not, the answer is late or a duplicate.
    bool answered(uint64_t round);
    void accepted(LogIndex lastIndex);
    /// @param lastIndexWorthTrying the member's hint.
    void refused(LogIndex lastIndexWorthTrying);

    /// Sends again what hasn't been answered for so long.
    void expire(absl::Time now, absl::Duration timeout);

    /// The snapshot that is being sent, kept until the member has it.
    std::shared_ptr<const Snapshot> snapshot;
    uint32_t snapshotChunk = 0;

private:
    struct Request {
        uint64_t round;
        absl::Time sentAt;
    };

    LogIndex matchIndex_;
    LogIndex nextIndex_;
    absl::Time heardAt_;
    bool isProbing_ = true;
    std::deque<Request> inFlight_;
};

} // namespace trefoilwing
