#include "Daemon/FleetEntry.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>

#include <algorithm>
#include <array>
#include <iterator>
#include <set>
#include <utility>

namespace trefoilwing {

namespace {

    /// How often what is due is looked for while there are jobs; deadlines and leases are tens of milliseconds
    /// at the least.
    constexpr absl::Duration pumpInterval = absl::Milliseconds(30);
    /// While it starts, so that the keepers tell it of the fleet and grant it cells soon.
    constexpr absl::Duration startingPulseInterval = absl::Milliseconds(60);
    /// Owners and keepers have been reached by then.
    constexpr absl::Duration startingTime = absl::Seconds(5);
    /// A cell's load is told again after so long, as the owner's sign of life.
    constexpr absl::Duration longestLoadInterval = absl::Milliseconds(250);
    /// And to entries of the same data centre no sooner than this after a change that may send jobs elsewhere.
    constexpr absl::Duration shortestLoadInterval = absl::Milliseconds(30);
    /// Entries of other data centres send jobs here only where their own has no room, and are told less often: each
    /// message wakes its receiver up, and there are many more of them.
    constexpr absl::Duration shortestFarLoadInterval = absl::Milliseconds(120);
    /// A cell with this share of its room free takes whatever comes, so how much exactly doesn't matter.
    constexpr double ampleShare = 0.6;
    /// Offers for a cell whose grant hasn't reached this entry yet wait so long for it.
    constexpr absl::Duration earlyOfferLife = absl::Milliseconds(500);
    /// Keepers that were all silent for longer count as lost.
    constexpr absl::Duration keeperSilence = absl::Seconds(5);
    constexpr absl::Duration metricsInterval = absl::Seconds(1);
    /// Lateness below this is the usual unevenness of timers and of threads that share a core.
    constexpr absl::Duration latenessLogged = absl::Milliseconds(50);

    /// After SIGTERM the platform sends new connections for about 2 s more, and every request ends within 2 s.
    constexpr absl::Duration shortestDrain = absl::Milliseconds(3000);
    /// Below the 6 s after which the platform kills.
    constexpr absl::Duration longestDrain = absl::Milliseconds(5600);
    constexpr absl::Duration drainPoll = absl::Milliseconds(50);

    constexpr double milliCoresPerCore = 1000;

    constexpr uint64_t maxCallerBody = 256U << 10U;
    constexpr size_t maxCallerSessions = 3000;
    constexpr size_t maxReadinessSessions = 16;

    struct TotalRow {
        std::string_view metric;
        uint64_t CellTotals::*total;
    };

    constexpr std::array<TotalRow, 8> totalRows { {
        { "cell_starts", &CellTotals::starts },
        { "cell_runs_done", &CellTotals::done },
        { "cell_runs_failed", &CellTotals::failed },
        { "cell_runs_stopped", &CellTotals::stopped },
        { "cell_runs_lapsed", &CellTotals::lapsed },
        { "cell_starts_without_room", &CellTotals::rejectedForRoom },
        { "cell_holds", &CellTotals::holds },
        { "cell_jobs_turned_down", &CellTotals::turnedDown },
    } };

    bool isOfOlderDivision(const CellId& cell, const CellId& granted)
    {
        return cell.pool() == granted.pool() && cell.part.count != granted.part.count;
    }

    bool hasAmpleRoom(const CellLoad& load)
    {
        return load.queuedTasks.empty() && static_cast<double>(load.freeMilliCores) >= ampleShare * static_cast<double>(load.totalMilliCores);
    }

    bool differsMuch(const CellLoad& a, const CellLoad& b)
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
    , door_(log)
    , gateway_(loop_, *this)
    , callers_(loop_, [this](const HttpExchangePtr& exchange) { door_.handle(exchange); }, { Bytes(maxCallerBody), maxCallerSessions })
    , readiness_(loop_, [this](const HttpExchangePtr& exchange) { door_.handleReadiness(exchange); }, { Bytes(maxCallerBody), maxReadinessSessions })
    , metricsPage_(loop_, metrics)
    , desk_({ door_, link_.peers(), link_.clock(), log, metrics }, link_.self().incarnation.value())
    , view_(seedDaemons(settings))
    , chooser_(settings.dataCentre)
    , startedAt_(link_.clock().now())
    , gate_(startedAt_)
{
    door_.setIntake(*this);
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
    log_.write(Severity::Info, "draining", { { "open_jobs", uint64_t { desk_.openCount() } } });
    auto isBusy = [this] {
        size_t jobs = desk_.openCount();
        for (const CellPtr& cell : allCells())
            jobs += cell->jobCount();
        return jobs > 0;
    };
    absl::SleepFor(shortestDrain);
    // Callers that still come by a connection of theirs are sent elsewhere, as their jobs might not end in time.
    refusesJobs_ = true;
    while (isBusy() && link_.clock().now() < begin + longestDrain)
        absl::SleepFor(drainPoll);
    desk_.giveUpAll();
    absl::SleepFor(drainPoll);
    log_.write(Severity::Info, "drained", { { "open_jobs", uint64_t { desk_.openCount() } } });
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
    return table_ && !isDraining_ && chooser_.hearsAnyOwner(link_.clock().now());
}

void FleetEntry::submit(Ticket ticket, const IncomingJob& job)
{
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
    if (!route || shares.empty() || refusesJobs_) {
        const std::string reason = !route ? "unknown route" : refusesJobs_ ? "this entry stops"
                                                                           : "no owner of a cell is heard";
        log_.write(Severity::Warning, "job_refused", { { "request", job.requestId }, { "job", job.key.value() }, { "reason", reason } });
        door_.reply(ticket, { route ? AnswerKind::Unavailable : AnswerKind::UnknownRoute, {} });
        return;
    }
    desk_.open(ticket, job, *route, shares);
    wakeFromIdle();
}

void FleetEntry::abandon(Ticket ticket)
{
    desk_.abandoned(ticket);
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

void FleetEntry::receive(const DaemonId& from, const FleetUpdate& news)
{
    FleetChange change;
    std::vector<CellGrant> grants;
    bool areMinionsKnown = false;
    {
        MutexLock lock(viewMutex_);
        change = view_.receive(from, news, link_.clock().now());
        areMinionsKnown = view_.isComplete(link_.clock().now());
        for (const CellGrant& grant : news.grants) {
            if (chooser_.granted(grant))
                grants.push_back(grant);
        }
    }
    if (change.routing)
        takeRouting(*change.routing);
    for (const MinionReport& report : change.gone) {
        if (const CellPtr cell = findCellOf(report))
            cell->minionLeft(report.instance);
    }
    for (const MinionReport& report : change.minions) {
        if (const CellPtr cell = findCellOf(report))
            cell->minionReported(report);
    }
    for (const CellGrant& grant : grants)
        takeGrant(grant);
    if (areMinionsKnown) {
        for (const CellPtr& cell : allCells())
            cell->minionsKnown(true);
    }
}

void FleetEntry::takeRouting(const RoutingDocument& document)
{
    Result<RoutingTable> table = reader_.read(document.text);
    if (const Error* error = errorOf(table)) {
        log_.write(Severity::Error, "configuration_unreadable", { { "version", document.version.value() }, { "reason", error->message } });
        return;
    }
    auto routes = std::make_shared<const RoutingTable>(std::move(std::get<RoutingTable>(table)));
    {
        MutexLock lock(viewMutex_);
        if (table_ && table_->version >= routes->version)
            return;
        table_ = routes;
        tableSince_ = link_.clock().now();
    }
    log_.write(Severity::Info, "configuration_in_force", { { "version", routes->version.value() }, { "routes", uint64_t { routes->routes.size() } } });
}

void FleetEntry::takeGrant(const CellGrant& grant)
{
    log_.write(Severity::Info, "cell_granted", { { "service", grant.cell.service.value() }, { "cell", nameOf(grant.cell) }, { "owner", grant.owner.daemon.value() }, { "epoch", grant.epoch.value() } });
    std::vector<EarlyOffer> offers;
    CellPtr cell;
    {
        MutexLock lock(cellsMutex_);
        const auto held = cells_.find(grant.cell);
        if (held != cells_.end() && held->second->epoch() >= grant.epoch)
            return;
        if (held != cells_.end())
            cells_.erase(held);
        std::erase_if(cells_, [&](const auto& entry) { return isOfOlderDivision(entry.first, grant.cell); });
        if (grant.owner == link_.self()) {
            const auto owned = std::make_shared<OwnedCell>(grant, policy_, order_, *this);
            cell = CellPtr(owned, &owned->shard);
            cells_[grant.cell] = cell;
            offers = takeEarlyOffers([&](const EarlyOffer& early) { return early.offer.cell == grant.cell; });
        }
    }
    if (cell) {
        std::vector<MinionReport> reports;
        bool areAllKnown = false;
        {
            MutexLock lock(viewMutex_);
            reports = view_.minionsOf(grant.cell);
            areAllKnown = view_.isComplete(link_.clock().now());
        }
        cell->minionsKnown(areAllKnown);
        for (const MinionReport& report : reports)
            cell->minionReported(report);
        for (const EarlyOffer& early : offers)
            cell->offered(early.offer, early.from);
    }
    desk_.moved(grant);
    desk_.divided(grant.cell);
}

void FleetEntry::receive(const DaemonId& from, const CellLoad& load)
{
    desk_.ownerHeard(from);
    bool isNews = false;
    {
        MutexLock lock(viewMutex_);
        isNews = chooser_.granted(load.grant);
        chooser_.loadHeard(load, link_.clock().now());
    }
    // An entry that no keeper reaches learns of a new owner from that owner.
    if (isNews)
        takeGrant(load.grant);
}

void FleetEntry::receive(const DaemonId& from, const JobOffer& offer)
{
    CellPtr cell;
    {
        MutexLock lock(cellsMutex_);
        const auto found = cells_.find(offer.cell);
        if (found != cells_.end())
            cell = found->second;
        else
            earlyOffers_.push_back({ offer, from, link_.clock().now() });
    }
    if (cell)
        cell->offered(offer, from);
    wakeFromIdle();
}

void FleetEntry::receive(const DaemonId& from, const JobCancel& cancel)
{
    refuseEarlyOffers([&](const EarlyOffer& early) { return early.from == from && early.offer.job == cancel.job && early.offer.offerNumber == cancel.offerNumber; });
    if (const CellPtr cell = findCell(cancel.cell))
        cell->cancelled(cancel, from);
}

void FleetEntry::receive(const DaemonId& from, const JobResult& ended)
{
    desk_.ended(from, ended);
}

void FleetEntry::receive(const DaemonId&, const DaemonHeartbeat& pulse)
{
    for (const CellPtr& cell : allCells())
        cell->entryHeard(pulse.run);
}

std::vector<FleetEntry::EarlyOffer> FleetEntry::takeEarlyOffers(const std::function<bool(const EarlyOffer&)>& isTaken)
{
    const auto first = std::stable_partition(earlyOffers_.begin(), earlyOffers_.end(), [&](const EarlyOffer& early) { return !isTaken(early); });
    std::vector<EarlyOffer> taken(std::make_move_iterator(first), std::make_move_iterator(earlyOffers_.end()));
    earlyOffers_.erase(first, earlyOffers_.end());
    return taken;
}

void FleetEntry::refuseEarlyOffers(const std::function<bool(const EarlyOffer&)>& isRefused)
{
    std::vector<EarlyOffer> refused;
    {
        MutexLock lock(cellsMutex_);
        refused = takeEarlyOffers(isRefused);
    }
    for (const EarlyOffer& early : refused) {
        const JobEnd end = early.offer.isTakeover ? JobEnd::GivenUp : JobEnd::Rejected;
        link_.peers().send(early.from, JobResult { early.offer.job, early.offer.offerNumber, end, {}, link_.clock().now() - early.at });
    }
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

// What is due.

absl::Time FleetEntry::pump(absl::Time now)
{
    noteLateness(now - pumpDue_);
    if (isStarting_)
        openGate(now);
    const std::vector<CellPtr> cells = allCells();
    for (const CellPtr& cell : cells)
        cell->tick();
    desk_.tick();
    refuseEarlyOffers([&](const EarlyOffer& early) { return now > early.at + earlyOfferLife; });
    tellLoads(now);
    if (now >= pulseDue_) {
        pulseDue_ = now + (isStarting_ ? startingPulseInterval : pulseInterval);
        pulse();
        watchKeepers(now);
    }
    if (now >= metricsDue_) {
        metricsDue_ = now + metricsInterval;
        publishMetrics();
        watchLateness();
    }
    const bool isIdle = !isStarting_ && desk_.openCount() == 0 && std::all_of(cells.begin(), cells.end(), [](const CellPtr& cell) { return cell->isIdle(); });
    isIdle_ = isIdle;
    pumpDue_ = isIdle ? pulseDue_ : std::min(now + pumpInterval, pulseDue_);
    return pumpDue_;
}

void FleetEntry::noteLateness(absl::Duration lateness)
{
    worstPumpLateness_ = std::max(worstPumpLateness_, lateness);
    if (lateness <= StallFreeTime::toleratedDelay)
        return;
    desk_.recordDelay(lateness);
    MutexLock lock(viewMutex_);
    chooser_.recordDelay(lateness);
}

void FleetEntry::openGate(absl::Time now)
{
    if (gate_.isClosed(isReady(), now))
        return;
    isStarting_ = false;
    loop_.run([this] { door_.serveHeld(); });
}

void FleetEntry::wakeFromIdle()
{
    if (isIdle_.exchange(false))
        signal_.raise();
}

void FleetEntry::pulse()
{
    std::vector<std::pair<DaemonId, DaemonHeartbeat>> pulses;
    std::set<DaemonId> owners = desk_.openOwners();
    {
        MutexLock lock(viewMutex_);
        const DaemonHeartbeat own { link_.self(), settings_.dataCentre, true, isDraining_, {}, {}, 0, static_cast<uint32_t>(settings_.cores * milliCoresPerCore) };
        // Owners may still run jobs of an earlier run of this entry, which they give up when they hear of this one.
        if (link_.clock().now() < startedAt_ + startingTime) {
            for (const auto& [cell, grant] : chooser_.grants())
                owners.insert(grant.owner.daemon);
        }
        pulses = view_.nextPulses(own);
        for (const DaemonId& owner : owners)
            pulses.emplace_back(owner, own);
    }
    for (const auto& [to, message] : pulses)
        link_.peers().send(to, message);
}

bool FleetEntry::isTellDue(ToldLoad& told, const CellLoad& load, absl::Duration shortestInterval, absl::Time now)
{
    if (now < told.at + longestLoadInterval && (now < told.at + shortestInterval || !differsMuch(told.load, load)))
        return false;
    told = { load, now };
    return true;
}

void FleetEntry::tellLoads(absl::Time now)
{
    const std::vector<CellPtr> cells = allCells();
    if (cells.empty())
        return;
    std::map<DaemonId, DataCentreId> entries;
    {
        MutexLock lock(viewMutex_);
        entries = view_.entries();
    }
    entries[link_.self().daemon] = settings_.dataCentre;
    for (const CellPtr& cell : cells) {
        const CellLoad load = cell->load();
        ToldLoads& told = toldLoads_[cell->cell()];
        const bool tellsNear = isTellDue(told.near, load, shortestLoadInterval, now);
        const bool tellsFar = isTellDue(told.far, load, shortestFarLoadInterval, now);
        for (const auto& [entry, dataCentre] : entries) {
            const bool isNear = dataCentre == settings_.dataCentre;
            if (isNear ? tellsNear : tellsFar)
                link_.peers().send(entry, load);
        }
    }
}

void FleetEntry::watchKeepers(absl::Time now)
{
    bool isHeard = false;
    RoutingVersion version;
    {
        MutexLock lock(viewMutex_);
        isHeard = view_.silence(now) < keeperSilence;
        version = view_.routingVersion();
    }
    if (isHeard == hearsKeepers_)
        return;
    hearsKeepers_ = isHeard;
    log_.write(isHeard ? Severity::Info : Severity::Warning, isHeard ? "keepers_heard" : "keepers_lost", { { "configuration", version.value() } });
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
    }
    metrics_.set("log_lines_dropped", {}, static_cast<double>(log_.dropped()));
    metrics_.set("peers_connected", {}, static_cast<double>(link_.connectedPeers()));
    metrics_.set("jobs_open", {}, static_cast<double>(desk_.openCount()));
    const absl::Time now = link_.clock().now();
    MutexLock lock(viewMutex_);
    if (table_)
        metrics_.set("configuration_age_seconds", {}, absl::ToDoubleSeconds(now - tableSince_));
    if (view_.silence(now) < absl::InfiniteDuration())
        metrics_.set("keepers_silent_seconds", {}, absl::ToDoubleSeconds(view_.silence(now)));
    metrics_.set("configuration_version", {}, static_cast<double>(view_.routingVersion().value()));
    metrics_.set("minions_known", {}, static_cast<double>(view_.minionCount()));
}

void FleetEntry::watchLateness()
{
    const HttpClientTotals orders = gateway_.takeTotals();
    const absl::Duration pumpLateness = std::exchange(worstPumpLateness_, absl::ZeroDuration());
    metrics_.set("pump_lateness_seconds", {}, absl::ToDoubleSeconds(pumpLateness));
    metrics_.set("loop_lateness_seconds", {}, absl::ToDoubleSeconds(orders.worstLateness));
    metrics_.set("minion_connections_opened", {}, static_cast<double>(orders.connects));
    metrics_.set("orders_unanswered", {}, static_cast<double>(orders.unanswered));
    metrics_.set("orders_unread", {}, static_cast<double>(orders.unread));
    if (std::max(pumpLateness, orders.worstLateness) < latenessLogged)
        return;
    uint64_t minions = 0;
    const std::vector<CellPtr> cells = allCells();
    for (const CellPtr& cell : cells)
        minions += cell->minionCount();
    log_.write(Severity::Warning, "running_late", { { "pump_late_ms", static_cast<uint64_t>(absl::ToInt64Milliseconds(pumpLateness)) }, { "loop_late_ms", static_cast<uint64_t>(absl::ToInt64Milliseconds(orders.worstLateness)) }, { "cells", uint64_t { cells.size() } }, { "minions", minions }, { "open_jobs", uint64_t { desk_.openCount() } }, { "minion_connections", orders.connects }, { "orders_unanswered", orders.unanswered }, { "orders_unread", orders.unread } });
}

} // namespace trefoilwing
