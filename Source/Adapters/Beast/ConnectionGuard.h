#pragma once

#include "Adapters/Beast/HttpLoop.h"
#include "Intake/ConnectionBudget.h"
#include "Ports/EventLog.h"
#include "Ports/Metrics.h"

#include <absl/container/flat_hash_map.h>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <memory>
#include <string>
#include <vector>

namespace trefoilwing {

/// Where the guard reports what it closes. Both must outlive the event loop's thread.
struct ConnectionReports {
    EventLog* log = nullptr;
    Metrics* metrics = nullptr;
};

/// A connection that the guard can close.
class GuardedConnection {
public:
    virtual ~GuardedConnection() = default;

    /// Closes the connection. Must not call the guard, except for remove().
    virtual void closeNow() = 0;
};

/// Applies a ConnectionBudget to the incoming connections of all listeners of a process: closes what the budget decides, and
/// reports it. Used on the loop's thread only.
class ConnectionGuard : public std::enable_shared_from_this<ConnectionGuard> {
public:
    ConnectionGuard(HttpLoop&, ConnectionLimits, ConnectionReports);

    /// @param name of the listener in log lines. May be called before the loop starts.
    ListenerId addListener(std::string name, size_t maxConnections);

    /// Makes room for a new connection.
    /// @return whether it may be opened.
    bool admit(ListenerId);
    /// @param connection is kept until remove() or until the guard closes it.
    ConnectionId open(ListenerId, GuardedConnection& connection);
    /// May close connections, also this one.
    void update(ConnectionId, ConnectionPhase, Bytes held);
    void remove(ConnectionId);
    /// Closes a connection, since the process has run out of descriptors.
    void releaseDescriptor();

private:
    /// The log lines of one reason; the others are only counted.
    struct LoggedReason {
        absl::Time due = absl::InfinitePast();
        uint64_t closed = 0;
    };

    static absl::Time now();
    void close(const ConnectionClosure&);
    void report(const ConnectionClosure&);
    void scheduleSweep();
    void publish();

    ConnectionBudget budget_;
    const ConnectionReports reports_;
    std::vector<std::string> listenerNames_;
    absl::flat_hash_map<ConnectionId, GuardedConnection*> connections_;
    std::array<LoggedReason, closeReasonCount> logged_;
    boost::asio::steady_timer sweepTimer_;
    bool isSweeping_ = false;
};

} // namespace trefoilwing
