#include "Control/OwnerAssigner.h"

#include <CppUTest/TestHarness.h>

using namespace trefoilwing;

// Scenario: entries are killed, frozen, restarted in a rolling update or partitioned off, and keepers restart.
TEST_GROUP(OwnerAssigner)
{
    absl::Time now = absl::FromUnixSeconds(1000);
    FleetRegistry registry { { DaemonId("keeper"), Incarnation(1) } };
    OwnerAssigner assigner;
    std::map<CellId, CellGrant> grants;
    const CellId cell { ServiceId("service"), DataCentreId("home") };

    void setup() override
    {
        assigner.startedLeading(now);
        registry.addPool(cell.pool());
    }

    void heartbeatFrom(const std::string& daemon, uint64_t run, const std::string& dataCentre, bool isEntry = true, bool isDraining = false)
    {
        registry.heartbeatReceived({ { DaemonId(daemon), Incarnation(run) }, DataCentreId(dataCentre), isEntry, isDraining, {}, {}, 0 }, now);
    }

    void grantTo(const std::string& daemon, uint64_t run)
    {
        grants[cell] = { cell, { DaemonId(daemon), Incarnation(run) }, OwnerEpoch(5) };
    }

    /// @return the daemon that is proposed as the cell's owner, or "none".
    std::string decide()
    {
        const std::vector<GrantProposal> proposals = assigner.decide(registry, grants, now);
        return proposals.empty() ? "none" : proposals.front().record.owner.daemon.value();
    }
};

TEST(OwnerAssigner, AnUnownedCellGetsAnOwnerInItsDataCentreAtOnce)
{
    heartbeatFrom("a-far", 1, "far");
    heartbeatFrom("home-1", 1, "home");
    STRCMP_EQUAL("home-1", decide().c_str());
}

TEST(OwnerAssigner, AReachableOwnerKeepsItsCell)
{
    heartbeatFrom("home-1", 1, "home");
    heartbeatFrom("home-2", 1, "home");
    grantTo("home-2", 1);
    now += absl::Seconds(5);
    heartbeatFrom("home-1", 1, "home");
    heartbeatFrom("home-2", 1, "home");
    STRCMP_EQUAL("none", decide().c_str());
}

TEST(OwnerAssigner, ASilentOwnerLosesItsCellWithinASecond)
{
    heartbeatFrom("home-1", 1, "home");
    now += absl::Milliseconds(800);
    heartbeatFrom("home-1", 1, "home");
    now += absl::Milliseconds(800);
    heartbeatFrom("home-1", 1, "home");
    heartbeatFrom("home-2", 1, "home");
    grantTo("home-2", 1);
    now += absl::Milliseconds(450);
    heartbeatFrom("home-1", 1, "home");
    now += absl::Milliseconds(450);
    heartbeatFrom("home-1", 1, "home");
    STRCMP_EQUAL("home-1", decide().c_str());
}

TEST(OwnerAssigner, AnOwnerThatRestartedIsReplacedWithoutWaiting)
{
    heartbeatFrom("home-1", 2, "home");
    grantTo("home-1", 1);
    STRCMP_EQUAL("home-1", decide().c_str());
}

TEST(OwnerAssigner, ANewLeaderDoesntReplaceASilentOwnerAtOnce)
{
    heartbeatFrom("home-1", 1, "home");
    grantTo("home-2", 1);
    STRCMP_EQUAL("none", decide().c_str());
}

TEST(OwnerAssigner, ACellMovesAwayFromADrainingOwner)
{
    heartbeatFrom("home-1", 1, "home", true, true);
    heartbeatFrom("home-2", 1, "home");
    grantTo("home-1", 1);
    STRCMP_EQUAL("home-2", decide().c_str());
}

TEST(OwnerAssigner, ACellOfAnUnreachableDataCentreKeepsItsOwner)
{
    grantTo("home-1", 1);
    now += absl::Seconds(3);
    heartbeatFrom("far-1", 1, "far");
    STRCMP_EQUAL("none", decide().c_str());
}

TEST(OwnerAssigner, AnotherDataCentreTakesOverIfOnlyTheEntryIsPresumedDead)
{
    grantTo("home-1", 1);
    for (int i = 0; i < 6; ++i) {
        now += absl::Milliseconds(500);
        heartbeatFrom("far-1", 1, "far");
        heartbeatFrom("home-keeper", 1, "home", false);
    }
    STRCMP_EQUAL("far-1", decide().c_str());
}

// Scenario: a data centre is partitioned off between a heartbeat of its owner and one of its keeper.
TEST(OwnerAssigner, ADataCentreThatBecomesUnreachableAsAWholeKeepsItsCell)
{
    for (int i = 0; i < 6; ++i) {
        now += absl::Milliseconds(250);
        heartbeatFrom("home-1", 1, "home");
        heartbeatFrom("far-1", 1, "far");
        heartbeatFrom("home-keeper", 1, "home", false);
    }
    grantTo("home-1", 1);
    now += absl::Milliseconds(240);
    heartbeatFrom("home-keeper", 1, "home", false);
    for (int i = 0; i < 12; ++i) {
        now += absl::Milliseconds(100);
        heartbeatFrom("far-1", 1, "far");
        STRCMP_EQUAL("none", decide().c_str());
    }
}

// Scenario: a partition heals, and the data centre's keeper becomes reachable shortly before its entries.
TEST(OwnerAssigner, ACellWhoseDataCentreComesBackWaitsForItsOwner)
{
    heartbeatFrom("home-1", 1, "home");
    heartbeatFrom("home-keeper", 1, "home", false);
    grantTo("home-1", 1);
    now += absl::Seconds(3);
    heartbeatFrom("far-1", 1, "far");
    heartbeatFrom("home-keeper", 1, "home", false);
    STRCMP_EQUAL("none", decide().c_str());
    now += absl::Milliseconds(500);
    heartbeatFrom("far-1", 1, "far");
    heartbeatFrom("home-keeper", 1, "home", false);
    STRCMP_EQUAL("none", decide().c_str());
    now += absl::Milliseconds(500);
    heartbeatFrom("far-1", 1, "far");
    heartbeatFrom("home-keeper", 1, "home", false);
    heartbeatFrom("home-1", 1, "home");
    now += absl::Milliseconds(500);
    heartbeatFrom("far-1", 1, "far");
    heartbeatFrom("home-keeper", 1, "home", false);
    STRCMP_EQUAL("none", decide().c_str());
}

TEST(OwnerAssigner, ARestartedOwnerIsReplacedEvenIfItsDataCentreJustCameBack)
{
    heartbeatFrom("home-1", 1, "home");
    grantTo("home-1", 1);
    now += absl::Seconds(3);
    heartbeatFrom("home-1", 2, "home");
    STRCMP_EQUAL("home-1", decide().c_str());
}

TEST(OwnerAssigner, AReturningEntryTakesItsDataCentresCellBackOnlyAfterADelay)
{
    grantTo("far-1", 1);
    heartbeatFrom("far-1", 1, "far");
    heartbeatFrom("home-1", 2, "home");
    STRCMP_EQUAL("none", decide().c_str());
    for (int i = 0; i < 10; ++i) {
        now += absl::Milliseconds(500);
        heartbeatFrom("far-1", 1, "far");
        heartbeatFrom("home-1", 2, "home");
    }
    STRCMP_EQUAL("home-1", decide().c_str());
}

// Another writer's entry that names an unknown service got an owner, which then tried to reach a minion that isn't one.
TEST(OwnerAssigner, MinionsOfAServiceThatIsntConfiguredGetNoOwner)
{
    heartbeatFrom("home-1", 1, "home");
    assigner.setServices({ ServiceId("other") });
    STRCMP_EQUAL("none", decide().c_str());
    assigner.setServices({ ServiceId("other"), ServiceId("service") });
    STRCMP_EQUAL("home-1", decide().c_str());
}

TEST(OwnerAssigner, APoolWhoseServiceIsWithdrawnStillGetsANewOwner)
{
    heartbeatFrom("home-1", 2, "home");
    grantTo("home-1", 1);
    assigner.setServices({ ServiceId("other") });
    STRCMP_EQUAL("home-1", decide().c_str());
}
