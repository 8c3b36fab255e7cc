#pragma once

#include "Model/Identifiers.h"

#include <atomic>
#include <cstdint>

namespace trefoilwing {

/// Traffic statistics between this daemon and one peer.
struct PeerTraffic {
    DaemonId peer;
    bool isConnected = false;
    uint64_t connects = 0;
    uint64_t sentMessages = 0;
    uint64_t sentBytes = 0;
    /// Messages dropped because the queue was full or because they waited too long.
    uint64_t droppedMessages = 0;
    uint64_t receivedMessages = 0;
    uint64_t receivedBytes = 0;
    /// Messages of a type that this version doesn't know.
    uint64_t unknownMessages = 0;
    uint64_t malformedFrames = 0;
};

/// The counters of one peer, written by the link's thread and read by any thread.
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
