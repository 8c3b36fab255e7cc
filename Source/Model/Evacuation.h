#pragma once

#include "Model/Identifiers.h"
#include "Model/Runs.h"

#include <cstdint>

namespace trefoilwing {

/// Identifies the latest order for a data centre: the index of its log record; 0 if there was none.
using EvacuationRevision = StrongId<struct EvacuationRevisionTag, uint64_t>;

/// Number of an operator's order at the keeper that received it.
using EvacuationOrderNumber = StrongId<struct EvacuationOrderNumberTag, uint64_t>;

/// Whether a data centre is evacuated: no task starts on its minions then.
struct Evacuation {
    DataCentreId dataCentre;
    EvacuationRevision revision;
    bool isEvacuated = false;

    friend bool operator==(const Evacuation&, const Evacuation&) = default;
};

} // namespace trefoilwing
