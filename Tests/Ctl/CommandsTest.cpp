#include "Ctl/Commands.h"

#include "Adapters/Yaml/DeclarationLoader.h"
#include "Ctl/FakeOperatorLink.h"

#include <sstream>

#include <CppUTest/TestHarness.h>

using namespace trefoilwing;

namespace {

const std::string declarationsFolder = std::string(TREFOILWING_EXAMPLES) + "/Addis/declarations";

} // namespace

TEST_GROUP(Commands)
{
    std::map<uint16_t, FakeDaemon> daemons;
    std::ostringstream out;
    std::ostringstream err;

    void setup() override
    {
        daemons[1].status.daemon = DaemonId("bole-1");
        daemons[2].status.daemon = DaemonId("bole-2");
    }

    void runExpecting(ExitCode expected, const std::vector<std::string>& words)
    {
        Console console { out, err };
        const ExitCode code = Commands(linksTo(daemons), nullptr).run(words, console);
        if (code != expected)
            FAIL((std::to_string(static_cast<int>(code)) + ": " + out.str() + err.str()).c_str());
    }

    void checkHolds(const std::ostringstream& stream, const std::string& part)
    {
        if (stream.str().find(part) == std::string::npos)
            FAIL(("no '" + part + "' in: " + stream.str()).c_str());
    }
};

TEST(Commands, InvalidUsageIsRejectedWithAHint)
{
    runExpecting(ExitCode::Usage, { "stats" });
    checkHolds(err, "command 'stats' is unknown; did you mean 'status'?");
    runExpecting(ExitCode::Usage, { "publish", "x", "--entri", "1" });
    checkHolds(err, "option '--entri' is unknown");
    checkHolds(err, "did you mean '--entry'?");
    runExpecting(ExitCode::Usage, { "drain", "--timeout" });
    checkHolds(err, "option '--timeout' needs a value");
    runExpecting(ExitCode::Usage, { "drain", "--timeout", "5" });
    checkHolds(err, "option '--timeout' has '5'; write a duration with its unit");
    runExpecting(ExitCode::Usage, { "status", "--entry", "localhost" });
    checkHolds(err, "write an IP address and a port");
    runExpecting(ExitCode::Usage, { "drain", "--entry", "127.0.0.1:1", "--entry", "127.0.0.1:2" });
    runExpecting(ExitCode::Usage, { "members", "replace", "a" });
}

TEST(Commands, ShowsHelpOfEachCommand)
{
    for (const char* name : { "check", "publish", "status", "drain", "members", "report", "load", "trace" }) {
        runExpecting(ExitCode::Ok, { name, "--help" });
        checkHolds(out, std::string("usage: trefoilctl ") + name);
    }
}

TEST(Commands, PublishesOnTopOfTheVersionInForce)
{
    daemons[1].isReachable = false;
    daemons[1].publishAnswer = Error { ErrorCode::Lost, "no answer", Verdict::MayHaveRun };
    daemons[2].configuration.version = ConfigurationVersion(6);
    daemons[2].publishAnswer = ConfigurationVersion(7);
    runExpecting(ExitCode::Ok, { "publish", declarationsFolder, "--entry", "127.0.0.1:1", "--entry", "127.0.0.1:2", "--operator", "abebe" });
    checkHolds(out, "published version 7");
    CHECK_TRUE(daemons[2].published.at(0) == daemons[1].published.at(0));
    CHECK_TRUE(daemons[2].published.at(0).base == ConfigurationVersion(6));
    STRCMP_EQUAL("abebe", daemons[2].published.at(0).operatorName.c_str());
}

TEST(Commands, PublishesNothingThatIsInForceAlready)
{
    daemons[1].configuration = { ConfigurationVersion(3), *valueOf(loadDeclarations(declarationsFolder)) };
    runExpecting(ExitCode::Ok, { "publish", declarationsFolder, "--entry", "127.0.0.1:1" });
    checkHolds(out, "nothing to change: version 3 holds it");
    LONGS_EQUAL(0, daemons[1].published.size());
    // With --base the change is always sent, since the answer says whether this change was published as that version.
    runExpecting(ExitCode::Ok, { "publish", declarationsFolder, "--entry", "127.0.0.1:1", "--base", "2" });
    LONGS_EQUAL(1, daemons[1].published.size());
}

TEST(Commands, DistinguishesConflictTimeoutAndUnreachable)
{
    daemons[1].publishAnswer = Error { ErrorCode::Conflict, "version 1 was published by bold", Verdict::NotRun };
    runExpecting(ExitCode::Conflict, { "publish", declarationsFolder, "--entry", "127.0.0.1:1" });
    checkHolds(err, "published by bold");
    daemons[1].publishAnswer = Error { ErrorCode::Unavailable, "no decision", Verdict::MayHaveRun };
    runExpecting(ExitCode::TimedOut, { "publish", declarationsFolder, "--entry", "127.0.0.1:1" });
    checkHolds(err, "no decision (may have run)");
    daemons[1].publishAnswer = ConfigurationVersion(1);
    runExpecting(ExitCode::TimedOut, { "publish", declarationsFolder, "--entry", "127.0.0.1:1", "--wait", "--timeout", "1ms" });
    checkHolds(err, "bole-1: version 1 isn't in force there yet");
    daemons[1].isReachable = false;
    runExpecting(ExitCode::Unreachable, { "status", "--entry", "127.0.0.1:1" });
}

TEST(Commands, WaitsUntilTheVersionIsInForce)
{
    daemons[1].status.configuration = ConfigurationVersion(1);
    runExpecting(ExitCode::Ok, { "publish", declarationsFolder, "--entry", "127.0.0.1:1", "--wait" });
    checkHolds(out, "in force at 1 daemons after");
}

TEST(Commands, StatusShowsGroupsAndQueues)
{
    FakeDaemon& first = daemons[1];
    first.status.isEntry = true;
    first.status.groups = { { GroupId("configuration"), "leader", Term(3), DaemonId("bole-1"), LogIndex(9), { { DaemonId("bole-1"), true, true }, { DaemonId("bole-2"), false, false } } } };
    first.status.minions = { { ServiceId("loans"), 5, 1, 0, SlotCount(40), SlotCount(7) } };
    first.status.queues = { { ServiceId("loans"), BackerId("dealers"), 1, 2, 3 } };
    daemons[2].status.queues = first.status.queues;
    daemons[2].status.groups = { { GroupId("configuration"), "follower", Term(2), DaemonId("old"), LogIndex(8), {} } };
    runExpecting(ExitCode::Ok, { "status", "--entry", "127.0.0.1:1", "--entry", "127.0.0.1:2" });
    checkHolds(out, "configuration  bole-1  3     9          bole-1*  bole-2");
    checkHolds(out, "loans    dealers  2     4              6");
    daemons[2].isReachable = false;
    runExpecting(ExitCode::Failed, { "status", "--entry", "127.0.0.1:1", "--entry", "127.0.0.1:2" });
}

TEST(Commands, ReplacesALostMember)
{
    daemons[1].status.groups = { { GroupId("ledger/bole"), "leader", Term(1), DaemonId("bole-1"), LogIndex(1), { { DaemonId("bole-3"), true, false } } } };
    runExpecting(ExitCode::Ok, { "members", "replace", "bole-2", "bole-3", "--group", "ledger/bole", "--entry", "127.0.0.1:1" });
    CHECK_TRUE((daemons[1].removals == std::vector<MemberRemoval> { { GroupId("ledger/bole"), DaemonId("bole-2") } }));
    runExpecting(ExitCode::TimedOut, { "members", "add", "bole-4", "--group", "ledger/bole", "--entry", "127.0.0.1:1", "--timeout", "1ms" });
}

TEST(Commands, DrainsOneDaemon)
{
    runExpecting(ExitCode::TimedOut, { "drain", "--entry", "127.0.0.1:1", "--wait", "--timeout", "1ms" });
    CHECK_TRUE(daemons[1].status.isDraining);
    daemons[1].status.isDrained = true;
    runExpecting(ExitCode::Ok, { "drain", "--entry", "127.0.0.1:1", "--wait" });
}
