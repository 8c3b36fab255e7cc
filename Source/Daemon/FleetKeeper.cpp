#include "Daemon/FleetKeeper.h"

#include "Control/MemberChanges.h"
#include "Daemon/IncomingLimits.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>

#include <algorithm>
#include <array>

namespace trefoilwing {

namespace {

    /// Maximum interval of the checks for due work. An event may make the log's next action due tens of milliseconds
    /// earlier than it was when the pump went to sleep.
    constexpr absl::Duration pumpInterval = absl::Milliseconds(100);
    /// Shorter interval while no leader is known, so that a new leader assigns owners at once.
    constexpr absl::Duration leaderlessPumpInterval = absl::Milliseconds(20);
    constexpr absl::Duration metricsInterval = absl::Seconds(1);

    /// Longer than several heartbeats and a slow disk sync, so that neither starts an election.
    constexpr absl::Duration electionTimeout = absl::Milliseconds(700);
    constexpr absl::Duration logHeartbeat = absl::Milliseconds(200);
    /// Maximum delay of the first election after the start. The connections to the other keepers exist by then.
    constexpr absl::Duration maxFirstElectionDelay = absl::Milliseconds(250);
    /// Maximum number of log entries beside the snapshot. It is low because each may hold a large configuration.
    constexpr uint64_t maxLogEntries = 64;
    /// A voter that is silent for this fraction of the catch-up time is replaced. The rest is for the successor's start,
    /// its copy of the log, and the two changes of members.
    constexpr double voterTimeoutFraction = 0.5;
    /// Time that a stopping keeper leaves for open calls to end.
    constexpr absl::Duration drainTime = absl::Milliseconds(700);

    /// Minimum interval of log lines on failed elections; without a majority one fails every second.
    constexpr absl::Duration electionLogInterval = absl::Seconds(5);

    /// Number of report periods in which each minion that is up reports again after a keeper's restart. A report to a keeper that
    /// doesn't answer is late by a second, and goes to another keeper then.
    constexpr double reportPeriodsAwaited = 2;

    constexpr uint64_t maxControlBody = 16U << 20U;
    constexpr size_t maxControlSessions = 2000;
    constexpr uint64_t maxSegmentBytes = 4U << 20U;

    const GroupId fleetGroup("fleet");

    /// Maximum silence of a daemon that is logged; longer ones are logged as this.
    constexpr absl::Duration maxLoggedSilence = absl::Hours(1);

    /// @return the data centres that operators may evacuate; empty if the settings don't offer evacuations.
    std::vector<DataCentreId> evacuationCentres(const FleetSettings& settings)
    {
        return settings.evacuationMs > 0 ? settings.dataCentres : std::vector<DataCentreId>();
    }

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
    , reader_(reader)
    , log_(log)
    , metrics_(metrics)
    , link_(settings, *this, log)
    , logRandom_(SeededRandom::freshSeed())
    , guard_(std::make_shared<ConnectionGuard>(loop_, incomingLimits(settings, Bytes(maxControlBody)), ConnectionReports { &log, &metrics }))
    , controlHandler_(reader, log, evacuationCentres(settings))
    , control_(loop_, [this](const HttpExchangePtr& exchange) { controlHandler_.handle(exchange); }, { Bytes(maxControlBody), maxControlSessions, guard_, "control" })
    , metricsPage_(loop_, metrics, guard_)
    , registry_(link_.self())
    , peerView_(seedDaemons(settings))
{
    controlHandler_.setOperations(*this);
}

FleetKeeper::~FleetKeeper()
{
    stop();
}

Result<std::unique_ptr<DiskJournal>> FleetKeeper::openFolder()
{
    const std::string folder = settings_.dataFolder + "/fleet";
    const JournalFolder::Options options { maxSegmentBytes };
    auto opened = DiskJournal::open(files_, folder, link_.self().incarnation, options);
    const Error* error = errorOf(opened);
    if (!error || error->code != ErrorCode::Malformed)
        return opened;
    const std::string aside = absl::StrCat(folder, "-damaged-", link_.self().incarnation.value());
    log_.write(Severity::Error, "journal_damaged", { { "reason", error->message }, { "kept_as", aside } });
    if (auto renamed = files_.rename(folder, aside); errorOf(renamed))
        return *errorOf(renamed);
    if (auto synced = files_.syncFolder(settings_.dataFolder); errorOf(synced))
        return *errorOf(synced);
    isJournalReplaced_ = true;
    return DiskJournal::open(files_, folder, link_.self().incarnation, options);
}

Result<Done> FleetKeeper::openJournal()
{
    auto opened = openFolder();
    if (const Error* error = errorOf(opened))
        return *error;
    journal_ = std::get<std::unique_ptr<DiskJournal>>(std::move(opened));
    if (journal_->cutOff() > Bytes(0))
        log_.write(Severity::Warning, "journal_cut_off", { { "bytes", journal_->cutOff().value() }, { "reason", std::string("the last write was incomplete and had never been acknowledged") } });
    LogSettings settings;
    settings.group = fleetGroup;
    settings.self = Member { MemberId { link_.self().daemon, journal_->storage() }, false, true, false };
    settings.firstProposal = link_.self().incarnation.value();
    settings.daemons = seedDaemons(settings_);
    settings.electionTimeout = electionTimeout;
    settings.heartbeat = logHeartbeat;
    settings.maxFirstElectionDelay = maxFirstElectionDelay;
    settings.maxEntries = maxLogEntries;
    // A keeper that has lost its journal must not found a second group.
    settings.mayFound = settings_.isFounding && !isJournalReplaced_;
    settings.minSyncedDisks = settings_.lostDisks + 1;
    settings.voterTimeout = absl::Seconds(settings_.catchUpSeconds * voterTimeoutFraction);
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
    {
        MutexLock lock(mutex_);
        registry_.awaitReports(link_.clock().now() + reportPeriodsAwaited * absl::Milliseconds(settings_.minionReportMs));
    }
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
    peerView_.setSeeds(seedDaemons(settings));
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
    ReportOutcome outcome {};
    {
        MutexLock lock(mutex_);
        outcome = registry_.minionReported(report, link_.clock().now());
    }
    if (outcome == ReportOutcome::Held)
        log_.write(Severity::Warning, "report_held", { { "minion", report.instance.minion.value() }, { "birth", report.instance.startTime.value() }, { "service", report.pool.service.value() }, { "data_centre", report.pool.dataCentre.value() }, { "reason", std::string("the configuration doesn't name its service") } });
    if (outcome == ReportOutcome::Contradictory)
        log_.write(Severity::Warning, "report_ignored", { { "minion", report.instance.minion.value() }, { "birth", report.instance.startTime.value() }, { "service", report.pool.service.value() }, { "data_centre", report.pool.dataCentre.value() }, { "reason", std::string("a minion keeps its service, data centre and address while it runs") } });
    if (outcome != ReportOutcome::Changed)
        return;
    reportTaken(report);
    sendUpdates();
}

void FleetKeeper::reportTaken(const MinionReport& report)
{
    std::vector<MinionReport> replaced;
    {
        MutexLock lock(mutex_);
        replaced = registry_.takeReplacedInOtherServices(report, link_.clock().now());
    }
    log_.write(Severity::Info, "minion_reported", { { "minion", report.instance.minion.value() }, { "birth", report.instance.startTime.value() }, { "sequence", report.sequence }, { "service", report.pool.service.value() }, { "data_centre", report.pool.dataCentre.value() }, { "state", report.state == MinionState::Serving ? std::string("serving") : std::string("leaving") } });
    group_->remember(report);
    for (const MinionReport& left : replaced) {
        log_.write(Severity::Info, "minion_left", { { "minion", left.instance.minion.value() }, { "birth", left.instance.startTime.value() }, { "replaced_by", report.instance.minion.value() } });
        group_->remember(left);
    }
}

void FleetKeeper::minionLeft(const MinionId& minion)
{
    std::optional<MinionReport> left;
    {
        MutexLock lock(mutex_);
        left = registry_.minionLeft(minion, link_.clock().now());
    }
    if (!left) {
        log_.write(Severity::Info, "leave_ignored", { { "minion", minion.value() }, { "reason", std::string("it has not reported that it leaves, or has left already") } });
        return;
    }
    group_->remember(*left);
    log_.write(Severity::Info, "minion_left", { { "minion", minion.value() }, { "birth", left->instance.startTime.value() }, { "replaced_by", std::string() } });
    sendUpdates();
}

void FleetKeeper::publish(RoutingDocument document, std::function<void(Result<RoutingVersion>)> done)
{
    group_->publish(std::move(document), std::move(done));
}

EvacuationOrderNumber FleetKeeper::evacuate(const DataCentreId& dataCentre, bool isEvacuated, std::function<void(Result<Done>)> done)
{
    return group_->evacuate(dataCentre, isEvacuated, std::move(done));
}

void FleetKeeper::abandonEvacuation(EvacuationOrderNumber number)
{
    group_->abandonEvacuation(number);
}

void FleetKeeper::readNewest(std::function<void(Result<RoutingDocumentPtr>)> done)
{
    group_->readNewest(std::move(done));
}

void FleetKeeper::stateChanged(const FleetState& state)
{
    bool isNewRouting = false;
    {
        MutexLock lock(mutex_);
        isNewRouting = state.routing().version > registry_.routingVersion();
    }
    // The routing table comes first, since it decides which minions are taken.
    if (isNewRouting)
        applyRouting(state.routing());
    {
        MutexLock lock(mutex_);
        if (state.grants() != grants_) {
            grants_ = state.grants();
            for (const auto& [cell, grant] : grants_)
                registry_.addPool(cell.pool());
            registry_.setGrants(grants_);
        }
        registry_.setEvacuations(state.evacuations());
        registry_.setLoggedMinions(state.minions(), state.departed());
    }
    publishEvacuations(state);
    sendUpdates();
}

void FleetKeeper::publishEvacuations(const FleetState& state)
{
    for (const auto& [dataCentre, evacuation] : state.evacuations())
        metrics_.set("data_centre_evacuated", { {}, {}, TaskKindId(dataCentre.value()) }, evacuation.isEvacuated ? 1 : 0);
}

void FleetKeeper::applyRouting(const RoutingDocument& document)
{
    Result<RoutingTable> read = reader_.read(document.text);
    if (const Error* error = errorOf(read)) {
        log_.write(Severity::Error, "configuration_unreadable", { { "version", document.version.value() }, { "reason", error->message } });
        return;
    }
    RoutingTable& table = std::get<RoutingTable>(read);
    log_.write(Severity::Info, "configuration_in_force", { { "version", table.version.value() }, { "routes", uint64_t { table.routes.size() } } });
    const std::set<ServiceId> services(table.services.begin(), table.services.end());
    std::vector<MinionReport> taken;
    {
        MutexLock lock(mutex_);
        const absl::Time now = link_.clock().now();
        assigner_.setServices(services);
        registry_.setRouting(std::move(table), now);
        taken = registry_.setServices(services, now);
    }
    for (const MinionReport& report : taken)
        reportTaken(report);
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

void FleetKeeper::receive(const DaemonId& from, const DaemonHeartbeat& heartbeat)
{
    if (!heartbeat.isEntry)
        group_->addDaemon(from);
    bool mayChangeOwners = false;
    {
        MutexLock lock(mutex_);
        mayChangeOwners = registry_.heartbeatReceived(heartbeat, link_.clock().now());
    }
    // A daemon that has restarted or is draining may need new owners for its cells.
    if (mayChangeOwners)
        signal_.raise();
    sendUpdates();
}

void FleetKeeper::receive(const DaemonId& from, const FleetUpdate& update)
{
    MutexLock lock(mutex_);
    const FleetChange change = peerView_.receive(from, update, link_.clock().now());
    for (const MinionReport& report : change.minions)
        registry_.addPool(report.pool);
}

void FleetKeeper::sendUpdates()
{
    std::vector<std::pair<DaemonId, FleetUpdate>> updates;
    {
        MutexLock lock(mutex_);
        updates = registry_.takeUpdates(link_.clock().now());
    }
    for (auto& [to, message] : updates)
        link_.peers().send(to, std::move(message));
}

// Periodic work.

absl::Time FleetKeeper::pump(absl::Time now)
{
    if (group_->nextWakeup() <= now)
        group_->wake();
    updateLeadership();
    if (leader_)
        proposeUnlogged(now);
    if (now >= heartbeatDue_) {
        heartbeatDue_ = now + heartbeatInterval;
        sendHeartbeats();
    }
    if (isLeading_)
        assignOwners(now);
    // Updates that were held back to be sent together may be due.
    sendUpdates();
    if (now >= metricsDue_) {
        metricsDue_ = now + metricsInterval;
        publishMetrics();
    }
    return std::min(now + (leader_ ? pumpInterval : leaderlessPumpInterval), group_->nextWakeup());
}

void FleetKeeper::updateLeadership()
{
    const GroupState state = group_->status();
    if (state.failure != journalFailure_) {
        journalFailure_ = state.failure;
        log_.write(journalFailure_.empty() ? Severity::Info : Severity::Error, journalFailure_.empty() ? "journal_recovered" : "journal_failed", { { "reason", journalFailure_ }, { "term", state.term.value() }, { "commit", state.commitIndex.value() } });
    }
    logMemberChanges(state);
    logFailedElections(state);
    if (state.isLeading != isLeading_) {
        isLeading_ = state.isLeading;
        MutexLock lock(mutex_);
        registry_.setLeading(isLeading_);
        if (isLeading_)
            assigner_.startedLeading(link_.clock().now());
    }
    if (state.leader != leader_) {
        leader_ = state.leader;
        if (leader_) {
            MutexLock lock(mutex_);
            registry_.leaderChanged(link_.clock().now());
        }
        log_.write(Severity::Info, leader_ ? "leader_known" : "leader_lost", { { "leader", leader_ ? leader_->daemon.value() : std::string() }, { "term", state.term.value() }, { "members", uint64_t { state.members.size() } }, { "commit", state.commitIndex.value() } });
    }
}

void FleetKeeper::logMemberChanges(const GroupState& state)
{
    if (state.members == loggedMembers_)
        return;
    const QuorumMargin margin = quorumMargin(state.members);
    for (const MemberChange& change : changesBetween(loggedMembers_, state.members)) {
        const std::string kind(nameOf(change.kind));
        log_.write(Severity::Info, "members_changed", { { "change", kind }, { "member", change.member.daemon.value() }, { "storage", change.member.storage.value() }, { "was_voter", std::string(change.wasVoter ? "yes" : "no") }, { "voters", uint64_t { margin.voters } }, { "losses_borne", uint64_t { margin.losses } }, { "members", uint64_t { state.members.size() } }, { "term", state.term.value() }, { "index", state.lastIndex.value() }, { "commit", state.commitIndex.value() } });
        metrics_.count("log_member_changes", { {}, {}, TaskKindId(kind) }, 1);
    }
    loggedMembers_ = state.members;
}

void FleetKeeper::logFailedElections(const GroupState& state)
{
    const absl::Time now = link_.clock().now();
    if (state.failedElections == loggedFailedElections_ || now < electionLogDue_)
        return;
    electionLogDue_ = now + electionLogInterval;
    const QuorumMargin margin = quorumMargin(state.members);
    log_.write(Severity::Warning, "election_failed", { { "failed", state.failedElections - loggedFailedElections_ }, { "term", state.term.value() }, { "voters", uint64_t { margin.voters } }, { "losses_borne", uint64_t { margin.losses } }, { "last", state.lastIndex.value() }, { "granted", uint64_t { state.lastFailedElection.granted } }, { "refused", uint64_t { state.lastFailedElection.refused } }, { "reason", std::string(failureReason(state.lastFailedElection, margin.voters)) } });
    loggedFailedElections_ = state.failedElections;
}

void FleetKeeper::proposeUnlogged(absl::Time now)
{
    UnloggedChanges changes;
    size_t unlogged = 0;
    {
        MutexLock lock(mutex_);
        changes = registry_.takeUnlogged(now);
        unlogged = registry_.unloggedCount();
    }
    if (changes.reports.empty() && changes.ended.empty())
        return;
    log_.write(Severity::Info, "minions_proposed_again", { { "reports", uint64_t { changes.reports.size() } }, { "ended", uint64_t { changes.ended.size() } }, { "unlogged", uint64_t { unlogged } }, { "first", changes.reports.empty() ? changes.ended.front().minion.value() : changes.reports.front().instance.minion.value() }, { "leader", leader_->daemon.value() } });
    for (const MinionReport& report : changes.reports)
        group_->remember(report);
    for (const MinionInstance& instance : changes.ended)
        group_->forget(instance);
}

void FleetKeeper::sendHeartbeats()
{
    std::vector<std::pair<DaemonId, DaemonHeartbeat>> heartbeats;
    {
        MutexLock lock(mutex_);
        const DaemonHeartbeat own { link_.self(), settings_.dataCentre, false, isDraining_, {}, {}, 0 };
        heartbeats = peerView_.nextHeartbeats(own);
        heartbeats.emplace_back(link_.self().daemon, own);
        // A keeper gets the routing table from the replicated log, so it reports the log's version to the others.
        for (auto& [to, message] : heartbeats)
            message.routing = registry_.routingVersion();
    }
    for (const auto& [to, message] : heartbeats)
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
        log_.write(Severity::Info, "grant_proposed", { { "service", record.cell.service.value() }, { "cell", nameOf(record.cell) }, { "owner", record.owner.daemon.value() }, { "previous_epoch", record.previous.value() }, { "reason", std::string(reasonName(proposal.reason)) }, { "owner_silent_ms", static_cast<uint64_t>(absl::ToInt64Milliseconds(std::min(proposal.ownerSilence, maxLoggedSilence))) } });
        group_->grant(record);
    }
}

void FleetKeeper::publishMetrics()
{
    const GroupState state = group_->status();
    metrics_.set("log_commit_index", {}, static_cast<double>(state.commitIndex.value()));
    metrics_.set("log_term", {}, static_cast<double>(state.term.value()));
    metrics_.set("log_members", {}, static_cast<double>(state.members.size()));
    const QuorumMargin margin = quorumMargin(state.members);
    metrics_.set("log_voters", {}, static_cast<double>(margin.voters));
    metrics_.set("log_losses_borne", {}, static_cast<double>(margin.losses));
    metrics_.set("log_elections_failed", {}, static_cast<double>(state.failedElections));
    metrics_.set("log_journal_failed", {}, state.failure.empty() ? 0 : 1);
    metrics_.set("log_is_leader", {}, state.isLeading ? 1 : 0);
    metrics_.set("log_lines_dropped", {}, static_cast<double>(log_.dropped()));
    metrics_.set("peers_connected", {}, static_cast<double>(link_.connectedPeers()));
    metrics_.set("peer_queue_bytes", {}, static_cast<double>(link_.queuedBytes().value()));
    MutexLock lock(mutex_);
    metrics_.set("configuration_version", {}, static_cast<double>(registry_.routingVersion().value()));
    metrics_.set("minions_reporting", {}, static_cast<double>(registry_.minionCount()));
    metrics_.set("minions_unlogged", {}, static_cast<double>(registry_.unloggedCount()));
    metrics_.set("minion_reports_awaited", {}, registry_.awaitsReports(link_.clock().now()) ? 1 : 0);
    metrics_.set("minion_reports_held", {}, static_cast<double>(registry_.heldReportCount()));
    metrics_.set("daemons_heard", {}, static_cast<double>(registry_.daemons().size()));
}

} // namespace trefoilwing
