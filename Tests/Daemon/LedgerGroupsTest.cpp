#include "Daemon/LedgerGroups.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace trefoilwing;

TEST_GROUP(LedgerGroups)
{
    DaemonSettings settings;

    void add(const char* daemon, const char* dataCentre, bool isKeeper)
    {
        PeerSettings peer;
        peer.daemon = DaemonId(daemon);
        peer.dataCentre = DataCentreId(dataCentre);
        peer.isKeeper = isKeeper;
        settings.peers.push_back(peer);
    }

    std::string members(const char* dataCentre)
    {
        std::string names;
        for (const DaemonId& daemon : ledgerMembers(settings, DataCentreId(dataCentre)))
            names += daemon.value() + " ";
        return names;
    }
};

TEST(LedgerGroups, TwoDaemonsAddAKeeperOfAnotherDataCentre)
{
    add("a1", "bole", true);
    add("a2", "bole", false);
    add("b1", "merkato", true);
    add("c1", "piassa", true);
    STRCMP_EQUAL("a1 a2 b1 ", members("bole").c_str());
}

TEST(LedgerGroups, ThreeDaemonsWithoutADiskAddAKeeperOfAnotherDataCentre)
{
    add("a1", "bole", false);
    add("a2", "bole", false);
    add("a3", "bole", false);
    add("b1", "merkato", true);
    add("b2", "merkato", true);
    STRCMP_EQUAL("a1 a2 a3 b1 ", members("bole").c_str());
}

TEST(LedgerGroups, ThreeDaemonsWithADiskAddNoOtherMember)
{
    add("a1", "bole", true);
    add("a2", "bole", false);
    add("a3", "bole", false);
    add("b1", "merkato", true);
    STRCMP_EQUAL("a1 a2 a3 ", members("bole").c_str());
}

TEST(LedgerGroups, AnAddedKeeperIsAMemberOfThatGroup)
{
    add("a1", "bole", true);
    add("a2", "bole", false);
    add("b1", "merkato", true);
    add("b2", "merkato", false);
    settings.daemon = DaemonId("b1");
    settings.isKeeper = true;
    const std::vector<GroupId> groups = groupsOf(settings);
    LONGS_EQUAL(3, groups.size());
    CHECK(std::find(groups.begin(), groups.end(), ledgerGroup(DataCentreId("bole"))) != groups.end());
    CHECK(std::find(groups.begin(), groups.end(), ledgerGroup(DataCentreId("merkato"))) != groups.end());
    CHECK(std::find(groups.begin(), groups.end(), configurationGroup()) != groups.end());
}
