#include "Adapters/Disk/JournalFolder.h"
#include "Adapters/Disk/DiskJournal.h"
#include "Adapters/Disk/PosixFileSystem.h"
#include "Disk/FaultyFileSystem.h"
#include "Disk/JournalScript.h"

#include <absl/strings/str_cat.h>
#include <absl/synchronization/notification.h>

#include <filesystem>
#include <unistd.h>

#include <CppUTest/TestHarness.h>

using namespace trefoilwing;

namespace {

const std::string firstSegment = "journal/segment-00000000000000000001.log";

Result<JournalFolder::Opened> reopen(FileSystem& files, uint64_t offered = 99)
{
    return JournalFolder(files, folderName, {}).open(Incarnation(offered));
}

/// Writes the batches until one fails.
/// @return the number of batches acknowledged.
size_t writeScript(FileSystem& files, JournalFolder::Options options = {})
{
    JournalFolder folder(files, folderName, options);
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

/// Writes all batches. If one fails, the disk accepts everything from then on, and the batch is written again.
/// @return the number of the batch that was repeated; 0 if the folder couldn't be opened at first.
size_t writeScriptWithOneRepeat(FaultyFileSystem& files, JournalFolder::Options options)
{
    auto folder = std::make_unique<JournalFolder>(files, folderName, options);
    size_t repeated = 0;
    if (errorOf(folder->open(Incarnation(7)))) {
        files.acceptAll();
        folder = std::make_unique<JournalFolder>(files, folderName, options);
        CHECK(!errorOf(folder->open(Incarnation(7))));
    }
    for (const JournalBatch& batch : script()) {
        if (!errorOf(folder->write({ batch })))
            continue;
        repeated = batch.token.value();
        files.acceptAll();
        CHECK(!errorOf(folder->write({ batch })));
    }
    return repeated;
}

} // namespace

TEST_GROUP(JournalFolder)
{
    FaultyFileSystem files;

    /// @return whether the folder opens and contains the acknowledged writes, possibly with the one after them.
    bool keepsAcknowledged(size_t acknowledged)
    {
        const auto opened = reopen(files);
        if (errorOf(opened)) {
            UT_PRINT(errorOf(opened)->message.c_str());
            return false;
        }
        return mayFollow(valueOf(opened)->content, acknowledged);
    }
};

TEST(JournalFolder, KeepsEveryAcknowledgedWriteAfterACrashAtAnyByte)
{
    FaultyFileSystem whole;
    CHECK_EQUAL(script().size(), writeScript(whole));
    for (uint64_t budget = 1; budget <= whole.used() + 1; ++budget) {
        for (auto unsynced : { FaultyFileSystem::Unsynced::Kept, FaultyFileSystem::Unsynced::Lost, FaultyFileSystem::Unsynced::HalfKept }) {
            files = FaultyFileSystem();
            files.stopAfter(budget);
            const size_t acknowledged = writeScript(files);
            files.crash(unsynced);
            CHECK_TEXT(keepsAcknowledged(acknowledged), absl::StrCat("stopped after ", budget, " bytes, acknowledged ", acknowledged).c_str());
        }
    }
}

// Guards against records that are lost or stored twice when a write that failed at any byte is repeated.
TEST(JournalFolder, KeepsEveryAcknowledgedWriteIfAFailedOneIsRepeated)
{
    FaultyFileSystem whole;
    CHECK_EQUAL(script().size(), writeScript(whole));
    for (const uint64_t maxSegmentBytes : { uint64_t { 1 }, uint64_t { 1 } << 20U }) {
        for (uint64_t budget = 1; budget <= whole.used() + 1; ++budget) {
            for (auto unsynced : { FaultyFileSystem::Unsynced::Kept, FaultyFileSystem::Unsynced::Lost, FaultyFileSystem::Unsynced::HalfKept }) {
                files = FaultyFileSystem();
                files.stopAfter(budget);
                const size_t repeated = writeScriptWithOneRepeat(files, { .maxSegmentBytes = maxSegmentBytes });
                files.crash(unsynced);
                CHECK_TEXT(keepsAcknowledged(script().size()), absl::StrCat("stopped after ", budget, " bytes, repeated from batch ", repeated).c_str());
            }
        }
    }
}

TEST(JournalFolder, KeepsItsIncarnationUntilItIsLost)
{
    writeScript(files);
    CHECK(valueOf(reopen(files, 8))->storage == Incarnation(7));
    files = FaultyFileSystem();
    CHECK(valueOf(reopen(files, 8))->storage == Incarnation(8));
}

TEST(JournalFolder, KeepsAllRecordsAcrossManySegments)
{
    CHECK_EQUAL(script().size(), writeScript(files, { .maxSegmentBytes = 1 }));
    CHECK(keepsAcknowledged(script().size()));
}

TEST(JournalFolder, RefusesCorruptionInTheMiddleAndNamesFileOffsetAndCure)
{
    JournalFolder folder(files, folderName, {});
    folder.open(Incarnation(7));
    const uint64_t offset = files.sizeOf(firstSegment);
    CHECK(!errorOf(folder.write({ batchOf(1, { entryOf(1, 1) }) })));
    CHECK(!errorOf(folder.write({ batchOf(2, { entryOf(2, 1) }) })));
    files.damage(firstSegment, offset + 20);
    const auto opened = reopen(files);
    CHECK(errorOf(opened) != nullptr);
    STRCMP_EQUAL(absl::StrCat(firstSegment, ": offset ", offset,
                     ": the checksum doesn't match; move the folder away and restart: the daemon then joins its group as a new member")
                     .c_str(),
        errorOf(opened)->message.c_str());
}

TEST(JournalFolder, RefusesAMissingSegment)
{
    writeScript(files, { .maxSegmentBytes = 1 });
    JournalFolder folder(files, folderName, { .maxSegmentBytes = 1 });
    folder.open(Incarnation(7));
    CHECK(!errorOf(folder.write({ batchOf(7, { entryOf(11, 3) }) })));
    CHECK(!errorOf(folder.write({ batchOf(8, { entryOf(12, 3) }) })));
    std::vector<std::string> segments = *valueOf(files.list(folderName));
    std::erase_if(segments, [](const std::string& name) { return name.find("segment-") != 0; });
    CHECK(segments.size() >= 3);
    files.remove(absl::StrCat(folderName, "/", segments[segments.size() - 2]));
    CHECK(errorOf(reopen(files)) != nullptr);
}

namespace {

class Events final : public JournalEvents {
public:
    void synced(SyncToken token) override
    {
        if (token == awaited)
            done.Notify();
    }
    void journalFailed(const Error& error) override
    {
        failure = error.message;
        if (!failed.HasBeenNotified())
            failed.Notify();
    }

    SyncToken awaited { 3 };
    std::string failure;
    absl::Notification failed;
    absl::Notification done;
};

} // namespace

TEST_GROUP(DiskJournal) {};

// Guards against a journal that is given up for good because its disk was full, or couldn't sync, for some seconds.
TEST(DiskJournal, StoresAllBatchesOnceAFailingDiskWorksAgain)
{
    FaultyFileSystem files;
    auto opened = DiskJournal::open(files, folderName, Incarnation(7));
    auto& journal = **valueOf(opened);
    files.failSyncs(true);
    Events events;
    journal.start(events);
    journal.append(batchOf(1, { entryOf(1, 1) }));
    CHECK(events.failed.WaitForNotificationWithTimeout(absl::Seconds(60)));
    STRCMP_EQUAL("can't sync", events.failure.c_str());
    CHECK(!events.done.HasBeenNotified());
    CHECK_EQUAL(0, journal.totals().batches);
    journal.append(batchOf(2, { entryOf(2, 1) }));
    journal.append(batchOf(3, { entryOf(3, 1) }));
    files.failSyncs(false);
    CHECK(events.done.WaitForNotificationWithTimeout(absl::Seconds(60)));
    journal.stop();
    CHECK_EQUAL(3, journal.totals().batches);
    files.crash(FaultyFileSystem::Unsynced::Lost);
    CHECK_EQUAL(3, valueOf(reopen(files))->content.entries.size());
}

TEST(DiskJournal, StopsAlthoughItsDiskFails)
{
    FaultyFileSystem files;
    auto opened = DiskJournal::open(files, folderName, Incarnation(7));
    auto& journal = **valueOf(opened);
    files.failSyncs(true);
    Events events;
    journal.start(events);
    journal.append(batchOf(3, { entryOf(1, 1) }));
    CHECK(events.failed.WaitForNotificationWithTimeout(absl::Seconds(60)));
    journal.stop();
    CHECK(!events.done.HasBeenNotified());
}

TEST(DiskJournal, KeepsBatchesOnARealDisk)
{
    const std::string folder = absl::StrCat(std::filesystem::temp_directory_path().string(), "/trefoilwing-journal-", ::getpid());
    PosixFileSystem files;
    {
        auto opened = DiskJournal::open(files, folder, Incarnation(7));
        auto& journal = **valueOf(opened);
        Events events;
        journal.start(events);
        for (uint64_t i = 1; i <= 3; ++i)
            journal.append(batchOf(i, { entryOf(i, 1) }));
        CHECK(events.done.WaitForNotificationWithTimeout(absl::Seconds(60)));
        journal.stop();
        CHECK(journal.totals().syncs <= 4);
    }
    auto opened = DiskJournal::open(files, folder, Incarnation(8));
    CHECK_EQUAL(3, (*valueOf(opened))->takeContent().entries.size());
    CHECK((*valueOf(opened))->storage() == Incarnation(7));
    std::filesystem::remove_all(folder);
}
