#include "Control/MemberProgress.h"

#include <algorithm>

namespace trefoilwing {

MemberProgress::MemberProgress(LogIndex nextIndex, absl::Time now)
    : nextIndex_(nextIndex)
    , lastContactAt_(now)
{
}

void MemberProgress::sent(uint64_t round, LogIndex lastIndex, absl::Time now)
{
    inFlight_.push_back({ round, now });
    nextIndex_ = LogIndex(lastIndex.value() + 1);
}

bool MemberProgress::answered(uint64_t round)
{
    const bool isInFlight = std::any_of(inFlight_.begin(), inFlight_.end(), [round](const Request& request) { return request.round == round; });
    // Requests before the answered one are lost or superseded.
    while (!inFlight_.empty() && inFlight_.front().round <= round) {
        lastContactAt_ = std::max(lastContactAt_, inFlight_.front().sentAt);
        inFlight_.pop_front();
    }
    return isInFlight;
}

void MemberProgress::accepted(LogIndex lastIndex)
{
    isProbing_ = false;
    matchIndex_ = std::max(matchIndex_, lastIndex);
    nextIndex_ = std::max(nextIndex_, LogIndex(matchIndex_.value() + 1));
}

void MemberProgress::rejected(LogIndex lastIndexHint)
{
    isProbing_ = true;
    inFlight_.clear();
    nextIndex_ = std::max(LogIndex(matchIndex_.value() + 1), std::min(nextIndex_, LogIndex(lastIndexHint.value() + 1)));
}

void MemberProgress::expire(absl::Time now, absl::Duration timeout)
{
    if (inFlight_.empty() || now - inFlight_.front().sentAt < timeout)
        return;
    isProbing_ = true;
    inFlight_.clear();
    nextIndex_ = LogIndex(matchIndex_.value() + 1);
}

} // namespace trefoilwing
