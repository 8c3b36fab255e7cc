#include "Control/RecordingGroup.h"

#include <absl/strings/str_cat.h>

#include <array>
#include <functional>
#include <random>

#include <CppUTest/TestHarness.h>

// Keepers are lost one after the other, and sometimes several at a time, as many as the fleet must bear. A lost one counts
// as lost until it, or the one that takes its place, has had the catch-up time.

using namespace trefoilwing;

namespace {

/// The group of a fleet's keepers: as many as a site has, with the settings that FleetKeeper chooses.
struct Site {
    size_t keepers;
    size_t losses;
    absl::Duration catchUp;
};

class KeeperLosses {
public:
    KeeperLosses(const Site& site, uint64_t seed)
        : site_(site)
        , engine_(seed)
        , cluster_(makeRecordingCluster(oracle_, { .hosts = site.keepers, .hostsWithDisk = site.keepers, .maxEntries = 64, .voterTimeout = site.catchUp / 2, .keepsOddVoters = true, .minSyncedDisks = static_cast<uint32_t>(site.losses) + 1, .foundsOnce = true, .seed = seed }))
    {
        for (size_t host = 0; host < site.keepers; ++host)
            keepers_.push_back(host);
    }

    /// @return what went wrong; empty if the group has a leader that commits, and has lost nothing, when all is over.
    std::string run()
    {
        if (!cluster_->runUntil([&] { return cluster_->isWhole(); }))
            return "the group was not founded";
        const size_t count = 4 + below(8);
        for (size_t i = 0; i < count; ++i) {
            advance(absl::Milliseconds(below(6000)));
            lose();
        }
        advance(recoveryTime);
        if (!commits())
            return absl::StrCat("no majority after:", story_);
        if (!oracle_.holds())
            return absl::StrCat(oracle_.violation(), " after:", story_);
        return "";
    }

private:
    static constexpr absl::Duration recoveryTime = absl::Seconds(15);

    struct Loss {
        size_t host;
        /// When the host, or its successor, is back; and what has to be done then.
        absl::Time backAt;
        std::function<void()> comeBack;
    };

    uint64_t below(uint64_t bound) { return engine_() % bound; }

    void advance(absl::Duration duration)
    {
        const absl::Time end = cluster_->now() + duration;
        while (cluster_->now() < end) {
            cluster_->run(absl::Milliseconds(10));
            checkLeaders(*cluster_, oracle_);
            for (Loss& loss : losses_) {
                if (loss.comeBack && cluster_->now() >= loss.backAt)
                    std::exchange(loss.comeBack, nullptr)();
            }
            std::erase_if(losses_, [&](const Loss& loss) { return cluster_->now() >= loss.backAt + site_.catchUp; });
        }
    }

    /// Loses one keeper, as soon as one more may be lost.
    void lose()
    {
        while (losses_.size() >= site_.losses)
            advance(absl::Milliseconds(50));
        const size_t chosen = below(keepers_.size());
        // The leader is the one whose loss shows most.
        const size_t host = below(2) == 0 && cluster_->hasLeader() ? cluster_->leader() : keepers_[chosen];
        if (std::any_of(losses_.begin(), losses_.end(), [&](const Loss& loss) { return loss.host == host; }))
            return;
        if (auto* keeper = dynamic_cast<RecordingGroup*>(cluster_->group(host)))
            keeper->proposeCommand(publishOf(keeper->version().value(), ++contents_));
        static constexpr std::array<void (KeeperLosses::*)(size_t), 5> kinds { &KeeperLosses::kill, &KeeperLosses::freeze, &KeeperLosses::wipe, &KeeperLosses::replace, &KeeperLosses::fillDisk };
        (this->*kinds.at(below(kinds.size())))(host);
    }

    void addLoss(const char* kind, size_t host, absl::Duration downTime, std::function<void()> comeBack)
    {
        absl::StrAppend(&story_, " ", kind, " d", host, " at ", absl::FormatDuration(cluster_->now() - start_));
        losses_.push_back({ host, cluster_->now() + downTime, std::move(comeBack) });
    }

    void kill(size_t host)
    {
        cluster_->crash(host, below(3));
        addLoss("kill", host, absl::Milliseconds(500), [this, host] { cluster_->restart(host); });
    }

    void freeze(size_t host)
    {
        cluster_->freeze(host);
        addLoss("freeze", host, absl::Seconds(4), [this, host] { cluster_->resume(host); });
    }

    void wipe(size_t host)
    {
        cluster_->loseDisk(host);
        addLoss("wipe", host, absl::Seconds(1), [this, host] { cluster_->restart(host); });
    }

    void replace(size_t host)
    {
        cluster_->crash(host, below(3));
        std::erase(keepers_, host);
        addLoss("replace", host, absl::Milliseconds(500 + below(2000)), [this] { keepers_.push_back(cluster_->addHost()); });
    }

    void fillDisk(size_t host)
    {
        cluster_->failDisk(host);
        addLoss("fill the disk of", host, absl::Seconds(4), [this, host] { cluster_->repairDisk(host); });
    }

    bool commits()
    {
        if (!cluster_->hasLeader())
            return false;
        auto& leader = dynamic_cast<RecordingGroup&>(*cluster_->group(cluster_->leader()));
        const auto claim = claimOf(1, 0);
        leader.proposeCommand(claim);
        return cluster_->runUntil([&] { return leader.find(claim.submission).has_value(); }, absl::Seconds(5));
    }

    const Site site_;
    std::mt19937_64 engine_;
    LogOracle oracle_;
    std::unique_ptr<GroupCluster> cluster_;
    const absl::Time start_ = cluster_->now();
    std::vector<size_t> keepers_;
    std::vector<Loss> losses_;
    uint64_t contents_ = 0;
    std::string story_;
};

/// Cuts off a data centre of two keepers for a while. Then, as soon as its keepers count as returned, a change is
/// acknowledged, all keepers lose power, and two lose their disks: the leader and another one.
/// @return what went wrong; empty if the keepers elect a leader that knows the change.
std::string loseTwoDisksAfterACut(uint64_t seed, size_t dataCentre, size_t otherLost)
{
    constexpr size_t keepers = 6;
    constexpr size_t dataCentres = 3;
    constexpr absl::Duration catchUp = absl::Seconds(6);
    LogOracle oracle;
    const auto cluster = makeRecordingCluster(oracle, { .hosts = keepers, .hostsWithDisk = keepers, .seeds = dataCentres, .maxEntries = 64, .voterTimeout = catchUp / 2, .keepsOddVoters = true, .minSyncedDisks = 3, .foundsOnce = true, .seed = seed });
    if (!cluster->runUntil([&] { return cluster->isWhole(); }))
        return "the group was not founded";
    cluster->cut({ dataCentre, dataCentre + dataCentres });
    cluster->run(absl::Milliseconds(6400));
    cluster->heal();
    cluster->run(catchUp);
    if (!cluster->hasLeader())
        return "no leader after the cut";
    const size_t leader = cluster->leader();
    auto& leading = dynamic_cast<RecordingGroup&>(*cluster->group(leader));
    leading.proposeCommand(publishOf(leading.version().value(), 1));
    if (!cluster->runUntil([&] { return leading.version() == ConfigurationVersion(1); }))
        return "the change was not acknowledged";
    for (size_t host = 0; host < keepers; ++host)
        cluster->crash(host);
    cluster->loseDisk(leader);
    cluster->loseDisk((leader + otherLost) % keepers);
    for (size_t host = 0; host < keepers; ++host)
        cluster->restart(host);
    if (!cluster->runUntil([&] { return cluster->hasLeader(); }))
        return "no leader after the losses";
    const auto& next = dynamic_cast<const RecordingGroup&>(*cluster->group(cluster->leader()));
    const bool knowsChange = cluster->runUntil([&] { return next.version() == ConfigurationVersion(1); });
    return knowsChange ? oracle.violation() : "the acknowledged change is lost";
}

void checkSeeds(const Site& site, uint64_t count)
{
    for (uint64_t seed = 1; seed <= count; ++seed) {
        const std::string fault = KeeperLosses(site, seed).run();
        CHECK_TEXT(fault.empty(), absl::StrCat("seed ", seed, ": ", fault).c_str());
    }
}

} // namespace

// Guards against groups that lose their majority for good, so that no configuration can be read or changed any more,
// though no more keepers are lost at a time than the fleet must bear.
TEST_GROUP(KeeperLosses) {};

TEST(KeeperLosses, ThreeKeepersBearOneLossAtATime)
{
    checkSeeds({ 3, 1, absl::Seconds(4) }, 60);
}

TEST(KeeperLosses, FourKeepersBearOneLossAtATime)
{
    checkSeeds({ 4, 1, absl::Seconds(4) }, 60);
}

TEST(KeeperLosses, FiveKeepersBearTwoLossesAtATime)
{
    checkSeeds({ 5, 2, absl::Seconds(6) }, 60);
}

TEST(KeeperLosses, SixKeepersBearTwoLossesAtATime)
{
    checkSeeds({ 6, 2, absl::Seconds(6) }, 60);
}

// Guards against a group that removes the voters of a data centre that is cut off, one after the other, and doesn't admit
// them again after the cut.
TEST(KeeperLosses, TwoDisksMayBeLostSoonAfterACut)
{
    for (uint64_t seed = 1; seed <= 5; ++seed) {
        for (size_t dataCentre = 0; dataCentre < 3; ++dataCentre) {
            for (size_t otherLost = 1; otherLost < 6; ++otherLost) {
                const std::string fault = loseTwoDisksAfterACut(seed, dataCentre, otherLost);
                CHECK_TEXT(fault.empty(), absl::StrCat("seed ", seed, ", data centre ", dataCentre, ", other disk ", otherLost, ": ", fault).c_str());
            }
        }
    }
}

// Guards against a new group that acknowledges changes while only the seeds vote: two lost disks then ended it.
TEST(KeeperLosses, ANewGroupAcknowledgesNothingBeforeItBearsTheLosses)
{
    LogOracle oracle;
    const auto cluster = makeRecordingCluster(oracle, { .hosts = 6, .hostsWithDisk = 6, .seeds = 3, .voterTimeout = absl::Seconds(3), .keepsOddVoters = true, .minSyncedDisks = 3, .foundsOnce = true });
    CHECK(cluster->runUntil([&] { return cluster->hasLeader(); }));
    auto& leading = dynamic_cast<RecordingGroup&>(*cluster->group(cluster->leader()));
    CHECK(!leading.proposeCommand(publishOf(0, 1)));
    CHECK(cluster->runUntil([&] { return leading.proposeCommand(publishOf(0, 1)); }, absl::Seconds(2)));
    const std::vector<Member> members = leading.status().members;
    CHECK_EQUAL(5, std::count_if(members.begin(), members.end(), [](const Member& member) { return member.isVoter; }));
}

// Guards against a fleet with too few keepers for its settings that never takes a configuration.
TEST(KeeperLosses, AGroupWithTooFewKeepersTakesChangesAfterAWhile)
{
    LogOracle oracle;
    const auto cluster = makeRecordingCluster(oracle, { .keepsOddVoters = true, .minSyncedDisks = 3, .foundsOnce = true });
    CHECK(cluster->runUntil([&] { return cluster->hasLeader(); }));
    auto& leading = dynamic_cast<RecordingGroup&>(*cluster->group(cluster->leader()));
    CHECK(!leading.proposeCommand(publishOf(0, 1)));
    CHECK(cluster->runUntil([&] { return leading.proposeCommand(publishOf(0, 1)); }, absl::Seconds(6)));
    CHECK(cluster->runUntil([&] { return leading.version() == ConfigurationVersion(1); }));
}

// Guards against a new group that can't commit any more, since it needs as many disks as it has members and one is lost.
TEST(KeeperLosses, ANewGroupBearsALostDiskBeforeOthersJoin)
{
    for (size_t lost = 0; lost < 3; ++lost) {
        LogOracle oracle;
        const auto cluster = makeRecordingCluster(oracle, { .hosts = 6, .hostsWithDisk = 6, .seeds = 3, .voterTimeout = absl::Seconds(3), .keepsOddVoters = true, .minSyncedDisks = 3, .foundsOnce = true });
        CHECK(cluster->runUntil([&] { return cluster->hasLeader(); }));
        cluster->loseDisk(lost);
        cluster->restart(lost);
        CHECK_TEXT(cluster->runUntil([&] { return cluster->isWhole(); }), absl::StrCat("lost disk ", lost).c_str());
        STRCMP_EQUAL("", oracle.violation().c_str());
    }
}
