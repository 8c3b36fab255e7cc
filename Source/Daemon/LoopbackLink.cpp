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

void LoopbackLink::broadcast(const std::vector<DaemonId>& to, const PeerMessage& message)
{
    std::vector<DaemonId> others = to;
    const bool isToSelf = std::erase(others, self_) > 0;
    remote_.broadcast(others, message);
    if (isToSelf)
        local_.messageReceived(self_, message);
}

} // namespace trefoilwing
