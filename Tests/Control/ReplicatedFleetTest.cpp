#include "Control/ReplicatedFleet.h"
#include "Control/GroupCluster.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace trefoilwing;

namespace {

/// Operators give up a call after this time and close its connection.
constexpr absl::Duration operatorTimeout = absl::Seconds(1);

} // namespace

// Operators evacuate a data centre through any of five keepers, which are cut off, restarted and late.
TEST_GROUP(ReplicatedFleet)
{
    using Answer = std::shared_ptr<std::optional<Result<Done>>>;

    const DataCentreId dataCentre { "bole" };
    uint64_t incarnations = 0;
    /// What each keeper has reported to its listener.
    std::map<size_t, std::vector<Evacuation>> reported;
    std::unique_ptr<GroupCluster> cluster;

    void setup() override
    {
        GroupCluster::Options options;
        options.hosts = 5;
        options.hostsWithDisk = 5;
        options.minSyncedDisks = 2;
        options.maxEntries = 8;
        cluster = std::make_unique<GroupCluster>(options, [this](size_t host, LogSettings settings, JournalContent content, GroupPorts ports) {
            const DaemonRun run { settings.self.id.daemon, Incarnation(++incarnations) };
            return std::make_unique<ReplicatedFleet>(run, std::move(settings), std::move(content), ports, [this, host](const FleetState& state) {
                if (state.evacuations().contains(dataCentre))
                    reported[host].push_back(state.evacuationOf(dataCentre));
            });
        });
        CHECK(cluster->runUntil([&] { return cluster->isWhole(); }));
    }

    ReplicatedFleet& keeper(size_t host)
    {
        return dynamic_cast<ReplicatedFleet&>(*cluster->group(host));
    }

    struct Order {
        Answer answer;
        EvacuationOrderNumber number;
    };

    Order give(size_t host, bool isEvacuated)
    {
        auto answer = std::make_shared<std::optional<Result<Done>>>();
        const EvacuationOrderNumber number = keeper(host).evacuate(dataCentre, isEvacuated, [answer](const Result<Done>& result) { *answer = result; });
        return { answer, number };
    }

    static bool isDone(const Order& order)
    {
        return *order.answer && !errorOf(**order.answer);
    }

    /// Gives the order and waits for the answer, as an operator does.
    bool succeeds(size_t host, bool isEvacuated)
    {
        const Order order = give(host, isEvacuated);
        const bool isAnswered = cluster->runUntil([&] { return order.answer->has_value(); }, operatorTimeout);
        if (!isAnswered)
            keeper(host).abandonEvacuation(order.number);
        return isAnswered && isDone(order);
    }

    /// Gives the order to the keepers in turn until one acknowledges it.
    bool succeedsAtAny(bool isEvacuated)
    {
        for (size_t attempt = 0; attempt < cluster->size(); ++attempt) {
            if (succeeds(attempt, isEvacuated))
                return true;
        }
        return false;
    }

    bool isEvacuated(size_t host)
    {
        return keeper(host).state().evacuationOf(dataCentre).isEvacuated;
    }

    bool areAllEvacuated(bool wanted)
    {
        for (size_t host = 0; host < cluster->size(); ++host) {
            if (isEvacuated(host) != wanted)
                return false;
        }
        return true;
    }

    /// Gives an order whose proposal is on its way for up to some seconds, and which its operator gives up at once.
    void giveHeldUp(size_t host, bool isEvacuated)
    {
        cluster->setFaults({ 0, 0, absl::Milliseconds(2500) });
        keeper(host).abandonEvacuation(give(host, isEvacuated).number);
        cluster->setFaults({});
    }

    size_t follower() const
    {
        return cluster->leader() == 0 ? 1 : 0;
    }
};

TEST(ReplicatedFleet, AnOrderAtAnyKeeperIsInForceAtAllAndSucceedsAgainWhenRepeated)
{
    for (size_t host = 0; host < cluster->size(); ++host) {
        CHECK(succeeds(host, true));
        CHECK(cluster->runUntil([&] { return areAllEvacuated(true); }, absl::Seconds(1)));
    }
    CHECK(succeeds(follower(), false));
    CHECK(cluster->runUntil([&] { return areAllEvacuated(false); }, absl::Seconds(1)));
}

// Guards against an acknowledgement of an order that isn't stored, and against one that the loss of all power undoes. The log
// is short, so that some keepers restart from a snapshot.
TEST(ReplicatedFleet, AnAcknowledgedOrderSurvivesARestartOfAllKeepers)
{
    CHECK(succeeds(follower(), true));
    for (uint64_t version = 1; version < 30; ++version) {
        keeper(cluster->leader()).publish({ RoutingVersion(version), "{}" }, [](const Result<RoutingVersion>&) {});
        cluster->run(absl::Milliseconds(30));
    }
    for (size_t host = 0; host < cluster->size(); ++host)
        cluster->crash(host);
    cluster->loseDisk(4);
    for (size_t host = 0; host < cluster->size(); ++host)
        cluster->restart(host);
    CHECK(cluster->runUntil([&] { return cluster->isWhole() && areAllEvacuated(true); }));
    CHECK(succeeds(follower(), false));
}

TEST(ReplicatedFleet, AKeeperWithoutAMajorityAcknowledgesNothing)
{
    const size_t alone = follower();
    cluster->cut({ alone });
    CHECK_FALSE(succeeds(alone, true));
    CHECK_FALSE(isEvacuated(alone));
}

// Guards against an order that is lost with the leader: the operator still waits when another keeper leads.
TEST(ReplicatedFleet, AnOrderIsProposedAgainToANewLeader)
{
    const size_t old = cluster->leader();
    const size_t receiver = follower();
    cluster->cut({ old });
    cluster->run(absl::Milliseconds(400));
    CHECK_FALSE(cluster->hasLeader() && cluster->leader() != old);
    CHECK(succeeds(receiver, true));
    CHECK(cluster->leader() != old);
    cluster->heal();
    CHECK(cluster->runUntil([&] { return areAllEvacuated(true); }));
}

// Guards against a proposal that lost the comparison and is reported as a failure, although the operator still waits.
TEST(ReplicatedFleet, OfTwoOppositeOrdersAtOnceBothSucceedInSomeOrder)
{
    CHECK(succeeds(0, true));
    cluster->run(absl::Seconds(1));
    const Order first = give(0, false);
    const Order second = give(1, true);
    CHECK(cluster->runUntil([&] { return first.answer->has_value() && second.answer->has_value(); }, operatorTimeout));
    CHECK(isDone(first));
    CHECK(isDone(second));
    cluster->run(absl::Seconds(1));
    CHECK(areAllEvacuated(true) || areAllEvacuated(false));
}

// Guards against an order that takes effect after its withdrawal was acknowledged: the leader that received it is cut off
// before it can send it, and comes back later.
TEST(ReplicatedFleet, AnOrderHeldUpAtACutOffLeaderHasNoEffectAfterItsWithdrawal)
{
    const size_t old = cluster->leader();
    cluster->cut({ old });
    const Order late = give(old, true);
    cluster->run(operatorTimeout);
    keeper(old).abandonEvacuation(late.number);
    CHECK(cluster->runUntil([&] { return cluster->hasLeader() && cluster->leader() != old; }));
    CHECK(succeeds(cluster->leader(), true));
    CHECK(succeeds(cluster->leader(), false));
    cluster->heal();
    cluster->run(absl::Seconds(5));
    CHECK(areAllEvacuated(false));
}

// The same, if the order never reached any other keeper, so that the withdrawal finds nothing to withdraw. The proposal is
// still on its way to the leader then.
TEST(ReplicatedFleet, AnOrderHeldUpInTheNetworkHasNoEffectAfterAWithdrawalThatChangedNothing)
{
    const size_t receiver = follower();
    giveHeldUp(receiver, true);
    CHECK(succeeds(cluster->leader(), false));
    cluster->run(absl::Seconds(5));
    CHECK(areAllEvacuated(false));
}

// A keeper that stood still proposes again what it holds. Its operator has given up and withdrawn the order elsewhere.
TEST(ReplicatedFleet, AnOrderOfAKeeperThatStoodStillHasNoEffectAfterItsWithdrawal)
{
    const size_t frozen = follower();
    cluster->setFaults({ 100, 0, absl::ZeroDuration() });
    const Order late = give(frozen, true);
    cluster->setFaults({});
    cluster->freeze(frozen);
    cluster->run(operatorTimeout);
    const size_t other = cluster->leader();
    CHECK(succeeds(other, true));
    CHECK(succeeds(other, false));
    cluster->resume(frozen);
    cluster->run(absl::Seconds(5));
    CHECK(areAllEvacuated(false));
    CHECK(late.answer->has_value());
    CHECK_FALSE(isDone(late));
}

TEST(ReplicatedFleet, AnAbandonedOrderIsNeitherProposedAgainNorAnswered)
{
    cluster->setFaults({ 100, 0, absl::ZeroDuration() });
    const size_t receiver = follower();
    const Order order = give(receiver, true);
    cluster->run(absl::Milliseconds(100));
    keeper(receiver).abandonEvacuation(order.number);
    cluster->setFaults({});
    cluster->run(absl::Seconds(8));
    CHECK(areAllEvacuated(false));
    CHECK_FALSE(order.answer->has_value());
}

TEST(ReplicatedFleet, ListenersLearnOfRevisionsInTheirOrder)
{
    for (int round = 0; round < 6; ++round)
        CHECK(succeeds(static_cast<size_t>(round) % cluster->size(), round % 2 == 0));
    cluster->run(absl::Seconds(1));
    for (size_t host = 0; host < cluster->size(); ++host) {
        const std::vector<Evacuation>& seen = reported[host];
        CHECK(!seen.empty());
        CHECK(std::is_sorted(seen.begin(), seen.end(), [](const Evacuation& a, const Evacuation& b) { return a.revision < b.revision; }));
        CHECK_FALSE(seen.back().isEvacuated);
    }
}

// Operators, keepers and the network at random; an operator gives opposite orders one after the other, each until one keeper
// acknowledges it. Whatever was acknowledged last must be in force at the end, and stay so.
TEST(ReplicatedFleet, TheOrderAcknowledgedLastStaysInForceWhateverIsHeldUp)
{
    for (uint64_t seed = 1; seed <= 40; ++seed) {
        std::mt19937_64 random(seed);
        cluster->repairAll();
        CHECK(cluster->runUntil([&] { return cluster->isWhole(); }));
        for (int round = 0; round < 8; ++round) {
            if (random() % 3 == 0)
                cluster->cut({ random() % cluster->size() });
            else
                cluster->heal();
            if (random() % 4 == 0)
                cluster->freeze(random() % cluster->size());
            const bool isEvacuated = round % 2 == 0;
            if (random() % 2 == 0)
                giveHeldUp(random() % cluster->size(), isEvacuated);
            cluster->setFaults({ 5, 10, absl::Milliseconds(static_cast<int64_t>(random() % 400)) });
            bool isAcknowledged = false;
            for (int attempt = 0; attempt < 60 && !isAcknowledged; ++attempt) {
                isAcknowledged = succeeds(random() % cluster->size(), isEvacuated);
                if (attempt == 5)
                    cluster->repairAll();
            }
            CHECK_TEXT(isAcknowledged, absl::StrCat("seed ", seed, " round ", round).c_str());
            if (random() % 2 == 0) {
                cluster->repairAll();
                cluster->run(absl::Seconds(3));
                CHECK_TEXT(cluster->runUntil([&] { return areAllEvacuated(isEvacuated); }), absl::StrCat("seed ", seed, " round ", round).c_str());
            }
        }
    }
}
