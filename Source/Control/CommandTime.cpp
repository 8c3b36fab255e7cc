#include "Control/CommandTime.h"

namespace trefoilwing {

namespace {

    /// What the encoding keeps of a time. A finer one would differ between the leader and the others.
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
