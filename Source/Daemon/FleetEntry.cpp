#include "Daemon/FleetEntry.h"

#include "Daemon/IncomingLimits.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>

#include <algorithm>
#include <array>
#include <utility>

namespace trefoilwing {

namespace {

    /// Interval of the checks for due work while there are jobs. Deadlines and leases last tens of milliseconds or more.
    constexpr absl::Duration pumpInterval = absl::Milliseconds(30);
    /// Shorter heartbeat interval during startup, so that the keepers soon send the fleet's state and grant cells.
    constexpr absl::Duration startupHeartbeatInterval = absl::Milliseconds(60);
    /// Time after the start in which this entry reaches all owners and keepers.
    constexpr absl::Duration startupPeriod = absl::Seconds(5);
    /// Maximum interval between two reports of a cell's load, which also serve as the owner's heartbeat.
    constexpr absl::Duration maxLoadInterval = absl::Milliseconds(250);
    /// Minimum interval between load reports to entries of the same data centre, after a change that may send jobs to
    /// another cell.
    constexpr absl::Duration minLocalLoadInterval = absl::Milliseconds(30);
    /// Minimum interval between load reports to entries of other data centres. It is longer because those entries send
    /// jobs here only when their own data centre has no room, they are many more, and each message wakes its receiver.
    constexpr absl::Duration minRemoteLoadInterval = absl::Milliseconds(120);
    /// A cell with at least this fraction of its cores free can accept any job, so its exact load needn't be reported.
    constexpr double ampleRoomFraction = 0.6;
    /// The keepers count as unreachable once all have been silent for this long.
    constexpr absl::Duration keeperTimeout = absl::Seconds(5);
    /// Lateness of the pump from which callers may have left without this process having noticed.
    constexpr absl::Duration maxUncheckedLateness = absl::Milliseconds(100);
    constexpr absl::Duration metricsInterval = absl::Seconds(1);
    /// Minimum lateness that is logged. Less is normal jitter of timers and of threads that share a core.
    constexpr absl::Duration minLoggedLateness = absl::Milliseconds(50);

    /// Minimum duration of a drain. The platform still opens connections for about 2 s after SIGTERM, and every request
    /// ends within 2 s.
    constexpr absl::Duration minDrainTime = absl::Milliseconds(3000);
    /// Maximum duration of a drain. The platform kills the process 6 s after SIGTERM.
    constexpr absl::Duration maxDrainTime = absl::Milliseconds(5600);
    constexpr absl::Duration drainPoll = absl::Milliseconds(50);

    constexpr double milliCoresPerCore = 1000;

    constexpr uint64_t maxCallerBody = 256U << 10U;
    constexpr size_t maxCallerSessions = 3000;
    constexpr size_t maxReadinessSessions = 16;

    struct TotalRow {
        std::string_view metric;
        uint64_t CellTotals::*total;
    };

    constexpr std::array<TotalRow, 9> totalRows { {
        { "cell_starts", &CellTotals::starts },
        { "cell_starts_repeated", &CellTotals::repeatedStarts },
        { "cell_runs_done", &CellTotals::done },
        { "cell_runs_failed", &CellTotals::failed },
        { "cell_runs_stopped", &CellTotals::stopped },
        { "cell_runs_lapsed", &CellTotals::leaseExpired },
        { "cell_starts_without_room", &CellTotals::startsWithoutRoom },
        { "cell_holds", &CellTotals::renewals },
        { "cell_jobs_turned_down", &CellTotals::rejectedJobs },
    } };

    /// Minimum resubmit delay that can be kept: entries claim their jobs every 250 ms, and a claim may be twice as old.
    constexpr absl::Duration minResubmitDelay = absl::Milliseconds(800);

    /// Memory of a start order with the longest specification, and of the request that is made of it.
    constexpr uint64_t startOrderBytes = 6U << 10U;
    /// Memory of a run, with that of its stop order.
    constexpr uint64_t runBytes = 2560;
    constexpr uint64_t queuedTaskBytes = 48;
    /// Start orders in flight, runs and queued tasks of a cell may each hold the memory of the process divided by these.
    constexpr uint64_t startMemoryDivisor = 16;
    constexpr uint64_t runMemoryDivisor = 8;
    constexpr uint64_t queueMemoryDivisor = 16;

    DispatchPolicy policyFor(const FleetSettings& settings)
    {
        DispatchPolicy policy;
        const uint64_t memory = uint64_t { settings.memoryMb } << 20U;
        policy.maxStartsInFlight = memory / startMemoryDivisor / startOrderBytes;
        policy.maxRuns = memory / runMemoryDivisor / runBytes;
        policy.maxQueuedTasks = memory / queueMemoryDivisor / queuedTaskBytes;
        policy.avoidsInterference = settings.avoidsInterference;
        policy.resubmitDelay = std::max(minResubmitDelay, absl::Milliseconds(settings.resubmitMs));
        return policy;
    }

    bool isFromOtherDivision(const CellId& cell, const CellId& granted)
    {
        return cell.pool() == granted.pool() && cell.part.count != granted.part.count;
    }

    bool hasAmpleRoom(const CellLoad& load)
    {
        return load.queuedTasks.empty() && static_cast<double>(load.freeMilliCores) >= ampleRoomFraction * static_cast<double>(load.totalMilliCores);
    }

    bool differsSignificantly(const CellLoad& a, const CellLoad& b)
    {
        if (hasAmpleRoom(a) && hasAmpleRoom(b) && a.totalMilliCores == b.totalMilliCores)
            return false;
        return a.freeMilliCores != b.freeMilliCores || a.queuedTasks != b.queuedTasks || a.totalMilliCores != b.totalMilliCores;
    }

} // namespace

FleetEntry::FleetEntry(const FleetSettings& settings, const RoutingReader& reader, EventLog& log, HistogramMetrics& metrics)
    : settings_(settings)
    , reader_(reader)
    , log_(log)
    , metrics_(metrics)
    , link_(settings, *this, log)
    , policy_(policyFor(settings))
    , guard_(std::make_shared<ConnectionGuard>(loop_, incomingLimits(settings, Bytes(maxCallerBody)), ConnectionReports { &log, &metrics }))
    , callerHandler_(log, settings.maxJobTasks)
    , gateway_(loop_, *this, maxMinionAnswers(settings))
    , callers_(loop_, [this](const HttpExchangePtr& exchange) { callerHandler_.handle(exchange); }, { Bytes(maxCallerBody), maxCallerSessions, guard_, "callers" })
    , readiness_(loop_, [this](const HttpExchangePtr& exchange) { callerHandler_.handleReadiness(exchange); }, { Bytes(maxCallerBody), maxReadinessSessions, guard_, "readiness" })
    , metricsPage_(loop_, metrics, guard_)
    , jobs_({ callerHandler_, link_.peers(), link_.clock(), log, metrics }, link_.self().incarnation.value(), policy_.maxClaimAge(), { this, settings.secondChoices })
    , view_(seedDaemons(settings))
    , chooser_(settings.dataCentre, settings.secondChoices > 0 ? CellChooser::lateReportCost : CellChooser::noAgeCost)
    , startedAt_(link_.clock().now())
    , gate_(startedAt_)
{
    callerHandler_.setIntake(*this);
}

FleetEntry::~FleetEntry()
{
    stop();
}

Result<Done> FleetEntry::start()
{
    Result<Done> started = link_.start();
    if (!errorOf(started))
        started = callers_.listen(*settings_.callers);
    if (!errorOf(started) && settings_.readiness)
        started = readiness_.listen(*settings_.readiness);
    if (!errorOf(started))
        started = metricsPage_.listen(settings_);
    if (errorOf(started))
        return started;
    loop_.start();
    thread_ = std::make_unique<PumpThread>(static_cast<Pumped&>(*this), link_.clock());
    return started;
}

void FleetEntry::reload(const FleetSettings& settings)
{
    MutexLock lock(viewMutex_);
    view_.setSeeds(seedDaemons(settings));
}

void FleetEntry::drain()
{
    isDraining_ = true;
    callers_.drain();
    wake();
    const absl::Time begin = link_.clock().now();
    log_.write(Severity::Info, "draining", { { "open_jobs", uint64_t { jobs_.openCount() } } });
    auto isBusy = [this] {
        size_t jobs = jobs_.openCount();
        for (const CellPtr& cell : allCells())
            jobs += cell->jobCount();
        return jobs > 0;
    };
    absl::SleepFor(minDrainTime);
    // Reject jobs that still arrive on open connections, as they might not end in time; the callers try another entry.
    rejectsJobs_ = true;
    while (isBusy() && link_.clock().now() < begin + maxDrainTime)
        absl::SleepFor(drainPoll);
    jobs_.answerAllAsGivenUp();
    absl::SleepFor(drainPoll);
    log_.write(Severity::Info, "drained", { { "open_jobs", uint64_t { jobs_.openCount() } } });
}

void FleetEntry::stop()
{
    if (thread_)
        thread_->stop();
    link_.stop();
    loop_.stop();
}

// Callers.

std::shared_ptr<const RoutingTable> FleetEntry::table() const
{
    MutexLock lock(viewMutex_);
    return table_;
}

RouteMatch FleetEntry::findRoute(const std::string& host, const std::string& path) const
{
    const auto routes = table();
    if (!routes)
        return { RouteStatus::NoTable, 0 };
    const Route* route = routes->find(host, path);
    return route ? RouteMatch { RouteStatus::Known, route->pathPrefix.size() } : RouteMatch { RouteStatus::Unknown, 0 };
}

bool FleetEntry::isReady() const
{
    MutexLock lock(viewMutex_);
    return table_ && !isDraining_ && chooser_.hasLiveOwner(link_.clock().now());
}

void FleetEntry::submit(Ticket ticket, const IncomingJob& job)
{
    // A job that runs for another request of its caller can't be refused as not run.
    if (jobs_.joinOpen(ticket, job))
        return;
    std::shared_ptr<const RoutingTable> routes;
    const Route* route = nullptr;
    std::vector<CellShare> shares;
    {
        MutexLock lock(viewMutex_);
        routes = table_;
        route = routes ? routes->find(job.host, job.path) : nullptr;
        if (route)
            shares = chooser_.choose(route->service, job.need, job.taskCount, route->priority, link_.clock().now());
    }
    if (!route || shares.empty() || rejectsJobs_) {
        const std::string reason = !route ? "unknown route" : rejectsJobs_ ? "this entry stops"
                                                                           : "no owner of a cell is heard";
        log_.write(Severity::Warning, "job_refused", { { "request", job.requestId }, { "job", job.key.value() }, { "reason", reason } });
        callerHandler_.reply(ticket, { route ? AnswerKind::Unavailable : AnswerKind::UnknownRoute, {} });
        return;
    }
    jobs_.open(ticket, job, *route, shares);
    wakeFromIdle();
}

void FleetEntry::abandon(Ticket ticket)
{
    jobs_.abandoned(ticket);
}

std::optional<CellGrant> FleetEntry::chooseAgain(const RejectedPart& part)
{
    MutexLock lock(viewMutex_);
    return chooser_.chooseAgain(part, link_.clock().now());
}

// Peers.

void FleetEntry::messageReceived(const DaemonId& from, PeerMessage message)
{
    std::visit([&](const auto& typed) {
        if constexpr (requires { this->receive(from, typed); })
            receive(from, typed);
    },
        message);
}

void FleetEntry::receive(const DaemonId& from, const FleetUpdate& update)
{
    FleetChange change;
    std::vector<CellGrant> grants;
    {
        MutexLock lock(viewMutex_);
        change = view_.receive(from, update, link_.clock().now());
        for (const Evacuation& evacuation : change.evacuations)
            chooser_.setEvacuated(evacuation.dataCentre, evacuation.isEvacuated);
        for (const CellGrant& grant : update.grants) {
            if (chooser_.granted(grant))
                grants.push_back(grant);
        }
    }
    if (change.missed)
        requestMissedUpdates(from, *change.missed);
    for (const Evacuation& evacuation : change.evacuations)
        applyEvacuation(evacuation);
    if (change.table)
        applyTable(*std::move(change.table));
    if (change.routing)
        applyRouting(*change.routing);
    // Grants come first: an owner must not use a minion that it learns of together with the grant of its cell to another.
    for (const CellGrant& grant : grants)
        applyGrant(grant);
    for (const RemovedMinion& removed : change.removed)
        applyRemoval(from, removed);
    for (const MinionReport& report : change.minions) {
        if (const CellPtr cell = findCellOf(report))
            cell->minionReported(report);
    }
    for (const CellPtr& cell : allCells()) {
        if (areMinionsKnown(cell->epoch()))
            cell->setMinionsKnown(true);
    }
}

void FleetEntry::requestMissedUpdates(const DaemonId& keeper, const MissedUpdates& missed)
{
    log_.write(Severity::Info, "updates_missed", { { "keeper", keeper.value() }, { "received", missed.received }, { "since", missed.since } });
    DaemonHeartbeat heartbeat = makeHeartbeat();
    {
        MutexLock lock(viewMutex_);
        view_.acknowledgeUpdates(keeper, heartbeat);
    }
    link_.peers().send(keeper, heartbeat);
}

void FleetEntry::applyRemoval(const DaemonId& keeper, const RemovedMinion& removed)
{
    const MinionInstance& instance = removed.report.instance;
    log_.write(Severity::Info, "minion_removed", { { "minion", instance.minion.value() }, { "birth", instance.startTime.value() }, { "service", removed.report.pool.service.value() }, { "data_centre", removed.report.pool.dataCentre.value() }, { "keeper", keeper.value() }, { "reason", std::string(removed.replacedBy ? "replaced" : "left") }, { "replaced_by", removed.replacedBy ? removed.replacedBy->value() : std::string() } });
    const CellPtr cell = findCellOf(removed.report);
    if (!cell)
        return;
    if (removed.replacedBy)
        cell->minionEnded(instance);
    else
        cell->minionForgotten(instance);
}

bool FleetEntry::areMinionsKnown(OwnerEpoch epoch) const
{
    MutexLock lock(viewMutex_);
    return view_.isComplete(link_.clock().now(), epoch);
}

void FleetEntry::applyRouting(const RoutingDocument& document)
{
    Result<RoutingTable> table = reader_.read(document.text);
    if (const Error* error = errorOf(table)) {
        log_.write(Severity::Error, "configuration_unreadable", { { "version", document.version.value() }, { "reason", error->message } });
        return;
    }
    applyTable(std::get<RoutingTable>(std::move(table)));
}

void FleetEntry::applyTable(RoutingTable table)
{
    auto routes = std::make_shared<const RoutingTable>(std::move(table));
    {
        MutexLock lock(viewMutex_);
        if (table_ && table_->version >= routes->version)
            return;
        table_ = routes;
        tableAppliedAt_ = link_.clock().now();
    }
    log_.write(Severity::Info, "configuration_in_force", { { "version", routes->version.value() }, { "routes", uint64_t { routes->routes.size() } } });
}

void FleetEntry::applyGrant(const CellGrant& grant)
{
    log_.write(Severity::Info, "cell_granted", { { "service", grant.cell.service.value() }, { "cell", nameOf(grant.cell) }, { "owner", grant.owner.daemon.value() }, { "epoch", grant.epoch.value() } });
    std::vector<PendingOffer> offers;
    CellPtr cell;
    const Evacuation evacuation = evacuationOf(grant.cell.dataCentre);
    {
        MutexLock lock(cellsMutex_);
        if (!appliedGrants_.accept(grant))
            return;
        cells_.erase(grant.cell);
        std::erase_if(cells_, [&](const auto& entry) { return isFromOtherDivision(entry.first, grant.cell); });
        if (grant.owner == link_.self()) {
            const auto owned = std::make_shared<OwnedCell>(grant, policy_, order_, *this, evacuation);
            cell = CellPtr(owned, &owned->shard);
            cells_[grant.cell] = cell;
            offers = pendingOffers_.takeGranted(grant);
        }
    }
    if (cell) {
        std::vector<MinionReport> reports;
        {
            MutexLock lock(viewMutex_);
            reports = view_.minionsOf(grant.cell);
        }
        // Another thread may have applied an order after it was read above and before the cell was listed.
        cell->setEvacuated(evacuationOf(grant.cell.dataCentre));
        cell->setMinionsKnown(areMinionsKnown(grant.epoch));
        for (const MinionReport& report : reports)
            cell->minionReported(report);
        for (const PendingOffer& pending : offers)
            cell->offered(pending.offer, pending.entry);
        // Entries claim the jobs that they offer to a new owner once they have its first load report.
        wakeFromIdle();
    }
    jobs_.ownerChanged(grant);
    jobs_.poolDivided(grant.cell);
}

void FleetEntry::applyEvacuation(const Evacuation& evacuation)
{
    log_.write(Severity::Info, "evacuation_in_force", { { "data_centre", evacuation.dataCentre.value() }, { "evacuated", std::string(evacuation.isEvacuated ? "yes" : "no") }, { "revision", evacuation.revision.value() } });
    for (const CellPtr& cell : allCells()) {
        if (cell->cell().dataCentre == evacuation.dataCentre)
            cell->setEvacuated(evacuation);
    }
    wakeFromIdle();
}

Evacuation FleetEntry::evacuationOf(const DataCentreId& dataCentre) const
{
    MutexLock lock(viewMutex_);
    return view_.evacuationOf(dataCentre);
}

void FleetEntry::receive(const DaemonId&, const CellLoad& load)
{
    if (jobs_.loadReceived(load.grant, load.sentAt)) {
        areClaimsDue_ = true;
        wake();
    }
    bool isNewGrant = false;
    {
        MutexLock lock(viewMutex_);
        isNewGrant = chooser_.granted(load.grant);
        chooser_.loadReceived(load, link_.clock().now());
    }
    // The owner's load report carries its grant, so that an entry without a keeper's message learns of a new owner.
    if (isNewGrant)
        applyGrant(load.grant);
}

void FleetEntry::receive(const DaemonId& from, const JobOffer& offer)
{
    const PendingOffer pending { offer, from, link_.clock().now() };
    CellPtr cell;
    {
        MutexLock lock(cellsMutex_);
        const auto found = cells_.find(offer.cell);
        if (found != cells_.end() && PendingOffers::isFor(offer, found->second->epoch()))
            cell = found->second;
        else
            pendingOffers_.add(pending);
    }
    if (cell)
        cell->offered(offer, from);
    else
        logPending(pending, "offer_waiting", "no_grant");
    wakeFromIdle();
}

void FleetEntry::receive(const DaemonId& from, const JobCancel& cancel)
{
    std::vector<PendingOffer> cancelled;
    {
        MutexLock lock(cellsMutex_);
        cancelled = pendingOffers_.takeCancelled(cancel, from);
    }
    rejectPending(cancelled, "cancelled");
    if (const CellPtr cell = findCell(cancel.cell))
        cell->cancelled(cancel, from);
}

void FleetEntry::receive(const DaemonId& from, const JobResult& ended)
{
    jobs_.resultReceived(from, ended);
}

void FleetEntry::receive(const DaemonId&, const DaemonHeartbeat& heartbeat)
{
    for (const CellPtr& cell : allCells())
        cell->entryHeartbeatReceived(heartbeat.run, heartbeat.claims);
}

void FleetEntry::rejectPending(const std::vector<PendingOffer>& rejected, std::string_view reason)
{
    for (const PendingOffer& pending : rejected) {
        link_.peers().send(pending.entry, pending.rejection(link_.clock().now()));
        logPending(pending, "offer_rejected", reason);
    }
}

void FleetEntry::expirePending(absl::Time now)
{
    std::vector<PendingOffer> expired;
    {
        MutexLock lock(cellsMutex_);
        expired = pendingOffers_.takeExpired(now);
    }
    rejectPending(expired, "no_grant");
}

void FleetEntry::logPending(const PendingOffer& pending, std::string_view event, std::string_view reason)
{
    const JobOffer& offer = pending.offer;
    log_.write(Severity::Info, event, { { "request", offer.requestId }, { "job", offer.job.value() }, { "offer", offer.offerNumber }, { "entry", pending.entry.value() }, { "cell", nameOf(offer.cell) }, { "epoch", offer.epoch.value() }, { "takeover", std::string(offer.isTakeover ? "yes" : "no") }, { "waited_ms", static_cast<uint64_t>(absl::ToInt64Milliseconds(link_.clock().now() - pending.receivedAt)) }, { "reason", std::string(reason) } });
}

// Minions.

FleetEntry::CellPtr FleetEntry::findCell(const CellId& id) const
{
    MutexLock lock(cellsMutex_);
    const auto found = cells_.find(id);
    return found == cells_.end() ? nullptr : found->second;
}

FleetEntry::CellPtr FleetEntry::findCellOf(const MinionReport& report) const
{
    MutexLock lock(cellsMutex_);
    const auto found = std::find_if(cells_.begin(), cells_.end(), [&](const auto& entry) { return isInCell(report, entry.first); });
    return found == cells_.end() ? nullptr : found->second;
}

std::vector<FleetEntry::CellPtr> FleetEntry::allCells() const
{
    MutexLock lock(cellsMutex_);
    std::vector<CellPtr> cells;
    for (const auto& [id, cell] : cells_)
        cells.push_back(cell);
    return cells;
}

void FleetEntry::answered(const CellId& id, const StartResult& result)
{
    if (const CellPtr cell = findCell(id))
        cell->answered(result);
}

void FleetEntry::answered(const CellId& id, const StopResult& result)
{
    if (const CellPtr cell = findCell(id))
        cell->answered(result);
}

void FleetEntry::answered(const CellId& id, const RenewResult& result)
{
    if (const CellPtr cell = findCell(id))
        cell->answered(result);
}

// Periodic work.

absl::Time FleetEntry::pump(absl::Time now)
{
    recordLateness(now - pumpDue_);
    if (isStarting_)
        tryFinishStartup(now);
    const std::vector<CellPtr> cells = allCells();
    for (const CellPtr& cell : cells)
        cell->tick();
    jobs_.tick();
    expirePending(now);
    sendLoads(now);
    if (areClaimsDue_.exchange(false))
        sendOwnerHeartbeats(now);
    if (now >= heartbeatDue_) {
        heartbeatDue_ = now + (isStarting_ ? startupHeartbeatInterval : heartbeatInterval);
        sendHeartbeats();
        sendOwnerHeartbeats(now);
        checkKeepers(now);
    }
    if (now >= metricsDue_) {
        metricsDue_ = now + metricsInterval;
        publishMetrics();
        reportLateness();
    }
    const bool isIdle = !isStarting_ && jobs_.openCount() == 0 && std::all_of(cells.begin(), cells.end(), [](const CellPtr& cell) { return cell->isIdle(); });
    isIdle_ = isIdle;
    // Other entries take a late load report for a sign that this one is cut off, if they weigh the age of reports.
    const absl::Time idleUntil = settings_.secondChoices > 0 ? std::min(heartbeatDue_, loadsDue_) : heartbeatDue_;
    pumpDue_ = isIdle ? idleUntil : std::min(now + pumpInterval, heartbeatDue_);
    return pumpDue_;
}

void FleetEntry::recordLateness(absl::Duration lateness)
{
    worstPumpLateness_ = std::max(worstPumpLateness_, lateness);
    if (lateness <= StallFreeTime::toleratedDelay)
        return;
    jobs_.recordDelay(lateness);
    if (lateness > maxUncheckedLateness)
        checkCallers();
    MutexLock lock(viewMutex_);
    chooser_.recordDelay(lateness);
}

void FleetEntry::checkCallers()
{
    callers_.checkPeers([this, number = ++callerChecks_] {
        callersCheckedNumber_ = number;
        areClaimsDue_ = true;
        wake();
    });
}

void FleetEntry::tryFinishStartup(absl::Time now)
{
    if (gate_.shouldWait(isReady(), now))
        return;
    isStarting_ = false;
    loop_.run([this] { callerHandler_.serveDeferred(); });
}

void FleetEntry::wakeFromIdle()
{
    if (isIdle_.exchange(false))
        signal_.raise();
}

DaemonHeartbeat FleetEntry::makeHeartbeat() const
{
    return { link_.self(), settings_.dataCentre, true, isDraining_, {}, {}, 0, static_cast<uint32_t>(settings_.cores * milliCoresPerCore), std::nullopt };
}

void FleetEntry::sendHeartbeats()
{
    std::vector<std::pair<DaemonId, DaemonHeartbeat>> heartbeats;
    {
        MutexLock lock(viewMutex_);
        heartbeats = view_.nextHeartbeats(makeHeartbeat());
    }
    for (const auto& [to, message] : heartbeats)
        link_.peers().send(to, message);
}

void FleetEntry::sendOwnerHeartbeats(absl::Time pumpedAt)
{
    // A heartbeat without claims only tells owners that this process runs.
    const bool isClaiming = callersCheckedNumber_ == callerChecks_ && link_.clock().now() - pumpedAt <= maxUncheckedLateness;
    std::map<DaemonId, std::optional<JobClaims>> owners;
    if (isClaiming) {
        owners = jobs_.claimJobs();
    } else {
        for (const DaemonId& owner : jobs_.owners())
            owners.try_emplace(owner);
    }
    // Owners may still run jobs of this entry's earlier process; a heartbeat of the new one makes them cancel those.
    if (link_.clock().now() < startedAt_ + startupPeriod) {
        MutexLock lock(viewMutex_);
        for (const auto& [cell, grant] : chooser_.grants())
            owners.try_emplace(grant.owner.daemon);
    }
    DaemonHeartbeat heartbeat = makeHeartbeat();
    for (auto& [owner, claims] : owners) {
        heartbeat.claims = std::move(claims);
        link_.peers().send(owner, heartbeat);
    }
}

bool FleetEntry::isLoadDue(SentLoad& sent, const CellLoad& load, absl::Duration minInterval, absl::Time now)
{
    if (now < sent.at + maxLoadInterval && (now < sent.at + minInterval || !differsSignificantly(sent.load, load)))
        return false;
    sent = { load, now };
    return true;
}

void FleetEntry::sendLoads(absl::Time now)
{
    const std::vector<CellPtr> cells = allCells();
    loadsDue_ = absl::InfiniteFuture();
    if (cells.empty())
        return;
    std::vector<DaemonId> local { link_.self().daemon };
    std::vector<DaemonId> remote;
    {
        MutexLock lock(viewMutex_);
        for (const auto& [entry, dataCentre] : view_.entries()) {
            if (entry != link_.self().daemon)
                (dataCentre == settings_.dataCentre ? local : remote).push_back(entry);
        }
    }
    for (const CellPtr& cell : cells) {
        CellLoad load = cell->load();
        load.sentAt = now;
        SentLoads& sent = sentLoads_[cell->cell()];
        if (isLoadDue(sent.local, load, minLocalLoadInterval, now))
            link_.peers().broadcast(local, load);
        if (isLoadDue(sent.remote, load, minRemoteLoadInterval, now))
            link_.peers().broadcast(remote, load);
        loadsDue_ = std::min(loadsDue_, std::min(sent.local.at, sent.remote.at) + maxLoadInterval);
    }
}

void FleetEntry::checkKeepers(absl::Time now)
{
    bool isReachable = false;
    RoutingVersion version;
    {
        MutexLock lock(viewMutex_);
        isReachable = view_.silence(now) < keeperTimeout;
        version = view_.routingVersion();
    }
    if (isReachable == areKeepersReachable_)
        return;
    areKeepersReachable_ = isReachable;
    log_.write(isReachable ? Severity::Info : Severity::Warning, isReachable ? "keepers_heard" : "keepers_lost", { { "configuration", version.value() } });
}

void FleetEntry::publishMetrics()
{
    for (const CellPtr& cell : allCells()) {
        const MetricLabels labels { cell->cell().service, {}, TaskKindId(nameOf(cell->cell())) };
        const CellTotals totals = cell->totals();
        metrics_.set("cell_epoch", labels, static_cast<double>(cell->epoch().value()));
        metrics_.set("cell_minions", labels, static_cast<double>(cell->minionCount()));
        metrics_.set("cell_jobs", labels, static_cast<double>(cell->jobCount()));
        for (const TotalRow& row : totalRows)
            metrics_.set(row.metric, labels, static_cast<double>(totals.*row.total));
        for (const InterferingPair& pair : cell->interferingPairs()) {
            const MetricLabels pairLabels { cell->cell().service, {}, TaskKindId(absl::StrCat(nameOf(cell->cell()), ":", pair.slowed.value(), "|", pair.beside.value())) };
            metrics_.set("interference_slowdown", pairLabels, pair.slowdown);
            metrics_.set("interference_observations", pairLabels, pair.observations);
        }
    }
    metrics_.set("log_lines_dropped", {}, static_cast<double>(log_.dropped()));
    metrics_.set("peers_connected", {}, static_cast<double>(link_.connectedPeers()));
    metrics_.set("peer_queue_bytes", {}, static_cast<double>(link_.queuedBytes().value()));
    metrics_.set("jobs_open", {}, static_cast<double>(jobs_.openCount()));
    const absl::Time now = link_.clock().now();
    MutexLock lock(viewMutex_);
    if (table_)
        metrics_.set("configuration_age_seconds", {}, absl::ToDoubleSeconds(now - tableAppliedAt_));
    if (view_.silence(now) < absl::InfiniteDuration())
        metrics_.set("keepers_silent_seconds", {}, absl::ToDoubleSeconds(view_.silence(now)));
    for (const auto& [dataCentre, evacuation] : view_.evacuations())
        metrics_.set("data_centre_evacuated", { {}, {}, TaskKindId(dataCentre.value()) }, evacuation.isEvacuated ? 1 : 0);
    metrics_.set("configuration_version", {}, static_cast<double>(view_.routingVersion().value()));
    metrics_.set("minions_known", {}, static_cast<double>(view_.minionCount()));
}

void FleetEntry::reportLateness()
{
    const HttpClientTotals orders = gateway_.takeTotals();
    const absl::Duration pumpLateness = std::exchange(worstPumpLateness_, absl::ZeroDuration());
    metrics_.set("pump_lateness_seconds", {}, absl::ToDoubleSeconds(pumpLateness));
    metrics_.set("loop_lateness_seconds", {}, absl::ToDoubleSeconds(orders.worstLateness));
    metrics_.set("minion_connections_opened", {}, static_cast<double>(orders.connects));
    metrics_.set("orders_unanswered", {}, static_cast<double>(orders.unanswered));
    metrics_.set("orders_unread", {}, static_cast<double>(orders.unread));
    metrics_.set("minion_answers_refused", {}, static_cast<double>(orders.refused));
    if (orders.refused > loggedRefusedAnswers_) {
        log_.write(Severity::Warning, "minion_answers_refused", { { "refused", orders.refused - loggedRefusedAnswers_ }, { "reason", std::string("malformed or too long") } });
        loggedRefusedAnswers_ = orders.refused;
    }
    if (std::max(pumpLateness, orders.worstLateness) < minLoggedLateness)
        return;
    uint64_t minions = 0;
    const std::vector<CellPtr> cells = allCells();
    for (const CellPtr& cell : cells)
        minions += cell->minionCount();
    log_.write(Severity::Warning, "running_late", { { "pump_late_ms", static_cast<uint64_t>(absl::ToInt64Milliseconds(pumpLateness)) }, { "loop_late_ms", static_cast<uint64_t>(absl::ToInt64Milliseconds(orders.worstLateness)) }, { "cells", uint64_t { cells.size() } }, { "minions", minions }, { "open_jobs", uint64_t { jobs_.openCount() } }, { "minion_connections", orders.connects }, { "orders_unanswered", orders.unanswered }, { "orders_unread", orders.unread } });
}

} // namespace trefoilwing
