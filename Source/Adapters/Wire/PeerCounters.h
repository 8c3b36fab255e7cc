#pragma once

#include "Model/Identifiers.h"

#include <atomic>
#include <cstdint>

namespace trefoilwing {

/// What has passed between this daemon and one peer.
struct PeerTraffic {
    DaemonId peer;
    bool isConnected = false;
    uint64_t connects = 0;
    uint64_t sentMessages = 0;
    uint64_t sentBytes = 0;
    /// Messages that made room in a full queue or waited for too long.
    uint64_t droppedMessages = 0;
    uint64_t receivedMessages = 0;
    uint64_t receivedBytes = 0;
    /// Messages of a kind that this version doesn't know.
    uint64_t unknownMessages = 0;
    uint64_t malformedFrames = 0;
};

/// The counters of one peer, written by the link's thread and read by any.
struct PeerCounters {
    std::atomic<bool> isConnected { false };
    std::atomic<uint64_t> connects { 0 };
    std::atomic<uint64_t> sentBytes { 0 };
    std::atomic<uint64_t> receivedMessages { 0 };
    std::atomic<uint64_t> receivedBytes { 0 };
    std::atomic<uint64_t> unknownMessages { 0 };
    std::atomic<uint64_t> malformedFrames { 0 };
};

} // namespace trefoilwing
