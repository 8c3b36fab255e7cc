#pragma once

#include "Model/BrokerMessages.h"

#include <absl/time/time.h>

#include <optional>

namespace trefoilwing {

/// Numbers an entry's updates to a service's broker, and filters out stale decisions of the broker.
class BrokerClient {
public:
    BrokerClient(ServiceId, DaemonRun self);

    /// Sets the daemon that hosts the broker. A new host gets the full state with the next update.
    void setBroker(std::optional<DaemonId>);
    const std::optional<DaemonId>& broker() const { return broker_; }

    /// @return whether the decisions belong to the current stream and directly follow the last ones.
    ///     After a gap, or on the broker's request, the next update carries the full state.
    bool accept(const DaemonId& from, const BrokerDecisions&);

    bool mustSendFullState() const { return mustSendFullState_; }

    /// @return whether an update is due even without changes, which makes lost messages detectable.
    bool isUpdateDue(absl::Time now) const { return broker_ && now >= lastUpdate_ + updateInterval; }
    absl::Time nextUpdate() const { return broker_ ? lastUpdate_ + updateInterval : absl::InfiniteFuture(); }

    /// @return the header of the next update; the caller adds the content.
    BrokerUpdate nextHeader(absl::Time now);

private:
    static constexpr absl::Duration updateInterval = absl::Seconds(1);

    ServiceId service_;
    DaemonRun self_;
    std::optional<DaemonId> broker_;
    uint64_t stream_ = 0;
    uint64_t sent_ = 0;
    uint64_t received_ = 0;
    bool mustSendFullState_ = true;
    absl::Time lastUpdate_ = absl::InfinitePast();
};

} // namespace trefoilwing
