#include "Adapters/Beast/ConnectionGuard.h"

#include <chrono>
#include <utility>

namespace trefoilwing {

using boost::system::error_code;

namespace {

    /// Interval of the checks for timeouts, which are seconds long, and of the metrics.
    constexpr std::chrono::milliseconds sweepInterval { 1000 };
    /// Minimum interval of the log lines of one reason, since clients decide how often connections are closed.
    constexpr absl::Duration logInterval = absl::Seconds(5);

} // namespace

ConnectionGuard::ConnectionGuard(HttpLoop& loop, ConnectionLimits limits, ConnectionReports reports)
    : budget_(limits)
    , reports_(reports)
    , sweepTimer_(loop.context())
{
}

absl::Time ConnectionGuard::now()
{
    return absl::UnixEpoch() + absl::FromChrono(std::chrono::steady_clock::now().time_since_epoch());
}

ListenerId ConnectionGuard::addListener(std::string name, size_t maxConnections)
{
    listenerNames_.push_back(std::move(name));
    return budget_.addListener(maxConnections);
}

bool ConnectionGuard::admit(ListenerId listener)
{
    const std::optional<ConnectionClosure> closure = budget_.makeRoom(listener, now());
    if (closure)
        close(*closure);
    return !closure || closure->reason != CloseReason::Refused;
}

ConnectionId ConnectionGuard::open(ListenerId listener, GuardedConnection& connection)
{
    const ConnectionId id = budget_.open(listener, now());
    connections_[id] = &connection;
    scheduleSweep();
    return id;
}

void ConnectionGuard::update(ConnectionId id, ConnectionPhase phase, Bytes held)
{
    for (const ConnectionClosure& closure : budget_.update(id, phase, held, now()))
        close(closure);
}

void ConnectionGuard::remove(ConnectionId id)
{
    connections_.erase(id);
    budget_.remove(id);
}

void ConnectionGuard::releaseDescriptor()
{
    if (const std::optional<ConnectionClosure> closure = budget_.releaseDescriptor(now()))
        close(*closure);
}

void ConnectionGuard::close(const ConnectionClosure& closure)
{
    report(closure);
    const auto found = connections_.find(closure.connection);
    if (found == connections_.end())
        return;
    GuardedConnection* connection = found->second;
    connections_.erase(found);
    connection->closeNow();
}

void ConnectionGuard::report(const ConnectionClosure& closure)
{
    const std::string reason(nameOf(closure.reason));
    if (reports_.metrics)
        reports_.metrics->count("connections_closed", { {}, {}, TaskKindId(reason) }, 1);
    LoggedReason& logged = logged_.at(static_cast<size_t>(closure.reason));
    ++logged.closed;
    const absl::Time at = now();
    if (!reports_.log || at < logged.due)
        return;
    logged.due = at + logInterval;
    reports_.log->write(Severity::Warning, "connections_closed", { { "reason", reason }, { "closed", std::exchange(logged.closed, 0) }, { "listener", listenerNames_.at(closure.listener.value()) }, { "phase", std::string(nameOf(closure.phase)) }, { "held_bytes", closure.held.value() }, { "age_ms", static_cast<uint64_t>(absl::ToInt64Milliseconds(closure.age)) }, { "open", uint64_t { budget_.size() } }, { "open_bytes", budget_.held().value() } });
}

void ConnectionGuard::scheduleSweep()
{
    if (isSweeping_)
        return;
    isSweeping_ = true;
    sweepTimer_.expires_after(sweepInterval);
    sweepTimer_.async_wait([weak = weak_from_this()](error_code error) {
        const std::shared_ptr<ConnectionGuard> guard = weak.lock();
        if (error || !guard)
            return;
        guard->isSweeping_ = false;
        for (const ConnectionClosure& closure : guard->budget_.expire(now()))
            guard->close(closure);
        guard->publish();
        if (guard->budget_.size() > 0)
            guard->scheduleSweep();
    });
}

void ConnectionGuard::publish()
{
    if (!reports_.metrics)
        return;
    reports_.metrics->set("connections_open", {}, static_cast<double>(budget_.size()));
    reports_.metrics->set("connection_bytes", {}, static_cast<double>(budget_.held().value()));
}

} // namespace trefoilwing
