#include "Placement/CellShard.h"

namespace trefoilwing {

CellShard::CellShard(const CellGrant& grant, const DispatchPolicy& policy, const JobOrder& order, CellPorts ports, const Evacuation& evacuation)
    : grant_(grant)
    , ports_(ports)
    , dispatcher_(grant, policy, order, ports.random, ports.clock.now())
    , evacuationRevision_(evacuation.revision)
{
    MutexLock lock(mutex_);
    // A new owner has begun no job that it might finish.
    dispatcher_.setEvacuated(evacuation.isEvacuated, false, ports_.clock.now());
}

template <typename Decide>
void CellShard::run(const Decide& decide)
{
    const absl::Time now = ports_.clock.now();
    {
        MutexLock lock(mutex_);
        decide(dispatcher_, now);
        queueEffects(dispatcher_.takeOutbox());
    }
    effects_.flush();
}

void CellShard::queueEffects(CellOutbox outbox)
{
    if (outbox.orders.empty() && outbox.messages.empty() && outbox.events.empty())
        return;
    effects_.add([this, outbox = std::move(outbox)] {
        // Stop orders are sent before the results that allow a caller to submit the job again.
        for (const auto& order : outbox.orders)
            std::visit([this](const auto& typed) { ports_.minions.send(grant_.cell, typed); }, order);
        for (const EntryMessage& message : outbox.messages)
            ports_.peers.send(message.entry, message.result);
        for (const CellEvent& event : outbox.events)
            ports_.log.write(Severity::Info, event.name, { { "request", event.requestId }, { "job", event.job.value() }, { "offer", event.offerNumber }, { "minion", event.minion.value() }, { "cell", nameOf(grant_.cell) }, { "epoch", grant_.epoch.value() }, { "why", event.detail } });
    });
}

void CellShard::setMinionsKnown(bool areAllKnown)
{
    run([&](CellDispatcher& dispatcher, absl::Time) { dispatcher.setMinionsKnown(areAllKnown); });
}

void CellShard::setEvacuated(const Evacuation& evacuation)
{
    run([&](CellDispatcher& dispatcher, absl::Time now) ABSL_NO_THREAD_SAFETY_ANALYSIS {
        if (evacuation.revision <= evacuationRevision_)
            return;
        evacuationRevision_ = evacuation.revision;
        dispatcher.setEvacuated(evacuation.isEvacuated, true, now);
    });
}

void CellShard::minionReported(const MinionReport& report)
{
    run([&](CellDispatcher& dispatcher, absl::Time now) { dispatcher.minionReported(report, now); });
}

void CellShard::minionEnded(const MinionInstance& instance)
{
    run([&](CellDispatcher& dispatcher, absl::Time now) { dispatcher.minionEnded(instance, now); });
}

void CellShard::minionForgotten(const MinionInstance& instance)
{
    run([&](CellDispatcher& dispatcher, absl::Time now) { dispatcher.minionForgotten(instance, now); });
}

void CellShard::offered(const JobOffer& offer, const DaemonId& entry)
{
    run([&](CellDispatcher& dispatcher, absl::Time now) { dispatcher.offered(offer, entry, now); });
}

void CellShard::cancelled(const JobCancel& cancel, const DaemonId& entry)
{
    run([&](CellDispatcher& dispatcher, absl::Time now) { dispatcher.cancelled(cancel, entry, now); });
}

void CellShard::entryHeartbeatReceived(const DaemonRun& entry, const std::optional<JobClaims>& claims)
{
    run([&](CellDispatcher& dispatcher, absl::Time now) { dispatcher.entryHeartbeatReceived(entry, claims, now); });
}

void CellShard::answered(const StartResult& result)
{
    run([&](CellDispatcher& dispatcher, absl::Time now) { dispatcher.answered(result, now); });
}

void CellShard::answered(const StopResult& result)
{
    run([&](CellDispatcher& dispatcher, absl::Time now) { dispatcher.answered(result, now); });
}

void CellShard::answered(const RenewResult& result)
{
    run([&](CellDispatcher& dispatcher, absl::Time now) { dispatcher.answered(result, now); });
}

void CellShard::tick()
{
    run([](CellDispatcher& dispatcher, absl::Time now) { dispatcher.tick(now); });
}

CellLoad CellShard::load() const
{
    MutexLock lock(mutex_);
    return dispatcher_.load(ports_.clock.now());
}

CellTotals CellShard::totals() const
{
    MutexLock lock(mutex_);
    return dispatcher_.totals();
}

bool CellShard::isSuperseded() const
{
    MutexLock lock(mutex_);
    return dispatcher_.isSuperseded();
}

bool CellShard::isIdle() const
{
    MutexLock lock(mutex_);
    return dispatcher_.isIdle();
}

size_t CellShard::jobCount() const
{
    MutexLock lock(mutex_);
    return dispatcher_.jobCount();
}

std::vector<InterferingPair> CellShard::interferingPairs() const
{
    MutexLock lock(mutex_);
    return dispatcher_.interferingPairs();
}

size_t CellShard::minionCount() const
{
    MutexLock lock(mutex_);
    return dispatcher_.minionCount();
}

} // namespace trefoilwing
