#pragma once

#include "Ports/PeerLink.h"

#include <utility>
#include <vector>

namespace trefoilwing {

/// Records the messages that are sent to peers.
class RecordingPeers : public PeerLink {
public:
    void send(const DaemonId& to, PeerMessage message) override { sent.emplace_back(to, std::move(message)); }

    /// @return the recorded messages of one type, each with its receiver.
    template <typename T>
    std::vector<std::pair<DaemonId, T>> take() const
    {
        std::vector<std::pair<DaemonId, T>> found;
        for (const auto& [to, message] : sent) {
            if (const auto* typed = std::get_if<T>(&message))
                found.emplace_back(to, *typed);
        }
        return found;
    }

    std::vector<std::pair<DaemonId, PeerMessage>> sent;
};

} // namespace trefoilwing
