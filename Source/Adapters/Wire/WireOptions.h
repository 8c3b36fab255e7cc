#pragma once

#include "Model/Units.h"

#include <absl/time/time.h>

#include <cstddef>

namespace trefoilwing {

/// The limits of the connections between daemons.
struct WireOptions {
    Bytes maxFrame { 32U << 20U };
    /// Of what waits for one peer; the oldest frames are dropped beyond it.
    Bytes maxQueued { 32U << 20U };
    /// Frames that waited longer than this for a connection are dropped: whoever sent them has given up.
    absl::Duration maxQueueAge = absl::Seconds(10);
    /// For connecting and for the hello.
    absl::Duration handshakeTimeout = absl::Seconds(3);
    /// Sent bytes that aren't acknowledged for this long end the connection.
    absl::Duration sendTimeout = absl::Seconds(5);
    /// An idle connection sends an empty frame this often.
    absl::Duration pingInterval = absl::Seconds(5);
    /// An incoming connection without a byte for this long is closed.
    absl::Duration receiveTimeout = absl::Seconds(16);
    absl::Duration firstBackoff = absl::Milliseconds(50);
    absl::Duration maxBackoff = absl::Seconds(2);
    /// Incoming connections that have not said who they are yet.
    size_t maxStrangers = 64;
};

} // namespace trefoilwing
