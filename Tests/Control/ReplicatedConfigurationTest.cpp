#include "Control/ReplicatedConfiguration.h"
#include "Control/ConfigurationReplica.h"
#include "Control/GroupCluster.h"
#include "Control/RecordingGroup.h"
#include "Support/FakeClock.h"
#include "Support/RecordingPeers.h"

#include <optional>

#include <CppUTest/TestHarness.h>

using namespace trefoilwing;

TEST_GROUP(ReplicatedConfiguration)
{
    std::map<size_t, ConfigurationVersion> versions;
    std::unique_ptr<GroupCluster> cluster;

    void setup() override
    {
        cluster = std::make_unique<GroupCluster>(GroupCluster::Options {}, [this](size_t host, LogSettings settings, JournalContent content, GroupPorts ports) {
            return std::make_unique<ReplicatedConfiguration>(std::move(settings), std::move(content), ports,
                [this, host](const ConfigurationDelta& delta) { versions[host] = delta.changes.back().version; });
        });
        CHECK(cluster->runUntil([&] { return cluster->isWhole(); }));
    }

    using Answer = std::shared_ptr<std::optional<Result<ConfigurationVersion>>>;

    Answer publish(size_t host, const PublishRecord& record)
    {
        auto answer = std::make_shared<std::optional<Result<ConfigurationVersion>>>();
        dynamic_cast<ReplicatedConfiguration&>(*cluster->group(host)).publish(record, [answer](const Result<ConfigurationVersion>& result) { *answer = result; });
        return answer;
    }

    Result<ConfigurationVersion> await(const Answer& answer)
    {
        CHECK(cluster->runUntil([&] { return answer->has_value(); }));
        return **answer;
    }
};

TEST(ReplicatedConfiguration, OneOfTwoConcurrentPublishesWinsAndTheOtherOnesErrorNamesIt)
{
    const Answer first = publish(1, publishOf(0, 5));
    const Answer second = publish(2, publishOf(0, 6));
    const auto results = std::vector { await(first), await(second) };
    const size_t winner = valueOf(results[0]) ? 0 : 1;
    CHECK(*valueOf(results[winner]) == ConfigurationVersion(1));
    CHECK(errorOf(results[1 - winner])->message.find(winner == 0 ? "operator5" : "operator6") != std::string::npos);
}

TEST(ReplicatedConfiguration, ARepeatedPublishGetsTheFirstAnswerAfterALossOfTheLeader)
{
    const size_t old = cluster->leader();
    const size_t other = old == 0 ? 1 : 0;
    CHECK(*valueOf(await(publish(old, publishOf(0, 5)))) == ConfigurationVersion(1));
    cluster->crash(old);
    CHECK(*valueOf(await(publish(other, publishOf(0, 5)))) == ConfigurationVersion(1));
    CHECK(*valueOf(await(publish(other, publishOf(1, 6)))) == ConfigurationVersion(2));
    CHECK(versions[other] == ConfigurationVersion(2));
}

TEST(ReplicatedConfiguration, WithoutAMajorityAPublishMayHaveBeenAccepted)
{
    const size_t isolated = cluster->leader();
    cluster->cut({ isolated });
    CHECK(errorOf(await(publish(isolated, publishOf(0, 5))))->verdict == Verdict::MayHaveRun);
}

TEST_GROUP(ConfigurationReplica)
{
    RecordingPeers peers;
    FakeClock clock;
    std::vector<ConfigurationVersion> notified;
    ConfigurationReplica replica { peers, clock, [this](const std::shared_ptr<const Configuration>& configuration) { notified.push_back(configuration->version); } };
    ConfigurationState keeper;

    void publishUpTo(uint64_t version)
    {
        while (keeper.configuration().version < ConfigurationVersion(version))
            keeper.publish(publishOf(keeper.configuration().version.value(), 1));
    }
};

TEST(ConfigurationReplica, QueriesPeersInTurnAndKeepsServingMeanwhile)
{
    publishUpTo(500);
    replica.versionReceived(DaemonId("b"), ConfigurationVersion(500));
    replica.versionReceived(DaemonId("c"), ConfigurationVersion(500));
    CHECK_EQUAL(1, peers.sent.size());
    CHECK(replica.version() == ConfigurationVersion(0));
    clock.time = replica.nextWakeup();
    replica.wake();
    CHECK(peers.sent[0].first != peers.sent[1].first);
    replica.receive(keeper.deltaSince(std::get<ConfigurationQuery>(peers.sent[1].second).since));
    CHECK(replica.version() == ConfigurationVersion(500));
    CHECK(replica.nextWakeup() == absl::InfiniteFuture());
}

TEST(ConfigurationReplica, NeverGoesBackAndServesOthersFromWhatItHas)
{
    publishUpTo(3);
    replica.receive(keeper.deltaSince(ConfigurationVersion(0)));
    ConfigurationState stale;
    stale.publish(publishOf(0, 9));
    ConfigurationDelta whole;
    whole.whole = stale.configuration();
    replica.receive(whole);
    CHECK(notified == std::vector { ConfigurationVersion(3) });
    replica.receive(DaemonId("d"), ConfigurationQuery { ConfigurationVersion(1) });
    CHECK_EQUAL(2, std::get<ConfigurationDelta>(peers.sent.back().second).changes.size());
}
