#pragma once

#include "Base/StallFreeTime.h"
#include "Model/FleetMessages.h"

#include <absl/time/time.h>

#include <map>
#include <vector>

namespace trefoilwing {

/// Decides which cell a job goes to: the one that would begin it first, by what the owners last told. A job is
/// split over several where its last task begins clearly sooner then.
///
/// What this entry has sent since an owner's last word is added to that word.
class CellChooser {
public:
    explicit CellChooser(DataCentreId home)
        : home_(std::move(home))
    {
    }

    /// @return whether the grant is newer than the one held.
    bool granted(const CellGrant&);
    void loadHeard(const CellLoad&, absl::Time now);
    /// This process ran late, so that loads waited unread.
    void recordDelay(absl::Duration lateness) { running_.recordDelay(lateness); }

    /// @param priority of the job's route; lower goes first.
    /// @return the cells that share the job's tasks; none where no owner is heard.
    std::vector<CellShare> choose(const ServiceId&, const ResourceVector& need, uint32_t taskCount, uint32_t priority, absl::Time now);

    const std::map<CellId, CellGrant>& grants() const { return grants_; }
    /// @return whether an owner of any cell is heard.
    bool hearsAnyOwner(absl::Time now) const;

private:
    struct Standing {
        CellLoad load;
        /// By the running time.
        absl::Time heardAt = absl::InfinitePast();
        int64_t sentMilliCores = 0;
    };

    struct Candidate {
        const CellGrant* grant;
        Standing* standing;
        /// Tasks that can start at once; below 0 so many go first.
        double placesAhead;
        /// Tasks of the job that were given to this cell.
        uint32_t taskCount;
    };

    std::vector<Candidate> candidates(const ServiceId&, int64_t taskMilliCores, uint32_t priority, absl::Time now);
    /// @return the expected wait of one more task, and what else it costs.
    absl::Duration costOfOneMore(const Candidate&, bool isFirst) const;

    bool isHeard(const Standing& standing, absl::Time now) const;

    const DataCentreId home_;
    StallFreeTime running_;
    std::map<CellId, CellGrant> grants_;
    std::map<CellId, Standing> standings_;
};

} // namespace trefoilwing
