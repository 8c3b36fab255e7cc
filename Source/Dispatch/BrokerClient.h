#pragma once

#include "Model/BrokerMessages.h"

#include <absl/time/time.h>

#include <optional>

namespace trefoilwing {

/// Keeps an entry's stream of updates to a service's broker, and tells current decisions from stale ones.
class BrokerClient {
public:
    BrokerClient(ServiceId, DaemonRun self);

    /// Takes which daemon hosts the broker; another one than before gets the whole state.
    void setBroker(std::optional<DaemonId>);
    const std::optional<DaemonId>& broker() const { return broker_; }

    /// @return whether the decisions belong to the current stream and follow on the last ones.
    ///     A gap, or the broker's wish, makes the next update carry the whole state.
    bool accept(const DaemonId& from, const BrokerDecisions&);

    bool needsWholeState() const { return needsWholeState_; }

    /// @return whether an update is due although nothing changed, so that lost messages are noticed.
    bool isUpdateDue(absl::Time now) const { return broker_ && now >= lastUpdate_ + updateInterval; }
    absl::Time nextUpdate() const { return broker_ ? lastUpdate_ + updateInterval : absl::InfiniteFuture(); }

    /// @return the header of the next update; the caller adds what it tells.
    BrokerUpdate nextHeader(absl::Time now);

private:
    static constexpr absl::Duration updateInterval = absl::Seconds(1);

    ServiceId service_;
    DaemonRun self_;
    std::optional<DaemonId> broker_;
    uint64_t stream_ = 0;
    uint64_t sent_ = 0;
    uint64_t received_ = 0;
    bool needsWholeState_ = true;
    absl::Time lastUpdate_ = absl::InfinitePast();
};

} // namespace trefoilwing
