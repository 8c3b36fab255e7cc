#include "Daemon/EntryRole.h"

#include "Base/StableHash.h"
#include "Dispatch/Broker/QueueingSlotBroker.h"

#include <utility>

namespace trefoilwing {

EntryRole::EntryRole(EntryPorts ports, HttpMinionLinkOptions linkOptions)
    : ports_(ports)
    , submissions_(SubmissionCoordinatorPorts { ports.clock, ports.declarations, ports.directory, ports.ledger, *this, ports.peers })
    , minions_(std::move(linkOptions), *this)
{
    const DaemonRun self = ports.directory.self();
    for (size_t shard = 0; shard < shardCount; ++shard) {
        randoms_.push_back(std::make_unique<SeededRandom>(SeededRandom::freshSeed()));
        dispatch_.push_back(std::make_unique<DispatchShard>(self, DispatchPorts { minions_, ports.peers, submissions_, ports.metrics }));
        brokers_.push_back(std::make_unique<BrokerShard>(
            self, [this, shard](const ServiceDeclaration&) { return makeBroker(shard); }, ports.peers));
    }
    pumps_.push_back(std::make_unique<PumpThread>(submissions_, ports.clock));
    for (size_t shard = 0; shard < shardCount; ++shard) {
        pumps_.push_back(std::make_unique<PumpThread>(*dispatch_[shard], ports.clock));
        pumps_.push_back(std::make_unique<PumpThread>(*brokers_[shard], ports.clock));
    }
}

EntryRole::~EntryRole()
{
    stop();
}

void EntryRole::refreshServices(const std::vector<ServiceId>& removed)
{
    const MutexLock lock(refreshMutex_);
    const DaemonId self = ports_.directory.self().daemon;
    for (const ServiceId& service : removed) {
        shardOf(service).setBroker(service, std::nullopt);
        brokerShardOf(service).dropService(service);
    }
    for (const auto& declaration : ports_.declarations.all()) {
        const std::optional<DaemonId> broker = ports_.directory.brokerFor(declaration->service);
        brokerShardOf(declaration->service).setService(*declaration, broker == self, ports_.clock.now());
        shardOf(declaration->service).declare(*declaration, broker);
    }
}

void EntryRole::minionAnnounced(const MinionAnnouncement& announcement)
{
    const absl::Time now = ports_.clock.now();
    shardOf(announcement.service).minionAnnounced(announcement, now);
    brokerShardOf(announcement.service).minionAnnounced(announcement, now);
}

void EntryRole::minionRemoved(const ServiceId& service, const MinionId& minion)
{
    const absl::Time now = ports_.clock.now();
    shardOf(service).minionRemoved(service, minion, now);
    brokerShardOf(service).minionRemoved(service, minion, now);
}

void EntryRole::daemonPresumedDead(const DaemonRun& run)
{
    for (const auto& brokers : brokers_)
        brokers->entryRemoved(run, ports_.clock.now());
}

void EntryRole::resultsPosted(ResultBatch batch)
{
    // Attempt numbers are unique within one run of this daemon only, so results for an earlier run are dropped.
    if (batch.entry == ports_.directory.self())
        shardOf(batch.service).resultsPosted(batch.service, batch.minion, std::move(batch.results), ports_.clock.now());
}

void EntryRole::receive(const DaemonId&, const BrokerUpdate& update)
{
    brokerShardOf(update.service).entryUpdated(update, ports_.clock.now());
}

void EntryRole::receive(const DaemonId& from, const BrokerDecisions& decisions)
{
    shardOf(decisions.service).decisionsReceived(from, decisions, ports_.clock.now());
}

void EntryRole::receive(const DaemonId& from, const ForwardedSubmission& forwarded)
{
    submissions_.submissionForwarded(from, forwarded);
}

void EntryRole::receive(const DaemonId& from, const OutcomeQuery& query)
{
    submissions_.outcomeQueried(from, query);
}

void EntryRole::receive(const DaemonId&, const ForwardReply& reply)
{
    submissions_.forwardAnswered(reply);
}

void EntryRole::run(Submission submission)
{
    DispatchShard& shard = shardOf(submission.id.service);
    shard.accept(std::move(submission), ports_.clock.now());
}

void EntryRole::cancel(const SubmissionKey& key)
{
    shardOf(key.service).cancel(key, ports_.clock.now());
}

void EntryRole::startsAnswered(const ServiceId& service, const MinionId& minion, const std::vector<StartAnswer>& answers)
{
    shardOf(service).startsAnswered(service, minion, answers, ports_.clock.now());
}

void EntryRole::cancelsAnswered(const ServiceId& service, const MinionId& minion, const std::vector<CancelAnswer>& answers)
{
    shardOf(service).cancelsAnswered(service, minion, answers, ports_.clock.now());
}

std::vector<QueueStatus> EntryRole::queues() const
{
    std::vector<QueueStatus> all;
    for (const auto& shard : dispatch_) {
        const std::vector<QueueStatus> part = shard->queues();
        all.insert(all.end(), part.begin(), part.end());
    }
    return all;
}

void EntryRole::stop()
{
    for (const auto& pump : pumps_)
        pump->stop();
    minions_.stop();
}

size_t EntryRole::shardIndex(const ServiceId& service) const
{
    return stableHash(service.value()) % shardCount;
}

std::unique_ptr<SlotBroker> EntryRole::makeBroker(size_t shard)
{
    auto created = QueueingSlotBroker::create(BrokerPolicy {}, *randoms_[shard]);
    return std::move(std::get<std::unique_ptr<QueueingSlotBroker>>(created));
}

} // namespace trefoilwing
