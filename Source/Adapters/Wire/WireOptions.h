#pragma once

#include "Model/Units.h"

#include <absl/time/time.h>

#include <cstddef>

namespace trefoilwing {

/// Limits of the connections between daemons.
struct WireOptions {
    /// Maximum size of one frame, without its header.
    Bytes maxFrame { 32U << 20U };
    /// Maximum total size of the frames queued for one peer; beyond it, the oldest are dropped.
    Bytes maxQueued { 32U << 20U };
    /// Maximum total size of the frames queued for all peers together; beyond it, the peer with the most loses its
    /// oldest.
    Bytes maxQueuedForAll { 256U << 20U };
    /// Frames that waited longer than this for a connection are dropped: their senders have timed out by then.
    absl::Duration maxQueueAge = absl::Seconds(10);
    /// Timeout for connecting, including the exchange of hellos.
    absl::Duration handshakeTimeout = absl::Seconds(3);
    /// The connection is closed when sent bytes stay unacknowledged for this long.
    absl::Duration sendTimeout = absl::Seconds(5);
    /// Interval at which an idle connection sends an empty frame.
    absl::Duration pingInterval = absl::Seconds(5);
    /// An incoming connection that receives nothing for this long is closed.
    absl::Duration receiveTimeout = absl::Seconds(16);
    absl::Duration firstBackoff = absl::Milliseconds(50);
    absl::Duration maxBackoff = absl::Seconds(2);
    /// Maximum number of incoming connections whose hello hasn't been accepted yet.
    size_t maxUnidentified = 64;
    /// Maximum number of incoming connections whose hello was accepted, and of known daemons.
    size_t maxIdentified = 4096;
    /// Maximum total size of the incomplete frames of all incoming connections; beyond it, the connection with the most is
    /// closed. One frame of the maximum size must fit.
    Bytes maxReceiving { 256U << 20U };
};

} // namespace trefoilwing
