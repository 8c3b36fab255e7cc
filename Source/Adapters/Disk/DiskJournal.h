#pragma once

#include "Adapters/Disk/JournalFolder.h"
#include "Base/MutexLock.h"
#include "Base/WorkSignal.h"
#include "Ports/Journal.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace trefoilwing {

/// Stores the log of one group in a folder of its own.
///
/// One thread writes and syncs; batches that arrive during a sync are combined into the next write.
/// After a failed write or sync, it is unknown which bytes of the file the operating system has stored. All batches
/// that haven't been synced are then written again until the disk accepts them.
class DiskJournal final : public Journal {
public:
    /// Totals since the journal was opened.
    struct Totals {
        uint64_t batches = 0;
        uint64_t syncs = 0;
        uint64_t bytes = 0;
    };

    /// Opens a folder, or creates it.
    /// @param offered the storage's incarnation if the folder is new: higher than any earlier one.
    /// @param files must outlive the journal.
    /// @return the journal, or an error that names file, offset and cure.
    static Result<std::unique_ptr<DiskJournal>> open(FileSystem& files, std::string folder, Incarnation offered, JournalFolder::Options = {});

    ~DiskJournal() override;
    DiskJournal(const DiskJournal&) = delete;
    DiskJournal& operator=(const DiskJournal&) = delete;

    /// The incarnation of the storage, which is part of the member's id.
    Incarnation storage() const { return storage_; }

    /// Size of an incomplete last write, which was cut off when the folder was opened.
    Bytes cutOff() const { return cutOff_; }

    /// @return the content of the folder when it was opened. Call it once.
    JournalContent takeContent() { return std::move(content_); }

    /// Starts the thread.
    /// @param events must outlive the journal, unless stop() is called first.
    void start(JournalEvents& events);

    /// Writes and syncs the batches received so far, then ends the thread. If that fails, it isn't repeated.
    void stop();

    void append(JournalBatch) override;

    Totals totals() const;

private:
    DiskJournal(std::unique_ptr<JournalFolder>, JournalFolder::Opened);

    void run(JournalEvents&);
    /// Moves newly appended batches to the end of the list, and waits for one if the list is empty.
    /// @return false if the journal stops and the list is empty.
    bool waitForBatches(std::vector<JournalBatch>& unsynced);
    /// Waits before a write is repeated.
    /// @return false if the journal stops.
    bool waitForRetry();

    std::unique_ptr<JournalFolder> folder_;
    Incarnation storage_;
    JournalContent content_;
    Bytes cutOff_;
    mutable absl::Mutex mutex_;
    absl::CondVar changed_;
    std::vector<JournalBatch> batches_ ABSL_GUARDED_BY(mutex_);
    bool isStopping_ ABSL_GUARDED_BY(mutex_) = false;
    Totals totals_ ABSL_GUARDED_BY(mutex_);
    WorkSignal stopping_;
    std::thread thread_;
};

} // namespace trefoilwing
