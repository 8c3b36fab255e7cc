#pragma once

#include "Base/StallFreeTime.h"
#include "Intake/GrantTable.h"
#include "Model/FleetMessages.h"

#include <absl/time/time.h>

#include <map>
#include <set>
#include <vector>

namespace trefoilwing {

/// Chooses the cell that a job is sent to: the one expected to start it first, by the loads that the owners last
/// reported. A job is split over several cells if its last task is expected to start clearly sooner that way.
///
/// Tasks that this entry has sent since an owner's last report count as additional load.
class CellChooser {
public:
    explicit CellChooser(DataCentreId home)
        : home_(std::move(home))
    {
    }

    /// Records which daemon owns a cell.
    /// @return whether the grant is newer than the known one.
    bool granted(const CellGrant&);
    void loadReceived(const CellLoad&, absl::Time now);
    /// Sets whether no jobs may be sent to the cells of a data centre.
    void setEvacuated(const DataCentreId&, bool isEvacuated);
    /// Records that this process was delayed, so that received loads were read late. The delay doesn't count as silence
    /// of the owners.
    void recordDelay(absl::Duration lateness) { stallFreeTime_.recordDelay(lateness); }

    /// @param priority of the job's route; lower numbers are more urgent.
    /// @return the cells that share the job's tasks; empty if no owner of the service's cells has reported recently.
    std::vector<CellShare> choose(const ServiceId&, const ResourceVector& need, uint32_t taskCount, uint32_t priority, absl::Time now);

    const std::map<CellId, CellGrant>& grants() const { return grants_.all(); }
    /// @return whether the owner of any cell has reported its load recently.
    bool hasLiveOwner(absl::Time now) const;

private:
    struct CellStatus {
        CellLoad load;
        /// On the clock of stallFreeTime_.
        absl::Time receivedAt = absl::InfinitePast();
        int64_t sentMilliCores = 0;
    };

    struct Candidate {
        const CellGrant* grant;
        CellStatus* status;
        /// Number of tasks that can start at once; if negative, the number of tasks queued ahead.
        double freePlaces;
        /// Number of tasks of the job assigned to this cell so far.
        uint32_t taskCount;
    };

    std::vector<Candidate> candidates(const ServiceId&, int64_t taskMilliCores, uint32_t priority, absl::Time now);
    /// @return the expected wait of one more task, plus the penalties for a remote data centre and for a split.
    absl::Duration marginalCost(const Candidate&, bool isFirst) const;

    bool isRecent(const CellStatus& status, absl::Time now) const;

    const DataCentreId home_;
    StallFreeTime stallFreeTime_;
    GrantTable grants_;
    std::map<CellId, CellStatus> statuses_;
    std::set<DataCentreId> evacuated_;
};

} // namespace trefoilwing
