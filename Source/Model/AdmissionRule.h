#pragma once

namespace trefoilwing {

/// How a cell owner decides which jobs it accepts.
enum class AdmissionRule {
    /// By the work ahead and the cores rounded down to whole tasks of average size (AverageWaitAdmission).
    AverageWait,
    /// By a forecast of the cell (CapacityAdmission).
    Capacity,
};

} // namespace trefoilwing
