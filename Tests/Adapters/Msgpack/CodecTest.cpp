#include "Adapters/Msgpack/Codec.h"

#include <CppUTest/TestHarness.h>

using namespace trefoilwing;

namespace {

const SubmissionKey key { ServiceId("quotes"), BackerId("shop-1"), CallerKey("order-7") };

template <typename T>
bool survives(const T& value)
{
    const Result<T> decoded = decode<T>(encode(value));
    return valueOf(decoded) && *valueOf(decoded) == value;
}

template <typename T>
bool isRefused(std::string_view bytes)
{
    const Result<T> decoded = decode<T>(bytes);
    return errorOf(decoded) && errorOf(decoded)->code == ErrorCode::Malformed;
}

MinionAnnouncement someAnnouncement()
{
    return { MinionId("m-1"), Incarnation(3), 9, { "10.0.0.1", 8080 }, ServiceId("quotes"), DataCentreId("bole"),
        WorkerId("w-1"), RackId("r-1"), SlotCount(8), SlotCount(2), { { "accelerators", 1 } }, MinionState::Leaving };
}

/// A struct as a newer version might declare it, with one more field.
struct NewerEndpoint {
    std::string address;
    uint16_t port = 0;
    std::optional<std::string> name;
};

void visitFields(auto&& visit, Fields<NewerEndpoint> auto& value)
{
    visit(value.address, value.port, value.name);
}

/// A keeper's update and its part of a snapshot as the version before evacuations encodes them.
struct EarlierUpdate {
    Incarnation keeper;
    bool isLeading = false;
    uint64_t number = 0;
    uint64_t since = 0;
    std::optional<RoutingDocument> routing;
    std::vector<CellGrant> grants;
    std::vector<MinionReport> minions;
    std::vector<MinionInstance> gone;
    std::optional<std::vector<DaemonInfo>> daemons;
    std::vector<DaemonInfo> changedDaemons;
    std::vector<DaemonId> lostDaemons;
    OwnerEpoch newestGrant;
    std::optional<RoutingTable> table;
};

void visitFields(auto&& visit, Fields<EarlierUpdate> auto& value)
{
    visit(value.keeper, value.isLeading, value.number, value.since, value.routing, value.grants, value.minions, value.gone, value.daemons, value.changedDaemons, value.lostDaemons, value.newestGrant, value.table);
}

struct EarlierChunk {
    RoutingDocument routing;
    std::vector<CellGrant> grants;
    std::vector<MinionReport> minions;
    std::vector<MinionInstance> departed;
};

void visitFields(auto&& visit, Fields<EarlierChunk> auto& value)
{
    visit(value.routing, value.grants, value.minions, value.departed);
}

} // namespace

TEST_GROUP(Codec) {};

// Msgpack's packer writes doubles without a fractional part as integers, which must decode to doubles again.
TEST(Codec, ALoadWithAWholeRateSurvives)
{
    CellLoad load { { { ServiceId("quotes"), DataCentreId("bole") }, { DaemonId("d-1"), Incarnation(1) }, OwnerEpoch(7) }, 16000, 7000, { 3, 0, 4 }, 0.5, absl::FromUnixMicros(40) };
    for (const double rate : { 0.0, 2.0, 0.25, 1e9 }) {
        load.completionsPerSecond = rate;
        CHECK(survives(PeerMessage(load)));
    }
}

TEST(Codec, EveryFleetMessageSurvives)
{
    const DaemonRun run { DaemonId("10.0.0.1"), Incarnation(5) };
    const CellGrant grant { { ServiceId("quotes"), DataCentreId("bole"), { 2, 5 } }, run, OwnerEpoch(7) };
    const MinionReport report { { MinionId("m-1"), MinionStartTime(3) }, 9, grant.cell.pool(), { "10.0.0.2", 8080 }, { 16000, 65536, 1 }, { "a" }, MinionState::Leaving };
    CHECK(survives(PeerMessage(DaemonHeartbeat { run, DataCentreId("bole"), true, true, RoutingVersion(4), Incarnation(2), 6, 90, JobClaims { { Incarnation(3), absl::FromUnixMicros(41) }, { 5, 8 } } })));
    const RoutingTable table { RoutingVersion(4), { { RouteName("r"), "host", "/p/", ServiceId("s"), absl::Seconds(1), absl::Milliseconds(60), 1.6, 2, 3 } }, { ServiceId("s") } };
    CHECK(survives(PeerMessage(FleetUpdate { Incarnation(5), true, 8, 2, RoutingDocument { RoutingVersion(4), "{}" }, { grant }, { report }, { report.instance }, { { { run, DataCentreId("bole"), false, true } } }, { { run, DataCentreId("bole"), true, false } }, { run.daemon }, OwnerEpoch(9), table, { { DataCentreId("bole"), EvacuationRevision(7), true } } })));
    CHECK(survives(PeerMessage(JobOffer { grant.cell, JobKey("job"), "request", 3, RouteName("route"), 5, 2, { 7000, 64, 0 }, absl::Milliseconds(51), "spec", absl::Milliseconds(141), absl::Seconds(2), 1, 4, true, std::nullopt, OwnerEpoch(9) })));
    CHECK(survives(PeerMessage(JobCancel { grant.cell, JobKey("job"), 3 })));
    CHECK(survives(PeerMessage(JobResult { JobKey("job"), 3, JobEnd::Rejected, absl::Seconds(1), absl::Milliseconds(5), RejectionReason::Evacuated })));
}

TEST(Codec, EveryPeerMessageSurvives)
{
    const Demand demand { JobNumber(7), BackerId("shop-1"), absl::FromUnixMicros(1), absl::InfiniteFuture(),
        { { TaskKindId("price"), 3 } }, { MinionId("m-2") }, true };
    const SlotReport report { JobNumber(7), MinionId("m-1"), TaskKindId("price"), SlotEnding::Returned, absl::Microseconds(5) };
    CHECK(survives(PeerMessage(BrokerUpdate { key.service, { DaemonId("d-1"), Incarnation(1) }, 1, 2, { demand }, { report },
        { { MinionId("m-1"), 4 } }, 6 })));
    CHECK(survives(PeerMessage(BrokerDecisions { key.service, { DaemonId("d-1"), Incarnation(1) }, { DaemonId("d-2"), Incarnation(2) }, 3, 4,
        { { JobNumber(7), TaskKindId("price"), MinionId("m-1"), SlotCount(2) } },
        { { JobNumber(8), { ErrorCode::Overloaded, "no slot in time", Verdict::NotRun } } }, true })));
    CHECK(survives(PeerMessage(ForwardedSubmission { RequestId(4),
        { key, { { TaskKindId("price"), std::string("\0\xff", 2) } }, absl::FromUnixMicros(99), true } })));
    CHECK(survives(PeerMessage(OutcomeQuery { RequestId(5), key, absl::Seconds(2) })));
    CHECK(survives(PeerMessage(ForwardReply { RequestId(5), StillRunning {} })));
    CHECK(survives(PeerMessage(ForwardReply { RequestId(5), JobAnswer { { "a", "", "c" } } })));
    CHECK(survives(PeerMessage(ForwardReply { RequestId(5), Error { ErrorCode::Lost, "owner died", Verdict::MayHaveRun } })));
}

TEST(Codec, MinionMessagesSurvive)
{
    CHECK(survives(someAnnouncement()));
    CHECK(survives(TaskStart { AttemptId(1), { key, TaskIndex(2) }, TaskKindId("price"), "x", absl::FromUnixMicros(5), true }));
    CHECK(survives(StartAnswer { AttemptId(1), StartReply::RefusedSeen }));
    CHECK(survives(CancelAnswer { AttemptId(1), CancelReply::Fenced }));
    CHECK(survives(TaskResult { AttemptId(1), { key, TaskIndex(2) }, TaskStatus::Failed, "out", absl::Milliseconds(70) }));
}

TEST(Codec, LogMessagesSurvive)
{
    const LogHeader header { GroupId("ledger/bole"), Epoch(2), { DaemonId("d-1"), Incarnation(1) }, { DaemonId("d-2"), Incarnation(4) }, Term(9) };
    const ClaimRecord claim { key, Digest(5), { DaemonId("d-1"), Incarnation(1) }, absl::FromUnixMicros(7), absl::Hours(1) };
    CHECK(survives(PeerMessage(AppendRequest { header, LogIndex(4), Term(8),
        { { LogIndex(5), Term(9), claim }, { LogIndex(6), Term(9), NoOperation {} } }, LogIndex(4), 3, { { header.to, absl::Milliseconds(700) } } })));
    CHECK(survives(PeerMessage(AppendReply { header, true, LogIndex(6), 3, std::nullopt })));
    CHECK(survives(PeerMessage(SnapshotRequest { header, LogIndex(4), Term(8), { { header.from, true, true } }, 0, 1,
        LedgerChunk { absl::InfinitePast(), absl::FromUnixMicros(7), { { claim, std::nullopt } } }, 3 })));
}

TEST(Codec, ConfigurationSurvives)
{
    ServiceDeclaration service;
    service.service = key.service;
    service.backers = { { key.backer, 3, DataCentreId("bole") } };
    service.kinds = { { TaskKindId("price"), absl::Seconds(1), true, { { "accelerators", 1 } } } };
    CHECK(survives(Configuration { ConfigurationVersion(12), { service } }));
}

TEST(Codec, InfiniteTimesStayInfinite)
{
    CHECK(survives(absl::InfinitePast()));
    CHECK(survives(absl::InfiniteDuration()));
    CHECK(survives(-absl::InfiniteDuration()));
}

TEST(Codec, AnOlderReceiverIgnoresNewFields)
{
    const std::string bytes = encode(NewerEndpoint { "10.0.0.1", 80, "front" });
    const Result<Endpoint> decoded = decode<Endpoint>(bytes);
    CHECK(valueOf(decoded) && *valueOf(decoded) == (Endpoint { "10.0.0.1", 80 }));
}

TEST(Codec, ANewerReceiverTakesDefaultsForMissingFields)
{
    const std::string bytes = encode(Endpoint { "10.0.0.1", 80 });
    const Result<NewerEndpoint> decoded = decode<NewerEndpoint>(bytes);
    CHECK(valueOf(decoded) && valueOf(decoded)->port == 80 && !valueOf(decoded)->name);
}

TEST(Codec, EvacuationsSurvive)
{
    const DaemonRun run { DaemonId("10.0.0.1"), Incarnation(5) };
    const Evacuation evacuation { DataCentreId("bole"), EvacuationRevision(7), true };
    FleetUpdate update;
    update.evacuations = { evacuation };
    update.awaitsReports = true;
    CHECK(survives(PeerMessage(update)));
    CHECK(survives(LogEntry { LogIndex(8), Term(2), EvacuationRecord { DataCentreId("bole"), true, EvacuationRevision(7), run, 3 } }));
    CHECK(survives(SnapshotChunk(FleetChunk { {}, {}, {}, {}, { evacuation } })));
}

// Guards against a fleet that can't be upgraded while it runs, and against keepers that can't read their disks afterwards.
TEST(Codec, MessagesAndSnapshotsFromBeforeEvacuationsAreRead)
{
    const DaemonRun run { DaemonId("10.0.0.1"), Incarnation(5) };
    const CellGrant grant { { ServiceId("quotes"), DataCentreId("bole"), { 2, 5 } }, run, OwnerEpoch(7) };
    const FleetUpdate update { Incarnation(5), true, 8, 2, std::nullopt, { grant }, {}, {}, std::nullopt, {}, { run.daemon }, OwnerEpoch(9), std::nullopt, {} };
    const Result<FleetUpdate> decodedUpdate = decode<FleetUpdate>(encode(EarlierUpdate { update.keeper, update.isLeading, update.number, update.since, update.routing, update.grants, update.minions, update.gone, update.daemons, update.changedDaemons, update.lostDaemons, update.newestGrant, update.table }));
    CHECK(valueOf(decodedUpdate) && *valueOf(decodedUpdate) == update);
    const FleetChunk chunk { RoutingDocument { RoutingVersion(4), "{}" }, { grant }, {}, { { MinionId("m-1"), MinionStartTime(3) } }, {} };
    const Result<FleetChunk> decodedChunk = decode<FleetChunk>(encode(EarlierChunk { chunk.routing, chunk.grants, chunk.minions, chunk.departed }));
    CHECK(valueOf(decodedChunk) && *valueOf(decodedChunk) == chunk);
}

TEST(Codec, RefusesWhatIsNoMessage)
{
    CHECK(isRefused<PeerMessage>(""));
    CHECK(isRefused<PeerMessage>("\x92"));
    CHECK(isRefused<Endpoint>(encode(Endpoint { "a", 1 }) + "x"));
    CHECK(isRefused<uint16_t>(encode(uint32_t { 65536 })));
    CHECK(isRefused<uint32_t>(encode(-1)));
    CHECK(isRefused<Verdict>(encode(3)));
    CHECK(isRefused<PeerMessage>(encode(std::vector<uint32_t> { 200, 0 })));
}

TEST(Codec, RefusesArraysThatTheBytesCannotHold)
{
    CHECK(isRefused<std::vector<uint32_t>>("\xdd\xff\xff\xff\xff\x01"));
    CHECK(isRefused<std::string>("\xdb\xff\xff\xff\xffzz"));
}

TEST(Codec, RefusesDeepNesting)
{
    CHECK(isRefused<PeerMessage>(std::string(100000, '\x91')));
    CHECK(isRefused<PeerMessage>(std::string(Decoder::maxDepth + 1, '\x91') + '\x01'));
}
