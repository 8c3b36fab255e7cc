#include "Daemon/LoopbackLink.h"

#include <utility>

namespace trefoilwing {

LoopbackLink::LoopbackLink(DaemonId self, PeerLink& others, PeerEvents& own)
    : self_(std::move(self))
    , others_(others)
    , own_(own)
{
}

void LoopbackLink::send(const DaemonId& to, PeerMessage message)
{
    if (to == self_)
        own_.messageReceived(self_, std::move(message));
    else
        others_.send(to, std::move(message));
}

} // namespace trefoilwing
