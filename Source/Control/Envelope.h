#pragma once

#include "Model/Identifiers.h"
#include "Model/PeerMessage.h"

namespace trefoilwing {

/// A message with its destination daemon.
struct Envelope {
    DaemonId to;
    PeerMessage message;

    friend bool operator==(const Envelope&, const Envelope&) = default;
};

} // namespace trefoilwing
