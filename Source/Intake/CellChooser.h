#pragma once

#include "Model/FleetMessages.h"

#include <absl/time/time.h>

#include <map>
#include <vector>

namespace trefoilwing {

/// Decides which cell a job goes to: the one that would begin it first, by what the owners last told. A job that
/// only several cells together can begin at once is split.
///
/// What this entry has sent since an owner's last word is added to that word.
class CellChooser {
public:
    explicit CellChooser(DataCentreId home)
        : home_(std::move(home))
    {
    }

    void granted(const CellGrant&);
    void loadHeard(const CellLoad&, absl::Time now);

    /// @return the cells that share the job: one, unless only several together have room for all its tasks now;
    ///         none where no owner is heard.
    std::vector<CellShare> choose(const ServiceId&, const Room& need, uint32_t taskCount, absl::Duration estimate, absl::Time now);

    const std::map<CellId, CellGrant>& grants() const { return grants_; }
    /// @return whether an owner of any cell is heard.
    bool hearsAnyOwner(absl::Time now) const;

private:
    struct Standing {
        CellLoad load;
        absl::Time heardAt = absl::InfinitePast();
        int64_t sentMilliCores = 0;
        int64_t sentCoreMs = 0;
    };

    struct Candidate {
        const CellGrant* grant;
        Standing* standing;
        absl::Duration wait;
        /// Tasks that can start at once.
        uint32_t freeTasks;
    };

    std::vector<Candidate> candidates(const ServiceId&, int64_t taskMilliCores, uint32_t taskCount, absl::Duration estimate, absl::Time now);
    absl::Duration expectedWait(const Standing&, int64_t milliCores, int64_t coreMs) const;

    const DataCentreId home_;
    std::map<CellId, CellGrant> grants_;
    std::map<CellId, Standing> standings_;
};

} // namespace trefoilwing
