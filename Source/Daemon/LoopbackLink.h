#pragma once

#include "Ports/PeerLink.h"

namespace trefoilwing {

/// Hands messages from this daemon to itself straight to its events, and passes the others on.
///
/// Receivers only take note of a message and leave its effects to their pumps, so this can't recurse.
class LoopbackLink : public PeerLink {
public:
    LoopbackLink(DaemonId self, PeerLink& others, PeerEvents& own);

    void send(const DaemonId& to, PeerMessage) override;

private:
    DaemonId self_;
    PeerLink& others_;
    PeerEvents& own_;
};

} // namespace trefoilwing
