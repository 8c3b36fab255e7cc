#include "Daemon/LoopbackLink.h"

#include <utility>

namespace trefoilwing {

LoopbackLink::LoopbackLink(DaemonId self, PeerLink& remote, PeerEvents& local)
    : self_(std::move(self))
    , remote_(remote)
    , local_(local)
{
}

void LoopbackLink::send(const DaemonId& to, PeerMessage message)
{
    if (to == self_)
        local_.messageReceived(self_, std::move(message));
    else
        remote_.send(to, std::move(message));
}

} // namespace trefoilwing
