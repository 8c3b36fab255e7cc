#include "Control/RecordingGroup.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <functional>
#include <random>

#include <CppUTest/TestHarness.h>

// Plays random sequences of silences, cuts of a data centre, restarts, replacements and losses of disks to a group of
// keepers. At acknowledgements drawn at random all keepers lose power, and as many lose their disks as may be lost just
// then. A leader that knows everything that was acknowledged must come.

using namespace trefoilwing;

namespace {

constexpr size_t dataCentres = 3;

struct Site {
    size_t keepers;
    size_t losses;
    absl::Duration catchUp;

    absl::Duration voterTimeout() const { return catchUp / 2; }
};

class GroupModel {
public:
    GroupModel(const Site& site, uint64_t seed)
        : site_(site)
        , engine_(seed)
        , cluster_(makeRecordingCluster(oracle_, { .hosts = site.keepers, .hostsWithDisk = site.keepers, .seeds = dataCentres, .maxEntries = 64, .voterTimeout = site.voterTimeout(), .keepsOddVoters = true, .minSyncedDisks = static_cast<uint32_t>(site.losses) + 1, .foundsOnce = true, .seed = seed }))
    {
        for (size_t host = 0; host < site.keepers; ++host)
            keepers_.push_back({ host, host % dataCentres });
    }

    /// @return what went wrong; empty if every acknowledgement that was tried outlived its losses.
    std::string run()
    {
        // Half of the groups have their first change as soon as they have a leader.
        const bool waits = below(2) == 0;
        if (!cluster_->runUntil([&] { return waits ? isFounded() : cluster_->hasLeader(); }))
            return "the group was not founded";
        if (!waits && acknowledge())
            losePower();
        const size_t steps = 8 + below(16);
        for (size_t step = 0; step < steps && fault_.empty(); ++step) {
            advance(absl::Milliseconds(below(3000)));
            disturb();
            if (below(4) == 0 && acknowledge())
                losePower();
        }
        if (fault_.empty() && !oracle_.holds())
            fault_ = oracle_.violation();
        return fault_.empty() ? "" : absl::StrCat(fault_, " after:", story_);
    }

    /// @return the number of acknowledgements after which all keepers lost power.
    size_t tried() const { return tried_; }
    /// @return how many of them lost as many disks as the site names, as no earlier loss counted any more.
    size_t triedInFull() const { return triedInFull_; }

private:
    static constexpr absl::Duration step = absl::Milliseconds(5);
    static constexpr absl::Duration maxWait = absl::Seconds(3);
    static constexpr absl::Duration maxElection = absl::Seconds(20);

    struct Keeper {
        size_t host;
        size_t dataCentre;
        /// Until when the keeper is silent or down; no other fault hits it before.
        absl::Time busyUntil = absl::InfinitePast();
        bool isDown = false;
    };

    /// A lost disk. It counts as lost until its successor has been up for the catch-up time without a long silence of others.
    struct Loss {
        absl::Time countedFrom;
    };

    struct Later {
        absl::Time at;
        std::function<void()> action;
    };

    uint64_t below(uint64_t bound) { return engine_() % bound; }
    absl::Duration between(absl::Duration low, absl::Duration high) { return low + absl::Milliseconds(below(static_cast<uint64_t>(absl::ToInt64Milliseconds(high - low)))); }
    RecordingGroup* group(size_t host) { return dynamic_cast<RecordingGroup*>(cluster_->group(host)); }

    bool isFounded()
    {
        if (!cluster_->hasLeader())
            return false;
        const GroupState status = cluster_->group(cluster_->leader())->status();
        const auto voters = std::count_if(status.members.begin(), status.members.end(), [](const Member& member) { return member.isVoter; });
        return status.members.size() == site_.keepers && static_cast<size_t>(voters) == site_.losses * 2 + 1 && status.commitIndex == status.lastIndex;
    }

    void tell(const std::string& what) { absl::StrAppend(&story_, " ", what, " at ", absl::FormatDuration(cluster_->now() - start_), ";"); }

    /// Runs the cluster and what is due; stops early when the condition holds.
    bool advance(
        absl::Duration duration, const std::function<bool()>& condition = [] { return false; })
    {
        const absl::Time end = cluster_->now() + duration;
        while (cluster_->now() < end) {
            if (condition())
                return true;
            cluster_->run(step);
            checkLeaders(*cluster_, oracle_);
            runDue();
            count();
        }
        return condition();
    }

    void runDue()
    {
        for (size_t i = 0; i < later_.size();) {
            if (later_[i].at > cluster_->now()) {
                ++i;
                continue;
            }
            const auto action = std::move(later_[i].action);
            later_.erase(later_.begin() + static_cast<std::ptrdiff_t>(i));
            action();
        }
    }

    /// Updates which losses still count.
    void count()
    {
        const absl::Time now = cluster_->now();
        // A silence that is longer than the voters' time limit can't be told from a loss, so the recovery from losses
        // begins anew after it. Without a leader nothing can recover.
        const bool isDelayed = (now < silentUntil_ && now - silentSince_ > site_.voterTimeout()) || !cluster_->hasLeader();
        if (isDelayed) {
            for (Loss& loss : losses_)
                loss.countedFrom = std::max(loss.countedFrom, now);
        }
        std::erase_if(losses_, [&](const Loss& loss) { return now >= loss.countedFrom + site_.catchUp; });
    }

    size_t mayLose() const { return site_.losses - std::min(site_.losses, losses_.size()); }

    Keeper* freeKeeper()
    {
        Keeper& keeper = keepers_[below(keepers_.size())];
        return keeper.isDown || cluster_->now() < keeper.busyUntil ? nullptr : &keeper;
    }

    void disturb()
    {
        static constexpr std::array<void (GroupModel::*)(), 6> disturbances { &GroupModel::silence, &GroupModel::cut, &GroupModel::cut, &GroupModel::restart, &GroupModel::fillDisk, &GroupModel::disturbNetwork };
        static constexpr std::array<void (GroupModel::*)(), 2> losses { &GroupModel::wipe, &GroupModel::replace };
        if (below(100) < lossPercent_)
            (this->*losses.at(below(losses.size())))();
        else
            (this->*disturbances.at(below(disturbances.size())))();
    }

    void noteSilence(absl::Duration duration)
    {
        if (cluster_->now() >= silentUntil_)
            silentSince_ = cluster_->now();
        silentUntil_ = std::max(silentUntil_, cluster_->now() + duration);
    }

    void silence()
    {
        Keeper* keeper = freeKeeper();
        if (!keeper)
            return;
        const absl::Duration duration = between(absl::Milliseconds(300), absl::Seconds(8));
        const size_t host = keeper->host;
        tell(absl::StrCat("silence d", host, " for ", absl::FormatDuration(duration)));
        keeper->busyUntil = cluster_->now() + duration;
        noteSilence(duration);
        cluster_->freeze(host);
        later_.push_back({ keeper->busyUntil, [this, host] { cluster_->resume(host); } });
    }

    void cut()
    {
        if (cluster_->now() < cutUntil_)
            return;
        const size_t dataCentre = below(dataCentres);
        const absl::Duration duration = between(absl::Milliseconds(300), absl::Seconds(8));
        std::set<size_t> side;
        for (const Keeper& keeper : keepers_) {
            if (keeper.dataCentre == dataCentre)
                side.insert(keeper.host);
        }
        tell(absl::StrCat("cut data centre ", dataCentre, " for ", absl::FormatDuration(duration)));
        cutUntil_ = cluster_->now() + duration;
        noteSilence(duration);
        cluster_->cut(side);
        later_.push_back({ cutUntil_, [this] { cluster_->heal(); } });
    }

    void restart()
    {
        Keeper* keeper = freeKeeper();
        if (!keeper)
            return;
        tell(absl::StrCat("restart d", keeper->host));
        cluster_->crash(keeper->host, below(3));
        comeBack(*keeper, between(absl::Milliseconds(100), absl::Milliseconds(700)));
    }

    /// The keeper's disk refuses writes for a while; for the others the keeper is silent.
    void fillDisk()
    {
        Keeper* keeper = freeKeeper();
        if (!keeper)
            return;
        const absl::Duration duration = between(absl::Milliseconds(300), absl::Seconds(5));
        const size_t host = keeper->host;
        tell(absl::StrCat("fill the disk of d", host, " for ", absl::FormatDuration(duration)));
        keeper->busyUntil = cluster_->now() + duration;
        noteSilence(duration);
        cluster_->failDisk(host);
        later_.push_back({ keeper->busyUntil, [this, host] { cluster_->repairDisk(host); } });
    }

    void disturbNetwork()
    {
        const absl::Duration duration = between(absl::Milliseconds(300), absl::Seconds(5));
        tell(absl::StrCat("disturb the network for ", absl::FormatDuration(duration)));
        cluster_->setFaults({ 10, 10, absl::Milliseconds(20) });
        later_.push_back({ cluster_->now() + duration, [this] { cluster_->setFaults({}); } });
    }

    void wipe()
    {
        Keeper* keeper = freeKeeper();
        if (!keeper || mayLose() == 0)
            return;
        tell(absl::StrCat("wipe d", keeper->host));
        cluster_->loseDisk(keeper->host);
        const absl::Duration downTime = between(absl::Milliseconds(100), absl::Seconds(2));
        losses_.push_back({ cluster_->now() + downTime });
        comeBack(*keeper, downTime);
    }

    void replace()
    {
        Keeper* keeper = freeKeeper();
        if (!keeper || mayLose() == 0)
            return;
        const absl::Duration downTime = between(absl::Milliseconds(100), absl::Seconds(2));
        const size_t dataCentre = keeper->dataCentre;
        tell(absl::StrCat("replace d", keeper->host));
        cluster_->crash(keeper->host, below(3));
        std::erase_if(keepers_, [&](const Keeper& each) { return each.host == keeper->host; });
        losses_.push_back({ cluster_->now() + downTime });
        later_.push_back({ cluster_->now() + downTime, [this, dataCentre] {
                              keepers_.push_back({ cluster_->addHost(), dataCentre });
                              announce();
                          } });
    }

    void comeBack(Keeper& keeper, absl::Duration downTime)
    {
        keeper.isDown = true;
        const size_t host = keeper.host;
        later_.push_back({ cluster_->now() + downTime, [this, host] { start(host); } });
    }

    void start(size_t host)
    {
        for (Keeper& keeper : keepers_) {
            if (keeper.host == host)
                keeper.isDown = false;
        }
        cluster_->restart(host);
        announce();
    }

    /// Lets all keepers know all others, as the updates among daemons do.
    void announce()
    {
        for (const Keeper& keeper : keepers_) {
            RecordingGroup* known = group(keeper.host);
            for (size_t host = 0; known && host < cluster_->size(); ++host)
                known->addDaemon(DaemonId(absl::StrCat("d", host)));
        }
    }

    /// @return whether the leader took a change.
    bool propose()
    {
        RecordingGroup* leader = cluster_->hasLeader() ? group(cluster_->leader()) : nullptr;
        return leader && leader->proposeCommand(publishOf(leader->version().value(), ++contents_));
    }

    /// @return whether a change was acknowledged.
    bool acknowledge()
    {
        const size_t earlier = oracle_.versions();
        return advance(maxWait, [this] { return propose(); }) && advance(maxWait, [&] { return oracle_.versions() > earlier; });
    }

    void losePower()
    {
        ++tried_;
        const LogIndex acknowledged = oracle_.lastCommitted();
        const size_t versions = oracle_.versions();
        tell("all lose power");
        const std::vector<size_t> lost = drawLost();
        for (const Keeper& keeper : keepers_)
            cluster_->crash(keeper.host, below(3));
        cluster_->heal();
        cutUntil_ = silentUntil_ = cluster_->now();
        for (Keeper& keeper : keepers_) {
            keeper.busyUntil = cluster_->now();
            if (std::find(lost.begin(), lost.end(), keeper.host) == lost.end()) {
                start(keeper.host);
                continue;
            }
            tell(absl::StrCat("d", keeper.host, " without its disk"));
            cluster_->loseDisk(keeper.host);
            const absl::Duration downTime = between(absl::Milliseconds(1), absl::Seconds(2));
            losses_.push_back({ cluster_->now() + downTime });
            comeBack(keeper, downTime);
        }
        const auto knowsAll = [&] {
            if (!cluster_->hasLeader())
                return false;
            const RecordingGroup* next = group(cluster_->leader());
            return next->status().commitIndex >= acknowledged && next->version().value() >= versions;
        };
        if (!advance(maxElection, knowsAll))
            fault_ = cluster_->hasLeader() ? "the leader lacks what was acknowledged" : "no leader after the losses";
        else if (below(2) == 0)
            advance(site_.catchUp + between(maxWait / 2, maxWait));
    }

    /// @return the keepers that lose their disks: as many as may be lost now, in half of the cases with the leader.
    std::vector<size_t> drawLost()
    {
        std::vector<size_t> hosts;
        for (const Keeper& keeper : keepers_)
            hosts.push_back(keeper.host);
        std::shuffle(hosts.begin(), hosts.end(), engine_);
        if (below(2) == 0)
            std::stable_partition(hosts.begin(), hosts.end(), [&](size_t host) { return host == cluster_->leader(); });
        hosts.resize(std::min(hosts.size(), mayLose()));
        if (hosts.size() == site_.losses)
            ++triedInFull_;
        return hosts;
    }

    const Site site_;
    std::mt19937_64 engine_;
    LogOracle oracle_;
    std::unique_ptr<GroupCluster> cluster_;
    const absl::Time start_ = cluster_->now();
    std::vector<Keeper> keepers_;
    std::vector<Loss> losses_;
    std::vector<Later> later_;
    absl::Time cutUntil_ = absl::InfinitePast();
    /// The period in which some keeper is silent without interruption.
    absl::Time silentSince_ = absl::InfinitePast();
    absl::Time silentUntil_ = absl::InfinitePast();
    uint64_t contents_ = 0;
    size_t tried_ = 0;
    size_t triedInFull_ = 0;
    /// How many of the faults are losses of disks. With many of them, few disks may be lost at an acknowledgement.
    const uint64_t lossPercent_ = std::array<uint64_t, 3> { 0, 10, 40 }.at(below(3));
    std::string fault_;
    std::string story_;
};

struct SeedRange {
    uint64_t first = 1;
    // Seeds 40, 54 and 78 of six keepers, and 7, 38 and 64 of four, fail if silent voters are removed before learners are
    // promoted.
    uint64_t count = 80;
};

/// @return the seeds to run: GROUP_MODEL_SEEDS=FIRST:COUNT, or those of CI.
SeedRange seedRange()
{
    SeedRange range;
    if (const char* given = std::getenv("GROUP_MODEL_SEEDS")) {
        const std::vector<std::string> parts = absl::StrSplit(given, ':');
        CHECK_TEXT(parts.size() == 2 && absl::SimpleAtoi(parts[0], &range.first) && absl::SimpleAtoi(parts[1], &range.count), "GROUP_MODEL_SEEDS must be FIRST:COUNT");
    }
    return range;
}

void checkSite(const Site& site)
{
    const SeedRange range = seedRange();
    size_t tried = 0;
    size_t triedInFull = 0;
    std::string faults;
    for (uint64_t seed = range.first; seed < range.first + range.count; ++seed) {
        GroupModel model(site, seed);
        const std::string fault = model.run();
        if (!fault.empty())
            absl::StrAppend(&faults, "seed ", seed, ": ", fault, "\n");
        tried += model.tried();
        triedInFull += model.triedInFull();
    }
    CHECK_TEXT(faults.empty(), faults.c_str());
    // A model whose groups rarely acknowledge anything would check nothing.
    CHECK_TEXT(tried >= range.count && triedInFull >= range.count / 2, absl::StrCat("only ", tried, " acknowledgements were tried, ", triedInFull, " with all losses").c_str());
}

} // namespace

// Guards against groups that, at some moment, could not bear the losses that the settings name.
TEST_GROUP(GroupModel) {};

TEST(GroupModel, SixKeepersBearTwoLostDisksAtEveryAcknowledgement)
{
    checkSite({ 6, 2, absl::Seconds(6) });
}

TEST(GroupModel, FiveKeepersBearTwoLostDisksAtEveryAcknowledgement)
{
    checkSite({ 5, 2, absl::Seconds(6) });
}

TEST(GroupModel, FourKeepersBearOneLostDiskAtEveryAcknowledgement)
{
    checkSite({ 4, 1, absl::Seconds(4) });
}

TEST(GroupModel, ThreeKeepersBearOneLostDiskAtEveryAcknowledgement)
{
    checkSite({ 3, 1, absl::Seconds(4) });
}
