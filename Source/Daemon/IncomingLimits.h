#pragma once

#include "Intake/ConnectionBudget.h"
#include "Model/FleetSettings.h"

#include <cstddef>

namespace trefoilwing {

/// @return the maximum number of descriptors of this process: the lower one of the settings' and the system's limit.
size_t maxDescriptors(const FleetSettings&);

/// @param maxBody maximum size of one request's body; such a request is served even where the settings name little memory.
/// @return the bounds of a process's incoming connections that follow from its memory and its descriptors.
ConnectionLimits incomingLimits(const FleetSettings&, Bytes maxBody);

/// @return the maximum number of bytes of all answers of minions that are being received together.
Bytes maxMinionAnswers(const FleetSettings&);

} // namespace trefoilwing
