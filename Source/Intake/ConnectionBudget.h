#pragma once

#include "Base/StrongId.h"
#include "Model/Units.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace trefoilwing {

/// The number of an incoming connection, unique within a process.
using ConnectionId = StrongId<struct ConnectionIdTag, uint64_t>;

/// The number of a listener within a process.
using ListenerId = StrongId<struct ListenerIdTag, uint32_t>;

/// What a connection is waiting for.
enum class ConnectionPhase {
    /// The first byte of a request.
    Idle,
    /// The rest of a request line and header.
    Header,
    /// The rest of a body with its chunk headers and trailers.
    Body,
    /// The answer of this process.
    Serving,
    /// The peer, which has to read the answer.
    Sending,
};

/// Why a connection is closed by the budget.
enum class CloseReason {
    /// All connections together hold too many bytes.
    Memory,
    /// A newer connection needs the place.
    Connections,
    /// The process has no descriptor left.
    Descriptors,
    /// All places are held by connections whose requests are being served, so a new connection is refused.
    Refused,
    IdleTimeout,
    HeaderTimeout,
    BodyTimeout,
    SendTimeout,
};

constexpr size_t closeReasonCount = 8;

/// @return the name of a reason in log lines and metrics.
std::string_view nameOf(CloseReason);

/// @return the name of a phase in log lines.
std::string_view nameOf(ConnectionPhase);

/// The bounds of a process's incoming connections. No client that keeps to the limits of the platform reaches a timeout.
struct ConnectionLimits {
    /// Maximum number of bytes that all connections hold together.
    Bytes maxHeld { 64U << 20U };
    /// Maximum number of connections of all listeners together.
    size_t maxConnections = 4096;
    /// Clients give up connections that have been idle for 15 s, so a later close can't meet a request.
    absl::Duration idleTimeout = absl::Seconds(60);
    /// Clients send a header within 3 s.
    absl::Duration headerTimeout = absl::Seconds(10);
    absl::Duration bodyTimeout = absl::Seconds(30);
    absl::Duration sendTimeout = absl::Seconds(30);
};

/// A connection that must be closed, with what is known of it.
struct ConnectionClosure {
    ConnectionId connection;
    ListenerId listener;
    CloseReason reason;
    ConnectionPhase phase;
    Bytes held;
    /// The time that the connection has been in its phase.
    absl::Duration age;
};

/// Decides which incoming connections of a process are closed, so that their number and the bytes that they hold stay within
/// bounds and no connection waits for its peer without end.
///
/// A connection whose request is being served has no timeout here, since the service of each request has its own. It is
/// closed only when the others hold nothing more that could be released.
///
/// A closure that is returned has left the budget already. Not thread-safe.
class ConnectionBudget {
public:
    explicit ConnectionBudget(ConnectionLimits limits)
        : limits_(limits)
    {
    }

    /// @param maxConnections maximum number of connections of this listener.
    ListenerId addListener(size_t maxConnections);

    /// Makes room for one more connection of a listener: closes the least useful one if the listener or the process has no
    /// place left.
    /// @return the connections to close. If there is a closure with reason Refused, it stands for the new connection.
    std::optional<ConnectionClosure> makeRoom(ListenerId, absl::Time now);

    /// Releases a descriptor after the process ran out of them.
    /// @return the connection to close; nothing if all are being served.
    std::optional<ConnectionClosure> releaseDescriptor(absl::Time now);

    /// Adds a connection that is idle. Call makeRoom() before.
    ConnectionId open(ListenerId, absl::Time now);

    /// Records what a connection waits for and how many bytes it holds. Unknown connections are ignored.
    /// @return the connections to close because too many bytes are held.
    std::vector<ConnectionClosure> update(ConnectionId, ConnectionPhase, Bytes held, absl::Time now);

    /// Removes a connection that was closed for another reason. Unknown connections are ignored.
    void remove(ConnectionId);

    /// @return the connections to close because their peers have been waited for too long.
    std::vector<ConnectionClosure> expire(absl::Time now);

    size_t size() const { return connections_.size(); }
    Bytes held() const { return Bytes(held_); }

private:
    struct Connection {
        ListenerId listener;
        ConnectionPhase phase = ConnectionPhase::Idle;
        absl::Time since;
        uint64_t held = 0;
        /// Whether a request of this connection was answered.
        bool isProven = false;
    };
    struct Listener {
        size_t maxConnections = 0;
        size_t connections = 0;
    };
    using Connections = absl::flat_hash_map<ConnectionId, Connection>;

    /// @param listener restricts the choice to the connections of this listener.
    std::optional<ConnectionClosure> closeLeastUseful(std::optional<ListenerId> listener, CloseReason, absl::Time now);
    ConnectionClosure close(Connections::iterator, CloseReason, absl::Time now);
    Connections::iterator largest(absl::Time now);

    const ConnectionLimits limits_;
    std::vector<Listener> listeners_;
    Connections connections_;
    uint64_t lastId_ = 0;
    uint64_t held_ = 0;
};

} // namespace trefoilwing
