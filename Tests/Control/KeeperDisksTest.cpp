#include "Adapters/Disk/JournalFolder.h"
#include "Control/RecordingGroup.h"
#include "Disk/ModelDisk.h"

#include <absl/strings/str_cat.h>

#include <random>

#include <CppUTest/TestHarness.h>

// Keepers with real journals on model disks are killed in the middle of writes, one or all at a time, and lose power, also
// twice in a row.

using namespace trefoilwing;

namespace {

class FileStorage final : public HostStorage {
public:
    explicit FileStorage(std::mt19937_64& random)
        : random_(random)
    {
    }

    std::optional<JournalContent> open(Incarnation offered) override
    {
        folder_ = std::make_unique<JournalFolder>(disk_, "journal", JournalFolder::Options { .maxSegmentBytes = 4096 });
        auto opened = folder_->open(offered);
        if (errorOf(opened))
            return std::nullopt;
        return std::get<JournalFolder::Opened>(std::move(opened)).content;
    }

    void write(const JournalBatch& batch) override { CHECK(!errorOf(folder_->write({ batch }))); }

    void kill(const JournalBatch* inFlight) override
    {
        if (inFlight && folder_) {
            disk_.killAt(disk_.steps() + 1 + random_() % 6);
            static_cast<void>(folder_->write({ *inFlight }));
        }
        folder_.reset();
        disk_.restartProcess();
    }

    void losePower() override
    {
        disk_.losePower([this](uint64_t outcomes) { return random_() % outcomes; });
    }

private:
    std::mt19937_64& random_;
    ModelDisk disk_;
    std::unique_ptr<JournalFolder> folder_;
};

class KeeperDisks {
public:
    KeeperDisks(size_t keepers, size_t losses, uint64_t seed)
        : keepers_(keepers)
        , engine_(seed)
        , cluster_(makeRecordingCluster(oracle_, { .hosts = keepers, .hostsWithDisk = keepers, .maxEntries = 16, .voterTimeout = absl::Seconds(2), .keepsOddVoters = true, .minSyncedDisks = static_cast<uint32_t>(losses) + 1, .foundsOnce = true, .seed = seed, .makeStorage = [this] { return std::make_unique<FileStorage>(engine_); } }))
    {
    }

    /// @return what went wrong; empty if all keepers are back at the end, and nothing that was committed is lost.
    std::string run()
    {
        if (!cluster_->runUntil([&] { return cluster_->isWhole(); }))
            return "the group was not founded";
        for (uint64_t round = 4 + below(8); round > 0; --round) {
            for (uint64_t change = below(6); change > 0; --change)
                proposeChange();
            cluster_->run(absl::Milliseconds(below(4) == 0 ? below(3000) : below(20)));
            end(below(2) == 0, below(3) == 0);
            cluster_->run(absl::Milliseconds(below(1000)));
            restartAll();
        }
        cluster_->run(absl::Milliseconds(below(3000)));
        end(true, true);
        restartAll();
        const bool isWhole = cluster_->runUntil([&] { return cluster_->isWhole() && statusOfLeader().commitIndex >= oracle_.lastCommitted(); });
        if (cluster_->failedStarts() > 0)
            return absl::StrCat(cluster_->failedStarts(), " journals couldn't be opened");
        return isWhole ? oracle_.violation() : "no majority, or what was committed is lost";
    }

private:
    uint64_t below(uint64_t bound) { return engine_() % bound; }
    GroupState statusOfLeader() { return cluster_->group(cluster_->leader())->status(); }

    void proposeChange()
    {
        if (cluster_->hasLeader()) {
            auto& leading = dynamic_cast<RecordingGroup&>(*cluster_->group(cluster_->leader()));
            leading.proposeCommand(publishOf(leading.version().value(), ++contents_));
        }
        cluster_->run(absl::Milliseconds(below(12)));
    }

    void end(bool all, bool losesPower)
    {
        const uint64_t chosen = below(keepers_);
        for (size_t host = 0; host < keepers_; ++host) {
            if (!all && host != chosen)
                continue;
            cluster_->crash(host, below(2));
            if (losesPower)
                cluster_->losePower(host);
        }
    }

    void restartAll()
    {
        for (size_t host = 0; host < keepers_; ++host)
            cluster_->restart(host);
    }

    const size_t keepers_;
    std::mt19937_64 engine_;
    LogOracle oracle_;
    std::unique_ptr<GroupCluster> cluster_;
    uint64_t contents_ = 0;
};

void checkSeeds(size_t keepers, size_t losses, uint64_t count)
{
    for (uint64_t seed = 1; seed <= count; ++seed) {
        const std::string fault = KeeperDisks(keepers, losses, seed).run();
        CHECK_TEXT(fault.empty(), absl::StrCat("seed ", seed, ": ", fault).c_str());
    }
}

} // namespace

// Guards against keepers that refuse their journals, or lose what they acknowledged, after a kill in the middle of a write
// and a later loss of power (review/6).
TEST_GROUP(KeeperDisks) {};

TEST(KeeperDisks, ThreeKeepersKeepWhatTheyAcknowledged)
{
    checkSeeds(3, 1, 60);
}

TEST(KeeperDisks, FiveKeepersKeepWhatTheyAcknowledged)
{
    checkSeeds(5, 2, 40);
}
