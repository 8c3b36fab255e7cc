#include "Intake/ConnectionBudget.h"

#include <algorithm>
#include <array>
#include <tuple>

namespace trefoilwing {

namespace {

    struct TimeoutRow {
        ConnectionPhase phase;
        absl::Duration ConnectionLimits::*timeout;
        CloseReason reason;
    };

    constexpr std::array<TimeoutRow, 4> timeoutRows { {
        { ConnectionPhase::Idle, &ConnectionLimits::idleTimeout, CloseReason::IdleTimeout },
        { ConnectionPhase::Header, &ConnectionLimits::headerTimeout, CloseReason::HeaderTimeout },
        { ConnectionPhase::Body, &ConnectionLimits::bodyTimeout, CloseReason::BodyTimeout },
        { ConnectionPhase::Sending, &ConnectionLimits::sendTimeout, CloseReason::SendTimeout },
    } };

    /// Added to a connection's time in its phase when that weighs its bytes, so that a new connection has a weight too.
    constexpr absl::Duration minWeighedAge = absl::Milliseconds(1);

    /// @return the order in which connections are closed to make room. A connection that never sent a whole request is worth
    /// less than one whose client is known to keep to the protocol, and one that is idle less than one in use.
    int rankOf(ConnectionPhase phase, bool isProven)
    {
        if (phase == ConnectionPhase::Sending)
            return 3;
        if (!isProven)
            return 0;
        return phase == ConnectionPhase::Idle ? 1 : 2;
    }

} // namespace

std::string_view nameOf(CloseReason reason)
{
    static constexpr std::array<std::string_view, closeReasonCount> names { "memory", "connections", "descriptors", "refused", "idle_timeout", "header_timeout", "body_timeout", "send_timeout" };
    return names.at(static_cast<size_t>(reason));
}

std::string_view nameOf(ConnectionPhase phase)
{
    static constexpr std::array<std::string_view, 5> names { "idle", "header", "body", "serving", "sending" };
    return names.at(static_cast<size_t>(phase));
}

ListenerId ConnectionBudget::addListener(size_t maxConnections)
{
    listeners_.push_back({ maxConnections, 0 });
    return ListenerId(static_cast<uint32_t>(listeners_.size() - 1));
}

std::optional<ConnectionClosure> ConnectionBudget::makeRoom(ListenerId id, absl::Time now)
{
    const Listener& listener = listeners_.at(id.value());
    std::optional<ConnectionClosure> closure;
    if (listener.connections >= listener.maxConnections)
        closure = closeLeastUseful(id, CloseReason::Connections, now);
    else if (connections_.size() >= limits_.maxConnections)
        closure = closeLeastUseful(std::nullopt, CloseReason::Connections, now);
    else
        return std::nullopt;
    if (!closure)
        closure = ConnectionClosure { ConnectionId(), id, CloseReason::Refused, ConnectionPhase::Idle, Bytes(), absl::ZeroDuration() };
    return closure;
}

std::optional<ConnectionClosure> ConnectionBudget::releaseDescriptor(absl::Time now)
{
    return closeLeastUseful(std::nullopt, CloseReason::Descriptors, now);
}

ConnectionId ConnectionBudget::open(ListenerId listener, absl::Time now)
{
    const ConnectionId id(++lastId_);
    connections_[id] = { listener, ConnectionPhase::Idle, now, 0, false };
    ++listeners_.at(listener.value()).connections;
    return id;
}

std::vector<ConnectionClosure> ConnectionBudget::update(ConnectionId id, ConnectionPhase phase, Bytes held, absl::Time now)
{
    const auto found = connections_.find(id);
    if (found == connections_.end())
        return {};
    Connection& connection = found->second;
    if (connection.phase != phase) {
        connection.isProven = connection.isProven || connection.phase == ConnectionPhase::Sending;
        connection.phase = phase;
        connection.since = now;
    }
    held_ += held.value() - connection.held;
    connection.held = held.value();
    std::vector<ConnectionClosure> closures;
    while (held_ > limits_.maxHeld.value())
        closures.push_back(close(largest(now), CloseReason::Memory, now));
    return closures;
}

void ConnectionBudget::remove(ConnectionId id)
{
    const auto found = connections_.find(id);
    if (found == connections_.end())
        return;
    held_ -= found->second.held;
    --listeners_.at(found->second.listener.value()).connections;
    connections_.erase(found);
}

std::vector<ConnectionClosure> ConnectionBudget::expire(absl::Time now)
{
    std::vector<ConnectionClosure> closures;
    for (auto next = connections_.begin(); next != connections_.end();) {
        const auto each = next++;
        const auto* row = std::find_if(timeoutRows.begin(), timeoutRows.end(), [&](const TimeoutRow& r) { return r.phase == each->second.phase; });
        if (row != timeoutRows.end() && now - each->second.since >= limits_.*row->timeout)
            closures.push_back(close(each, row->reason, now));
    }
    return closures;
}

std::optional<ConnectionClosure> ConnectionBudget::closeLeastUseful(std::optional<ListenerId> listener, CloseReason reason, absl::Time now)
{
    auto least = connections_.end();
    const auto keyOf = [](Connections::const_iterator each) { return std::tuple(rankOf(each->second.phase, each->second.isProven), each->second.since, each->first); };
    for (auto each = connections_.begin(); each != connections_.end(); ++each) {
        if (each->second.phase == ConnectionPhase::Serving || (listener && each->second.listener != *listener))
            continue;
        if (least == connections_.end() || keyOf(each) < keyOf(least))
            least = each;
    }
    if (least == connections_.end())
        return std::nullopt;
    return close(least, reason, now);
}

ConnectionBudget::Connections::iterator ConnectionBudget::largest(absl::Time now)
{
    // A client that is slow on purpose holds its bytes for long, while a large request of an ordinary client passes quickly.
    const auto weightOf = [&](Connections::const_iterator each) {
        const absl::Duration age = now - each->second.since + minWeighedAge;
        return std::tuple(each->second.held > 0, each->second.phase != ConnectionPhase::Serving, static_cast<double>(each->second.held) * absl::ToDoubleMilliseconds(age), each->first);
    };
    auto largest = connections_.begin();
    for (auto each = connections_.begin(); each != connections_.end(); ++each) {
        if (weightOf(each) > weightOf(largest))
            largest = each;
    }
    return largest;
}

ConnectionClosure ConnectionBudget::close(Connections::iterator found, CloseReason reason, absl::Time now)
{
    const Connection& connection = found->second;
    const ConnectionClosure closure { found->first, connection.listener, reason, connection.phase, Bytes(connection.held), now - connection.since };
    remove(found->first);
    return closure;
}

} // namespace trefoilwing
