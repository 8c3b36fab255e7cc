#include "Handover/ModelEntry.h"

#include <variant>

namespace trefoilwing {

namespace {

    constexpr absl::Duration loadInterval = absl::Milliseconds(100);

} // namespace

ModelEntry::ModelEntry(DaemonRun self, World& world, DataCentreId dataCentre)
    : self_(std::move(self))
    , world_(world)
    , dataCentre_(std::move(dataCentre))
    , jobs_({ *this, *this, world.network, log_, *this }, self_.incarnation.value(), policy_.maxClaimAge())
    , view_(world.keepers)
{
}

bool ModelEntry::submit(const JobKey& key, uint32_t tasks)
{
    const CellGrant* grant = grants_.find(world_.cell);
    if (!grant || !lastLoad_)
        return false;
    IncomingJob job;
    job.key = key;
    job.taskCount = tasks;
    job.need = { 7000, 64, 0 };
    job.estimate = absl::Milliseconds(800);
    job.maxWait = absl::Seconds(8);
    Route route;
    route.timeout = absl::Seconds(8);
    route.stretch = 8;
    route.latencyTarget = absl::Milliseconds(60);
    const Ticket ticket(++lastTicket_);
    callers_[ticket] = key;
    jobs_.open(ticket, job, route, { { *grant, tasks } });
    return true;
}

void ModelEntry::send(const DaemonId& to, PeerMessage message)
{
    world_.deliver(self_.daemon, to, message);
}

void ModelEntry::reply(Ticket ticket, const CallerAnswer& answer)
{
    const auto caller = callers_.extract(ticket);
    if (!caller.empty())
        world_.answered(caller.mapped(), answer.kind);
}

void ModelEntry::closeRead(Ticket ticket)
{
    jobs_.abandoned(ticket);
    flush();
}

void ModelEntry::receive(const DaemonId& from, const PeerMessage& message)
{
    std::visit([&](const auto& typed) {
        if constexpr (requires { this->receiveTyped(from, typed); })
            receiveTyped(from, typed);
    },
        message);
    flush();
}

bool ModelEntry::areMinionsKnown() const
{
    return view_.isComplete(world_.network.now(), cell_->epoch());
}

void ModelEntry::receiveTyped(const DaemonId& from, const FleetUpdate& update)
{
    const absl::Time now = world_.network.now();
    const FleetChange change = view_.receive(from, update, now);
    if (change.missed) {
        DaemonHeartbeat heartbeat = makeHeartbeat();
        view_.acknowledgeUpdates(from, heartbeat);
        send(from, heartbeat);
    }
    for (const CellGrant& grant : update.grants)
        applyGrant(grant);
    if (!cell_)
        return;
    for (const RemovedMinion& removed : change.removed) {
        const MinionInstance& instance = removed.report.instance;
        if (removed.replacedBy)
            cell_->minionEnded(instance, now);
        else
            cell_->minionForgotten(instance, now);
    }
    for (const MinionReport& report : change.minions)
        cell_->minionReported(report, now);
    if (areMinionsKnown())
        cell_->setMinionsKnown(true);
}

void ModelEntry::applyGrant(const CellGrant& grant)
{
    if (!grants_.accept(grant))
        return;
    const absl::Time now = world_.network.now();
    cell_.reset();
    if (grant.owner == self_) {
        cell_ = std::make_unique<CellDispatcher>(grant, policy_, order_, random_, now);
        cell_->setMinionsKnown(areMinionsKnown());
        for (const MinionReport& report : view_.minionsOf(grant.cell))
            cell_->minionReported(report, now);
        for (const PendingOffer& waiting : pending_.takeGranted(grant))
            cell_->offered(waiting.offer, waiting.entry, now);
        loadDue_ = now;
    }
    jobs_.ownerChanged(grant);
}

void ModelEntry::receiveTyped(const DaemonId& from, const JobOffer& offer)
{
    const absl::Time now = world_.network.now();
    if (cell_ && PendingOffers::isFor(offer, cell_->epoch()))
        cell_->offered(offer, from, now);
    else
        pending_.add({ offer, from, now });
}

void ModelEntry::receiveTyped(const DaemonId& from, const JobCancel& cancel)
{
    for (const PendingOffer& cancelled : pending_.takeCancelled(cancel, from))
        send(cancelled.entry, cancelled.rejection(world_.network.now()));
    if (cell_)
        cell_->cancelled(cancel, from, world_.network.now());
}

void ModelEntry::receiveTyped(const DaemonId& from, const JobResult& result)
{
    jobs_.resultReceived(from, result);
}

void ModelEntry::receiveTyped(const DaemonId&, const CellLoad& load)
{
    const bool areClaimsDue = jobs_.loadReceived(load.grant, load.sentAt);
    lastLoad_ = load;
    applyGrant(load.grant);
    if (areClaimsDue)
        heartbeatDue_ = world_.network.now();
}

void ModelEntry::receiveTyped(const DaemonId&, const DaemonHeartbeat& heartbeat)
{
    if (cell_)
        cell_->entryHeartbeatReceived(heartbeat.run, heartbeat.claims, world_.network.now());
}

DaemonHeartbeat ModelEntry::makeHeartbeat() const
{
    return { self_, dataCentre_, true, false, {}, {}, 0, 1000, std::nullopt };
}

void ModelEntry::pump()
{
    const absl::Time now = world_.network.now();
    if (cell_)
        cell_->tick(now);
    flush();
    jobs_.tick();
    for (const PendingOffer& expired : pending_.takeExpired(now))
        send(expired.entry, expired.rejection(now));
    if (cell_ && now >= loadDue_) {
        loadDue_ = now + loadInterval;
        CellLoad load = cell_->load(now);
        load.sentAt = now;
        for (const char* entry : { "entry-1", "entry-2" })
            send(DaemonId(entry), load);
    }
    if (now >= heartbeatDue_) {
        heartbeatDue_ = now + heartbeatInterval;
        for (const auto& [to, heartbeat] : view_.nextHeartbeats(makeHeartbeat()))
            send(to, heartbeat);
        DaemonHeartbeat heartbeat = makeHeartbeat();
        for (auto& [owner, claims] : jobs_.claimJobs()) {
            heartbeat.claims = std::move(claims);
            send(owner, heartbeat);
        }
    }
    flush();
}

template <typename Order>
void ModelEntry::sendOrder(const Order& order)
{
    using Answer = std::conditional_t<std::is_same_v<Order, StartOrder>, StartResult, std::conditional_t<std::is_same_v<Order, StopOrder>, StopResult, RenewResult>>;
    const std::string minion = order.header.endpoint.address;
    const auto isAnswered = std::make_shared<bool>(false);
    // The process may have ended when the answer comes; only whenRunning() may be relied on then.
    const auto answer = [this, &world = world_, run = self_, isAnswered](const Answer& result) {
        world.whenRunning(run, [this, isAnswered, result] {
            if (std::exchange(*isAnswered, true) || !cell_)
                return;
            cell_->answered(result, world_.network.now());
            flush();
        });
    };
    Answer unanswered {};
    unanswered.instance = order.header.instance;
    unanswered.epoch = order.header.epoch;
    if constexpr (!std::is_same_v<Order, RenewOrder>)
        unanswered.run = order.run;
    unanswered.failure = OrderFailure::NoAnswer;
    absl::Duration wait = absl::ZeroDuration();
    if constexpr (std::is_same_v<Order, RenewOrder>)
        wait = order.wait;
    const std::string self = self_.daemon.value();
    world_.network.sendCall(self, minion, [&world = world_, order, minion, self, wait, answer] {
        ModelMinion* receiver = world.findMinion(minion);
        if (!receiver->isUp())
            return;
        const Answer result = receiver->receive(order);
        world.network.after(wait / 5, [&world, minion, self, answer, result] {
            world.network.sendCall(minion, self, [answer, result] { answer(result); });
        });
    });
    world_.network.after(policy_.orderTimeout + wait, [answer, unanswered] { answer(unanswered); });
}

void ModelEntry::flush()
{
    if (!cell_)
        return;
    CellOutbox outbox = cell_->takeOutbox();
    for (const auto& order : outbox.orders)
        std::visit([this](const auto& typed) { sendOrder(typed); }, order);
    for (const EntryMessage& message : outbox.messages)
        send(message.entry, message.result);
}

} // namespace trefoilwing
