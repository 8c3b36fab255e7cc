#pragma once

#include "Model/Identifiers.h"
#include "Model/PeerMessage.h"

#include <vector>

namespace trefoilwing {

/// Receives messages from other daemons. Its methods are called on the
/// link's threads, in order for each peer's connection.
class PeerEvents {
public:
    virtual ~PeerEvents() = default;

    virtual void messageReceived(const DaemonId& from, PeerMessage) = 0;
};

/// Sends messages to other daemons. Calls don't block. Messages may be lost, but they are never corrupted.
class PeerLink {
public:
    virtual ~PeerLink() = default;

    virtual void send(const DaemonId& to, PeerMessage) = 0;

    /// Sends the same message to several daemons.
    virtual void broadcast(const std::vector<DaemonId>& to, const PeerMessage& message)
    {
        for (const DaemonId& daemon : to)
            send(daemon, message);
    }
};

} // namespace trefoilwing
