#include "Dispatch/BrokerClient.h"

#include <utility>

namespace trefoilwing {

BrokerClient::BrokerClient(ServiceId service, DaemonRun self)
    : service_(std::move(service))
    , self_(std::move(self))
{
}

void BrokerClient::setBroker(std::optional<DaemonId> broker)
{
    if (broker == broker_)
        return;
    broker_ = std::move(broker);
    needsWholeState_ = true;
}

bool BrokerClient::accept(const DaemonId& from, const BrokerDecisions& decisions)
{
    const bool isCurrent = broker_ == from && decisions.entry == self_ && decisions.stream == stream_;
    if (!isCurrent || needsWholeState_)
        return false;
    if (decisions.needsFullState || decisions.sequence != received_ + 1) {
        needsWholeState_ = true;
        return false;
    }
    received_ = decisions.sequence;
    return true;
}

BrokerUpdate BrokerClient::nextHeader(absl::Time now)
{
    if (needsWholeState_) {
        ++stream_;
        sent_ = 0;
        received_ = 0;
        needsWholeState_ = false;
    }
    lastUpdate_ = now;
    BrokerUpdate update;
    update.service = service_;
    update.entry = self_;
    update.stream = stream_;
    update.sequence = ++sent_;
    update.received = received_;
    return update;
}

} // namespace trefoilwing
