#pragma once

#include "Model/Identifiers.h"
#include "Model/PeerMessage.h"

namespace trefoilwing {

/// Takes messages from other daemons. Calls come from the link's threads, in order for each peer's connection.
class PeerEvents {
public:
    virtual ~PeerEvents() = default;

    virtual void messageReceived(const DaemonId& from, PeerMessage) = 0;
};

/// Sends to other daemons. Calls return at once; a message may be lost, never altered.
class PeerLink {
public:
    virtual ~PeerLink() = default;

    virtual void send(const DaemonId& to, PeerMessage) = 0;
};

} // namespace trefoilwing
