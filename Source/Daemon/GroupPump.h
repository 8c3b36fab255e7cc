#pragma once

#include "Base/WorkSignal.h"
#include "Control/ReplicatedGroup.h"
#include "Dispatch/Pumped.h"

namespace trefoilwing {

/// Wakes a replicated group when it is due. Events may bring that forward, so it looks again often.
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
    static constexpr absl::Duration longestSleep = absl::Milliseconds(50);

    ReplicatedGroup& group_;
    WorkSignal signal_;
};

} // namespace trefoilwing
