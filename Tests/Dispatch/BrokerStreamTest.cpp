#include "Dispatch/Broker/QueueingSlotBroker.h"
#include "Dispatch/BrokerClient.h"
#include "Dispatch/BrokerHost.h"
#include "Support/SeededRandom.h"

#include <CppUTest/TestHarness.h>

using namespace trefoilwing;

namespace {

std::unique_ptr<SlotBroker> makeBroker(const ServiceDeclaration&)
{
    static SeededRandom random(7);
    auto created = QueueingSlotBroker::create(BrokerPolicy {}, random);
    return std::move(std::get<std::unique_ptr<QueueingSlotBroker>>(created));
}

} // namespace

TEST_GROUP(BrokerStream)
{
    const DaemonRun entryRun { DaemonId("a1"), Incarnation(7) };
    const DaemonId brokerDaemon { "a2" };
    absl::Time now = absl::FromUnixSeconds(1000);
    BrokerClient client { ServiceId("follow-up"), entryRun };
    BrokerHost host { { brokerDaemon, Incarnation(3) }, makeBroker };

    void setup() override
    {
        client.setBroker(brokerDaemon);
    }

    void host1()
    {
        ServiceDeclaration declaration;
        declaration.service = ServiceId("follow-up");
        declaration.backers = { { BackerId("shop-7"), 1, {} } };
        declaration.kinds = { { TaskKindId("price"), absl::Milliseconds(100), true, {} } };
        host.setService(declaration, true, now);
        MinionAnnouncement minion;
        minion.minion = MinionId("m1");
        minion.incarnation = Incarnation(1);
        minion.service = declaration.service;
        minion.slots = SlotCount(8);
        host.minionAnnounced(minion, now);
    }

    BrokerUpdate update(uint64_t job)
    {
        BrokerUpdate header = client.nextHeader(now);
        header.demands.push_back(Demand { JobNumber(job), BackerId("shop-7"), now, now + absl::Seconds(60), { { TaskKindId("price"), 1 } }, {} });
        return header;
    }
};

TEST(BrokerStream, AnEntryThatSpokeBeforeTheBrokerKnewTheServiceBeginsAnew)
{
    host.entryUpdated(update(1), now);
    host1();
    host.entryUpdated(update(2), now);
    const std::vector<AddressedDecisions> decided = host.decide(now);
    LONGS_EQUAL(1, decided.size());
    CHECK(decided[0].decisions.needsFullState);
    CHECK_FALSE(client.accept(brokerDaemon, decided[0].decisions));
    CHECK(client.needsWholeState());
    host.entryUpdated(update(1), now);
    const std::vector<AddressedDecisions> granted = host.decide(now);
    LONGS_EQUAL(1, granted.size());
    CHECK(client.accept(brokerDaemon, granted[0].decisions));
    LONGS_EQUAL(1, granted[0].decisions.grants.size());
}

TEST(BrokerStream, LostDecisionsMakeTheEntryBeginAnew)
{
    host1();
    host.entryUpdated(update(1), now);
    host.decide(now);
    host.entryUpdated(update(2), now);
    const std::vector<AddressedDecisions> second = host.decide(now);
    CHECK_FALSE(client.accept(brokerDaemon, second.at(0).decisions));
    CHECK(client.needsWholeState());
}

TEST(BrokerStream, DecisionsOfAnEarlierStreamOrBrokerAreDropped)
{
    host1();
    host.entryUpdated(update(1), now);
    const std::vector<AddressedDecisions> first = host.decide(now);
    client.setBroker(DaemonId("a3"));
    CHECK_FALSE(client.accept(brokerDaemon, first.at(0).decisions));
    client.setBroker(brokerDaemon);
    update(1);
    CHECK_FALSE(client.accept(brokerDaemon, first.at(0).decisions));
}

TEST(BrokerStream, AnUnconfirmedLastDecisionIsNoticedByTheNextUpdate)
{
    host1();
    host.entryUpdated(update(1), now);
    host.decide(now);
    now += absl::Seconds(5);
    BrokerUpdate idle = client.nextHeader(now);
    host.entryUpdated(idle, now);
    const std::vector<AddressedDecisions> decided = host.decide(now);
    LONGS_EQUAL(1, decided.size());
    CHECK(decided[0].decisions.needsFullState);
}
