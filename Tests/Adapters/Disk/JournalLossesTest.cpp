#include "Adapters/Disk/JournalFolder.h"
#include "Disk/JournalScript.h"
#include "Disk/ModelDisk.h"

#include <absl/strings/str_cat.h>

#include <array>
#include <random>

#include <CppUTest/TestHarness.h>

using namespace trefoilwing;

// Processes are killed and power is lost at every step of what a journal does, twice in a row and while it is opened. What
// was acknowledged, and what the journal returned when it was opened, must be there, and the journal must open.

namespace {

/// What happens to the disk as a process ends.
struct Loss {
    const char* name;
    void (*happen)(ModelDisk&, uint64_t seed);
};

constexpr std::array<Loss, 4> losses { {
    { "kill", [](ModelDisk& disk, uint64_t) { disk.restartProcess(); } },
    { "power, all unsynced lost", [](ModelDisk& disk, uint64_t) { disk.losePower([](uint64_t) { return 0; }); } },
    { "power, all unsynced kept", [](ModelDisk& disk, uint64_t) { disk.losePower([](uint64_t) { return 1; }); } },
    { "power, by chance", [](ModelDisk& disk, uint64_t seed) {
         std::mt19937_64 random(seed);
         disk.losePower([&random](uint64_t outcomes) { return random() % outcomes; });
     } },
} };

/// Small, so that snapshots leave several segments to remove.
constexpr JournalFolder::Options smallSegments { .maxSegmentBytes = 150 };

/// Writes the script until the process is killed.
/// @return the number of batches acknowledged.
size_t writeScript(ModelDisk& disk)
{
    JournalFolder folder(disk, folderName, smallSegments);
    if (errorOf(folder.open(Incarnation(7))))
        return 0;
    size_t acknowledged = 0;
    for (const JournalBatch& batch : script()) {
        if (errorOf(folder.write({ batch })))
            break;
        ++acknowledged;
    }
    return acknowledged;
}

std::string messageOf(const Result<JournalFolder::Opened>& opened)
{
    return errorOf(opened) ? errorOf(opened)->message : "";
}

/// @return a batch that may follow the content: entries, some of which replace the last one, a vote, or a snapshot.
JournalBatch randomBatch(const JournalContent& known, uint64_t token, std::mt19937_64& random)
{
    const uint64_t covered = known.snapshot ? known.snapshot->lastIndex.value() : 0;
    const uint64_t last = known.entries.empty() ? covered : std::max(covered, known.entries.back().index.value());
    const uint64_t kind = random() % 8;
    if (kind == 0 && last > covered)
        return snapshotOf(token, covered + 1 + random() % (last - covered), false);
    if (kind == 1)
        return snapshotOf(token, last + 3, true);
    const uint64_t index = kind == 2 && last > covered ? last : last + 1;
    JournalBatch batch = batchOf(token, { entryOf(index, token), entryOf(index + 1, token) });
    if (kind == 3)
        batch.hardState = HardState { Epoch(1), Term(token), std::nullopt };
    return batch;
}

} // namespace

TEST_GROUP(JournalLosses) {};

// Guards against a journal that counts what a killed process wrote as durable, and can't be opened after power was lost.
TEST(JournalLosses, NothingAcknowledgedIsLostWhateverEndsTwoProcesses)
{
    ModelDisk whole;
    LONGS_EQUAL(script().size(), writeScript(whole));
    for (uint64_t killedAt = 1; killedAt <= whole.steps(); ++killedAt) {
        for (const Loss& first : losses) {
            for (uint64_t openKilledAt = 1;; ++openKilledAt) {
                bool isOpened = false;
                for (const Loss& second : losses) {
                    const std::string story = absl::StrCat("writes killed at step ", killedAt, ", ", first.name, "; opening killed at step ", openKilledAt, ", ", second.name);
                    ModelDisk disk;
                    disk.killAt(killedAt);
                    const size_t acknowledged = writeScript(disk);
                    first.happen(disk, killedAt);
                    disk.killAt(openKilledAt);
                    const auto opened = JournalFolder(disk, folderName, smallSegments).open(Incarnation(8));
                    isOpened = disk.steps() < openKilledAt || !errorOf(opened);
                    CHECK_TEXT(!isOpened || !errorOf(opened), absl::StrCat(story, ": ", messageOf(opened)).c_str());
                    second.happen(disk, openKilledAt);
                    const auto again = JournalFolder(disk, folderName, smallSegments).open(Incarnation(9));
                    CHECK_TEXT(!errorOf(again), absl::StrCat(story, ": ", messageOf(again)).c_str());
                    const JournalContent& content = valueOf(again)->content;
                    // What was returned may have been acknowledged to others.
                    CHECK_TEXT(isOpened ? isSame(content, valueOf(opened)->content) : mayFollow(content, acknowledged), story.c_str());
                    CHECK_TEXT(mayFollow(content, acknowledged), story.c_str());
                }
                if (isOpened)
                    break;
            }
        }
    }
}

// Long runs of entries, votes and snapshots with losses at random; the seeds are kept.
TEST(JournalLosses, NothingAcknowledgedIsLostInLongRuns)
{
    for (uint64_t seed = 1; seed <= 300; ++seed) {
        std::mt19937_64 random(seed);
        ModelDisk disk;
        JournalContent known;
        uint64_t token = 0;
        for (int process = 0; process < 30; ++process) {
            const std::string story = absl::StrCat("seed ", seed, ", process ", process);
            disk.killAt(1 + random() % 120);
            JournalFolder folder(disk, folderName, smallSegments);
            std::optional<JournalBatch> unacknowledged;
            if (const auto opened = folder.open(Incarnation(7)); !errorOf(opened)) {
                CHECK_TEXT(isSame(valueOf(opened)->content, known), story.c_str());
                while (true) {
                    const JournalBatch batch = randomBatch(known, ++token, random);
                    if (errorOf(folder.write({ batch }))) {
                        unacknowledged = batch;
                        break;
                    }
                    applyBatch(batch, known);
                }
            }
            losses.at(random() % losses.size()).happen(disk, random());
            const auto opened = JournalFolder(disk, folderName, smallSegments).open(Incarnation(8));
            CHECK_TEXT(!errorOf(opened), absl::StrCat(story, ": ", messageOf(opened)).c_str());
            const JournalContent& content = valueOf(opened)->content;
            CHECK_TEXT(unacknowledged ? mayFollow(content, known, *unacknowledged) : isSame(content, known), story.c_str());
            known = content;
            losses.at(random() % losses.size()).happen(disk, random());
        }
    }
}
