#pragma once

#include "Model/FleetMessages.h"

#include <absl/time/time.h>

#include <optional>
#include <set>

namespace trefoilwing {

/// A part of a job that the owner of a cell rejected, and what is wanted of another cell.
struct RejectedPart {
    ServiceId service;
    /// Resources that each task needs.
    ResourceVector need;
    uint32_t taskCount = 0;
    /// Of the job's route; lower numbers are more urgent.
    uint32_t priority = 0;
    /// Maximum expected wait of the part's last task with which the part still ends before it is useless.
    absl::Duration maxWait;
    /// Cells that any part of the job was offered to. An owner takes a second offer of a job for a new submission that
    /// replaces the first one.
    std::set<CellId> offeredCells;
    /// Data centres whose owners rejected a part because they are being evacuated; this entry may not have learned of it.
    std::set<DataCentreId> evacuated;
};

/// Chooses another cell for a rejected part. The calls don't block for long and may come from any thread.
class SecondChoice {
public:
    virtual ~SecondChoice() = default;

    /// @return the grant of the cell that is expected to start the part first; unset if no cell is expected to start it in
    /// time.
    virtual std::optional<CellGrant> chooseAgain(const RejectedPart&) = 0;
};

} // namespace trefoilwing
