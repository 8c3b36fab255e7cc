#include "Daemon/Daemon.h"

#include "Adapters/Histogram/PrometheusText.h"
#include "Daemon/LedgerGroups.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>

#include <utility>

namespace trefoilwing {

namespace {

    constexpr absl::Duration drainPoll = absl::Milliseconds(50);
    /// How long outcomes that nobody has fetched keep a draining daemon up.
    constexpr absl::Duration fetchGrace = absl::Seconds(10);
    /// Long polls may hold at most this part of the connections.
    constexpr uint32_t parkedShare = 2;
    constexpr uint32_t minionSenders = 32;

    Incarnation nextIncarnation()
    {
        return Incarnation(static_cast<uint64_t>(absl::ToUnixMicros(absl::Now())));
    }

    template <typename T>
    concept HasLogHeader = requires(const T& message)
    {
        message.header.group;
    };

    template <typename T>
    concept HasGroup = requires(const T& message)
    {
        message.group;
    };

    template <typename T>
    concept FleetMessage = std::is_constructible_v<std::variant<DaemonHeartbeat, FleetUpdate, CellLoad, JobOffer, JobCancel, JobResult>, T>;

    /// Passes each kind of message to the role that takes it.
    struct Router {
        const DaemonId& from;
        EntryRole& entry;
        ControlRole& control;
        MembershipRole& membership;

        template <HasLogHeader T>
        void operator()(T& message) const { control.receive(from, LogMessage(message), message.header.group); }
        template <HasGroup T>
        void operator()(T& message) const { control.receive(from, LogMessage(message), message.group); }
        void operator()(const ConfigurationQuery& query) const { control.receive(from, query); }
        void operator()(const ConfigurationDelta& delta) const { control.receive(from, delta); }
        // MembershipRole takes these once it is made of Membership and MinionRegistry.
        void operator()(const MembershipMessage&) const { }
        void operator()(const BrokerUpdate& update) const { entry.receive(from, update); }
        void operator()(const BrokerDecisions& decisions) const { entry.receive(from, decisions); }
        void operator()(const ForwardedSubmission& forwarded) const { entry.receive(from, forwarded); }
        void operator()(const OutcomeQuery& query) const { entry.receive(from, query); }
        void operator()(const ForwardReply& reply) const { entry.receive(from, reply); }
        void operator()(const Heartbeat& heartbeat) const
        {
            membership.receive(from, heartbeat);
            control.versionReceived(from, heartbeat.configuration);
        }
        // Those of a fleet have no meaning here.
        template <FleetMessage T>
        void operator()(const T&) const { }
        template <typename T>
        void operator()(const T& message) const { membership.receive(from, message); }
    };

} // namespace

Result<std::unique_ptr<Daemon>> Daemon::create(const DaemonSettings& settings, HistogramMetrics& metrics, EventLog& log)
{
    const Incarnation incarnation = nextIncarnation();
    auto journals = GroupJournals::open(settings, groupsOf(settings), incarnation);
    if (const Error* error = errorOf(journals))
        return *error;
    return std::unique_ptr<Daemon>(new Daemon(settings, incarnation, std::get<std::unique_ptr<GroupJournals>>(std::move(journals)), metrics, log));
}

Daemon::Daemon(const DaemonSettings& settings, Incarnation incarnation, std::unique_ptr<GroupJournals> journals, HistogramMetrics& metrics, EventLog& log)
    : settings_(settings)
    , log_(log)
    , self_ { settings.daemon, incarnation }
    , linkRandom_(SeededRandom::freshSeed())
    , others_(settings_, incarnation, steadyClock_, linkRandom_, log)
    , peers_(settings.daemon, others_, *this)
    , membership_(settings_, self_, peers_, *this)
    , control_(settings_, self_, std::move(journals), ControlPorts { clock_, peers_, log }, [this](const std::shared_ptr<const Configuration>& configuration) { configurationChanged(*configuration); })
    , entry_(std::make_unique<EntryRole>(
          EntryPorts { clock_, declarations_, membership_, control_.ledger(), peers_, metrics },
          HttpMinionLinkOptions { self_, settings_.httpEndpoint, minionSenders, {} }))
    , server_(HttpServerOptions { settings_.maxConnections, settings_.maxRequestBody })
    , minionApi_(*this)
    , callerApi_(std::make_unique<CallerApi>(entry_->desk(), clock_, settings_.maxConnections / parkedShare))
    , operations_(settings_, membership_, control_, *entry_)
    , operatorApi_(operations_, metrics, prometheusText)
{
    minionApi_.addRoutes(server_);
    callerApi_->addRoutes(server_);
    operatorApi_.addRoutes(server_);
}

Daemon::~Daemon()
{
    stop();
}

Result<Done> Daemon::start()
{
    Result<Done> started = server_.start(settings_.httpEndpoint);
    if (errorOf(started))
        return started;
    Result<Done> linked = others_.start(*this);
    if (errorOf(linked))
        return linked;
    membershipThread_ = std::make_unique<PumpThread>(membership_, clock_);
    control_.start();

    log_.write(Severity::Info, "serving", { { "daemon", settings_.daemon.value() }, { "data_centre", settings_.dataCentre.value() }, { "http", absl::StrCat(settings_.httpEndpoint.address, ":", server_.port()) }, { "incarnation", self_.incarnation.value() } });
    return started;
}

bool Daemon::drain(absl::Duration limit)
{
    const absl::Time begin = clock_.now();
    SubmissionDesk& desk = entry_->desk();
    desk.drain();
    membership_.drain();
    log_.write(Severity::Info, "draining", { { "open", desk.openCount() } });
    while (desk.openCount() > 0 && clock_.now() < begin + limit)
        absl::SleepFor(drainPoll);
    const absl::Time finished = clock_.now();
    while (desk.untoldCount() > 0 && clock_.now() < finished + fetchGrace)
        absl::SleepFor(drainPoll);
    log_.write(Severity::Info, "drained", { { "open", desk.openCount() }, { "untold", desk.untoldCount() } });
    return desk.openCount() == 0;
}

void Daemon::stop()
{
    membership_.leave();
    // Minions can't announce themselves any more once the server stops, which doesn't mean that they are gone.
    if (membershipThread_)
        membershipThread_->stop();
    server_.stop();
    entry_->stop();
    control_.stop();
    others_.stop();
}

void Daemon::messageReceived(const DaemonId& from, PeerMessage message)
{
    std::visit(Router { from, *entry_, control_, membership_ }, message);
}

Result<absl::Duration> Daemon::announced(const MinionAnnouncement& announcement)
{
    return membership_.announced(announcement);
}

void Daemon::resultsPosted(ResultBatch batch)
{
    entry_->resultsPosted(std::move(batch));
}

void Daemon::minionAnnounced(const MinionAnnouncement& announcement)
{
    entry_->minionAnnounced(announcement);
}

void Daemon::minionGone(const ServiceId& service, const MinionId& minion)
{
    log_.write(Severity::Warning, "minion_gone", { { "service", service.value() }, { "minion", minion.value() } });
    entry_->minionGone(service, minion);
}

void Daemon::daemonJoined(const DaemonRun& run)
{
    log_.write(Severity::Info, "daemon_joined", { { "daemon", run.daemon.value() }, { "incarnation", run.incarnation.value() } });
}

void Daemon::daemonGone(const DaemonRun& run)
{
    log_.write(Severity::Warning, "daemon_gone", { { "daemon", run.daemon.value() }, { "incarnation", run.incarnation.value() } });
    entry_->daemonGone(run);
    control_.daemonGone(run);
}

void Daemon::brokersMoved()
{
    entry_->refreshServices({});
}

void Daemon::configurationChanged(const Configuration& configuration)
{
    const std::vector<ServiceId> removed = declarations_.set(configuration);
    log_.write(Severity::Info, "configuration_in_force", { { "version", configuration.version.value() }, { "services", uint64_t { configuration.services.size() } } });
    membership_.setConfiguration(configuration.version);
    entry_->refreshServices(removed);
}

} // namespace trefoilwing
