#include "Control/CommandTime.h"

namespace trefoilwing {

namespace {

    /// Precision of an encoded time. A finer time in memory would differ between the leader and the followers.
    constexpr absl::Duration recordPrecision = absl::Microseconds(1);

    void stamp(ClaimRecord& record, absl::Time now)
    {
        record.claimedAt = now;
    }
    void stamp(OutcomeRecord& record, absl::Time now)
    {
        record.decidedAt = now;
    }
    void stamp(FoundingRecord& record, absl::Time now)
    {
        record.foundedAt = now;
    }
    void stamp(OwnerGoneRecord& record, absl::Time now)
    {
        record.decidedAt = now;
    }
    template <typename Timeless>
    void stamp(Timeless&, absl::Time) { }

} // namespace

void stampTime(Command& command, absl::Time now)
{
    const absl::Time precise = absl::UnixEpoch() + absl::Floor(now - absl::UnixEpoch(), recordPrecision);
    std::visit([&](auto& record) { stamp(record, precise); }, command);
}

} // namespace trefoilwing
