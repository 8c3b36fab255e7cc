#pragma once

#include "Base/StallFreeTime.h"
#include "Intake/GrantTable.h"
#include "Model/FleetMessages.h"
#include "Ports/SecondChoice.h"

#include <absl/time/time.h>

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace trefoilwing {

/// Chooses the cell that a job is sent to: the one expected to start it first, by the loads that the owners last
/// reported. A job is split over several cells if its last task is expected to start clearly sooner that way.
///
/// Tasks that this entry has sent since an owner's last report count as additional load.
class CellChooser {
public:
    /// Computes the cost of sending a job to an owner from the age of its last load report, on the scale of the expected
    /// wait.
    using ReportAgeCost = absl::Duration (*)(absl::Duration age);

    /// All ages up to the owner's time of silence cost the same.
    static absl::Duration noAgeCost(absl::Duration age);
    /// Reports that are later than owners send them cost more with each millisecond.
    static absl::Duration lateReportCost(absl::Duration age);

    explicit CellChooser(DataCentreId home, ReportAgeCost ageCost = noAgeCost)
        : home_(std::move(home))
        , ageCost_(ageCost)
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

    /// Chooses a cell for all tasks of a part that another cell rejected.
    /// @return the cell that is expected to start the part first; unset if none is expected to start it in time.
    std::optional<CellGrant> chooseAgain(const RejectedPart&, absl::Time now);

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
        /// Cost of the owner's last report being late.
        absl::Duration ageCost;
        /// Number of tasks of the job assigned to this cell so far.
        uint32_t taskCount;
    };

    std::vector<Candidate> candidates(const ServiceId&, int64_t taskMilliCores, uint32_t priority, absl::Time now);
    /// @return the expected wait of one more task, plus the penalties for a remote data centre, a late report and a split.
    absl::Duration marginalCost(const Candidate&, bool isFirst) const;

    bool isRecent(const CellStatus& status, absl::Time now) const;

    const DataCentreId home_;
    const ReportAgeCost ageCost_;
    StallFreeTime stallFreeTime_;
    GrantTable grants_;
    std::map<CellId, CellStatus> statuses_;
    std::set<DataCentreId> evacuated_;
};

} // namespace trefoilwing
