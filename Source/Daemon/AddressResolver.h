#pragma once

#include "Adapters/Wire/TcpPeerLink.h"

namespace trefoilwing {

/// Daemons of a fleet are named by their addresses and listen at one port.
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
