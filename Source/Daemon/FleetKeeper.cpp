#include "Daemon/FleetKeeper.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>

#include <algorithm>
#include <array>

namespace trefoilwing {

namespace {

    /// How often what is due is looked for at the least: an event may have brought forward what the log does
    /// next, by tens of milliseconds.
    constexpr absl::Duration pumpInterval = absl::Milliseconds(100);
    /// And while no leader is known, so that a new leader assigns owners at once.
    constexpr absl::Duration leaderlessInterval = absl::Milliseconds(20);
    constexpr absl::Duration metricsInterval = absl::Seconds(1);

    /// Several heartbeats and a slow sync fit in.
    constexpr absl::Duration electionTimeout = absl::Milliseconds(700);
    constexpr absl::Duration logHeartbeat = absl::Milliseconds(200);
    /// Connections to the other keepers are made by then.
    constexpr absl::Duration maxFirstElectionDelay = absl::Milliseconds(250);
    /// Configurations may be large, so few are kept beside the snapshot.
    constexpr uint64_t maxLogEntries = 64;
    /// A voter that is gone for so long makes way; longer than a restart or a freeze takes.
    constexpr absl::Duration voterTimeout = absl::Seconds(6);
    /// A keeper that is told to stop lets calls that are under way end.
    constexpr absl::Duration drainTime = absl::Milliseconds(700);

    constexpr uint64_t maxControlBody = 16U << 20U;
    constexpr size_t maxControlSessions = 2000;
    constexpr uint64_t maxSegmentBytes = 4U << 20U;

    const GroupId fleetGroup("fleet");

    /// Silences are logged up to this; longer ones have no figure of use.
    constexpr absl::Duration daemonSilenceLogged = absl::Hours(1);

    std::string_view reasonName(GrantReason reason)
    {
        static constexpr std::array<std::string_view, 6> names { "unowned", "owner_silent", "owner_restarted", "owner_drains", "goes_home", "rebalanced" };
        return names.at(static_cast<size_t>(reason));
    }

} // namespace

Result<std::unique_ptr<FleetKeeper>> FleetKeeper::create(const FleetSettings& settings, const RoutingReader& reader, EventLog& log, HistogramMetrics& metrics)
{
    std::unique_ptr<FleetKeeper> keeper(new FleetKeeper(settings, reader, log, metrics));
    const Result<Done> opened = keeper->openJournal();
    if (const Error* error = errorOf(opened))
        return *error;
    return keeper;
}

FleetKeeper::FleetKeeper(const FleetSettings& settings, const RoutingReader& reader, EventLog& log, HistogramMetrics& metrics)
    : settings_(settings)
    , log_(log)
    , metrics_(metrics)
    , link_(settings, *this, log)
    , logRandom_(SeededRandom::freshSeed())
    , door_(reader, log)
    , control_(loop_, [this](const HttpExchangePtr& exchange) { door_.handle(exchange); }, { Bytes(maxControlBody), maxControlSessions })
    , metricsPage_(loop_, metrics)
    , registry_(link_.self())
    , others_(seedDaemons(settings))
{
    door_.setOperations(*this);
}

FleetKeeper::~FleetKeeper()
{
    stop();
}

Result<Done> FleetKeeper::openJournal()
{
    auto opened = DiskJournal::open(files_, settings_.dataFolder + "/fleet", link_.self().incarnation, { maxSegmentBytes });
    if (const Error* error = errorOf(opened))
        return *error;
    journal_ = std::get<std::unique_ptr<DiskJournal>>(std::move(opened));
    LogSettings settings;
    settings.group = fleetGroup;
    settings.self = Member { MemberId { link_.self().daemon, journal_->storage() }, false, true, false };
    settings.daemons = seedDaemons(settings_);
    settings.electionTimeout = electionTimeout;
    settings.heartbeat = logHeartbeat;
    settings.maxFirstElectionDelay = maxFirstElectionDelay;
    settings.maxEntries = maxLogEntries;
    settings.mayFound = settings_.isFounding;
    settings.minSyncedDisks = settings_.lostDisks + 1;
    settings.voterTimeout = voterTimeout;
    settings.keepsOddVoters = true;
    group_ = std::make_unique<ReplicatedFleet>(link_.self(), std::move(settings), journal_->takeContent(),
        GroupPorts { link_.peers(), link_.clock(), logRandom_, journal_.get() }, [this](const FleetState& state) { stateChanged(state); });
    stateChanged(group_->state());
    return Done {};
}

Result<Done> FleetKeeper::start()
{
    Result<Done> started = link_.start();
    if (!errorOf(started))
        started = control_.listen(*settings_.control);
    if (!errorOf(started))
        started = metricsPage_.listen(settings_);
    if (errorOf(started))
        return started;
    journal_->start(*group_);
    loop_.start();
    thread_ = std::make_unique<PumpThread>(static_cast<Pumped&>(*this), link_.clock());
    return started;
}

void FleetKeeper::reload(const FleetSettings& settings)
{
    for (const DaemonId& daemon : seedDaemons(settings))
        group_->addDaemon(daemon);
    MutexLock lock(mutex_);
    others_.setSeeds(seedDaemons(settings));
}

void FleetKeeper::drain()
{
    isDraining_ = true;
    control_.drain();
    absl::SleepFor(drainTime);
}

void FleetKeeper::stop()
{
    if (thread_)
        thread_->stop();
    link_.stop();
    if (journal_)
        journal_->stop();
    loop_.stop();
}

// Minions and operators.

void FleetKeeper::minionReported(const MinionReport& report)
{
    bool isChange = false;
    {
        MutexLock lock(mutex_);
        isChange = registry_.minionReported(report);
    }
    if (!isChange)
        return;
    log_.write(Severity::Info, "minion_reported", { { "minion", report.instance.minion.value() }, { "birth", report.instance.startTime.value() }, { "sequence", report.sequence }, { "service", report.pool.service.value() }, { "data_centre", report.pool.dataCentre.value() }, { "state", report.state == MinionState::Serving ? std::string("serving") : std::string("leaving") } });
    sendNews();
    group_->remember(report);
}

void FleetKeeper::minionLeft(const MinionId& minion)
{
    std::optional<MinionInstance> instance;
    {
        MutexLock lock(mutex_);
        instance = registry_.minionLeft(minion);
    }
    if (instance)
        group_->forget(*instance);
    log_.write(Severity::Info, "minion_left", { { "minion", minion.value() } });
    sendNews();
}

void FleetKeeper::publish(RoutingDocument document, std::function<void(Result<RoutingVersion>)> done)
{
    group_->publish(std::move(document), std::move(done));
}

void FleetKeeper::readNewest(std::function<void(Result<RoutingDocument>)> done)
{
    group_->readNewest(std::move(done));
}

void FleetKeeper::stateChanged(const FleetState& state)
{
    bool isNewRouting = false;
    {
        MutexLock lock(mutex_);
        isNewRouting = state.routing().version > registry_.routingVersion();
        if (isNewRouting)
            registry_.setRouting(state.routing());
        if (state.grants() != grants_) {
            grants_ = state.grants();
            std::vector<CellGrant> grants;
            for (const auto& [cell, grant] : grants_) {
                registry_.addPool(cell.pool());
                grants.push_back(grant);
            }
            registry_.setGrants(std::move(grants));
        }
        for (const auto& [id, report] : state.minions())
            registry_.minionReported(report);
    }
    if (isNewRouting)
        log_.write(Severity::Info, "configuration_in_force", { { "version", state.routing().version.value() } });
    sendNews();
}

// Peers.

void FleetKeeper::messageReceived(const DaemonId& from, PeerMessage message)
{
    std::visit([&](auto& typed) {
        using Message = std::decay_t<decltype(typed)>;
        if constexpr (requires { this->receive(from, typed); })
            receive(from, typed);
        else if constexpr (std::is_constructible_v<LogMessage, Message>)
            group_->receive(LogMessage(std::move(typed)));
    },
        message);
}

void FleetKeeper::receive(const DaemonId& from, const DaemonHeartbeat& pulse)
{
    if (!pulse.isEntry)
        group_->addDaemon(from);
    bool isNews = false;
    {
        MutexLock lock(mutex_);
        isNews = registry_.heartbeatReceived(pulse, link_.clock().now());
    }
    // A daemon that has started again or drains may change who owns its cells.
    if (isNews)
        signal_.raise();
    sendNews();
}

void FleetKeeper::receive(const DaemonId& from, const FleetUpdate& news)
{
    MutexLock lock(mutex_);
    const FleetChange change = others_.receive(from, news, link_.clock().now());
    for (const MinionReport& report : change.minions)
        registry_.addPool(report.pool);
}

void FleetKeeper::sendNews()
{
    std::vector<std::pair<DaemonId, FleetUpdate>> news;
    {
        MutexLock lock(mutex_);
        news = registry_.takeUpdates(link_.clock().now());
    }
    for (auto& [to, message] : news)
        link_.peers().send(to, std::move(message));
}

// What is due.

absl::Time FleetKeeper::pump(absl::Time now)
{
    if (group_->nextWakeup() <= now)
        group_->wake();
    noteRole();
    if (now >= pulseDue_) {
        pulseDue_ = now + pulseInterval;
        pulse();
    }
    if (isLeading_)
        assignOwners(now);
    if (now >= metricsDue_) {
        metricsDue_ = now + metricsInterval;
        publishMetrics();
    }
    return std::min(now + (leader_ ? pumpInterval : leaderlessInterval), group_->nextWakeup());
}

void FleetKeeper::noteRole()
{
    const GroupState state = group_->status();
    if (state.isLeading != isLeading_) {
        isLeading_ = state.isLeading;
        MutexLock lock(mutex_);
        registry_.setLeading(isLeading_);
        if (isLeading_)
            assigner_.startedLeading(link_.clock().now());
    }
    if (state.leader != leader_) {
        leader_ = state.leader;
        log_.write(Severity::Info, leader_ ? "leader_known" : "leader_lost", { { "leader", leader_ ? leader_->daemon.value() : std::string() }, { "term", state.term.value() }, { "members", uint64_t { state.members.size() } }, { "commit", state.commitIndex.value() } });
    }
}

void FleetKeeper::pulse()
{
    std::vector<std::pair<DaemonId, DaemonHeartbeat>> pulses;
    {
        MutexLock lock(mutex_);
        const DaemonHeartbeat own { link_.self(), settings_.dataCentre, false, isDraining_, {}, {}, 0 };
        pulses = others_.nextPulses(own);
        pulses.emplace_back(link_.self().daemon, own);
        // A keeper's own copy of the table comes through the log, not through news.
        for (auto& [to, message] : pulses)
            message.routing = registry_.routingVersion();
    }
    for (const auto& [to, message] : pulses)
        link_.peers().send(to, message);
}

void FleetKeeper::assignOwners(absl::Time now)
{
    std::vector<GrantProposal> proposals;
    {
        MutexLock lock(mutex_);
        proposals = assigner_.decide(registry_, grants_, now);
    }
    for (const GrantProposal& proposal : proposals) {
        const GrantRecord& record = proposal.record;
        log_.write(Severity::Info, "grant_proposed", { { "service", record.cell.service.value() }, { "cell", nameOf(record.cell) }, { "owner", record.owner.daemon.value() }, { "previous_epoch", record.previous.value() }, { "reason", std::string(reasonName(proposal.reason)) }, { "owner_silent_ms", static_cast<uint64_t>(absl::ToInt64Milliseconds(std::min(proposal.ownerSilence, daemonSilenceLogged))) } });
        group_->grant(record);
    }
}

void FleetKeeper::publishMetrics()
{
    const GroupState state = group_->status();
    metrics_.set("log_commit_index", {}, static_cast<double>(state.commitIndex.value()));
    metrics_.set("log_term", {}, static_cast<double>(state.term.value()));
    metrics_.set("log_members", {}, static_cast<double>(state.members.size()));
    metrics_.set("log_is_leader", {}, state.isLeading ? 1 : 0);
    metrics_.set("log_lines_dropped", {}, static_cast<double>(log_.dropped()));
    metrics_.set("peers_connected", {}, static_cast<double>(link_.connectedPeers()));
    MutexLock lock(mutex_);
    metrics_.set("configuration_version", {}, static_cast<double>(registry_.routingVersion().value()));
    metrics_.set("minions_reporting", {}, static_cast<double>(registry_.minionCount()));
    metrics_.set("daemons_heard", {}, static_cast<double>(registry_.daemons().size()));
}

} // namespace trefoilwing
