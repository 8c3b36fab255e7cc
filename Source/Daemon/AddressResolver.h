#pragma once

#include "Adapters/Wire/TcpPeerLink.h"

namespace trefoilwing {

/// Resolves daemons of a fleet: a daemon's id is its IP address, and all daemons listen on the same port.
class AddressResolver : public PeerResolver {
public:
    explicit AddressResolver(uint32_t port)
        : port_(static_cast<uint16_t>(port))
    {
    }

    std::optional<Endpoint> resolve(const DaemonId& daemon) const override { return Endpoint { daemon.value(), port_ }; }

private:
    const uint16_t port_;
};

} // namespace trefoilwing
