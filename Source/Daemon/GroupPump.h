#pragma once

#include "Base/WorkSignal.h"
#include "Control/ReplicatedGroup.h"
#include "Dispatch/Pumped.h"

namespace trefoilwing {

/// Wakes a replicated group when its next action is due. Events may make that earlier, so it checks at short intervals.
class GroupPump : public Pumped {
public:
    explicit GroupPump(ReplicatedGroup& group)
        : group_(group)
    {
    }

    absl::Time pump(absl::Time now) override;
    void waitForWork(absl::Duration longest) override;
    void wake() override { signal_.raise(); }

private:
    static constexpr absl::Duration maxSleep = absl::Milliseconds(50);

    ReplicatedGroup& group_;
    WorkSignal signal_;
};

} // namespace trefoilwing
