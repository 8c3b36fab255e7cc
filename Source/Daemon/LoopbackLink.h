#pragma once

#include "Ports/PeerLink.h"

namespace trefoilwing {

/// Delivers messages from this daemon to itself directly, and passes all others to the network.
///
/// The receiver handles a message on the sender's thread, and may send further messages to this daemon meanwhile.
class LoopbackLink : public PeerLink {
public:
    LoopbackLink(DaemonId self, PeerLink& remote, PeerEvents& local);

    void send(const DaemonId& to, PeerMessage) override;
    void broadcast(const std::vector<DaemonId>& to, const PeerMessage&) override;

private:
    DaemonId self_;
    PeerLink& remote_;
    PeerEvents& local_;
};

} // namespace trefoilwing
