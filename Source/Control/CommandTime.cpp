#include "Control/CommandTime.h"

namespace trefoilwing {

namespace {

    void stamp(ClaimRecord& record, absl::Time now)
    {
        record.claimedAt = now;
    }
    void stamp(OutcomeRecord& record, absl::Time now)
    {
        record.decidedAt = now;
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
    std::visit([&](auto& record) { stamp(record, now); }, command);
}

} // namespace trefoilwing
