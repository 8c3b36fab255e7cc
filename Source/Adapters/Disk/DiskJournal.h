#pragma once

#include "Adapters/Disk/JournalFolder.h"
#include "Base/MutexLock.h"
#include "Ports/Journal.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace trefoilwing {

/// Keeps one group's log in a folder of its own.
///
/// One thread writes and syncs: all batches that come while it syncs go together into the next write.
/// After a failed write or sync the journal stops for good, since what the system then holds of the
/// file is unknown; a restart reads what was kept.
class DiskJournal final : public Journal {
public:
    /// How much the journal has done.
    struct Totals {
        uint64_t batches = 0;
        uint64_t syncs = 0;
        uint64_t bytes = 0;
    };

    /// Opens a folder, or makes it.
    /// @param offered the storage's incarnation if the folder is new: higher than any before it.
    /// @param files must outlive the journal.
    /// @return the journal, or an error that names file, offset and cure.
    static Result<std::unique_ptr<DiskJournal>> open(FileSystem& files, std::string folder, Incarnation offered, JournalFolder::Options = {});

    ~DiskJournal() override;
    DiskJournal(const DiskJournal&) = delete;
    DiskJournal& operator=(const DiskJournal&) = delete;

    /// The incarnation of the storage, for the member's id.
    Incarnation storage() const { return storage_; }

    /// @return what the folder held; call it once.
    JournalContent takeContent() { return std::move(content_); }

    /// Starts the thread.
    /// @param events must outlive the journal, or stop() be called first.
    void start(JournalEvents& events);

    /// Syncs what has come and ends the thread.
    void stop();

    void append(JournalBatch) override;

    Totals totals() const;

private:
    DiskJournal(std::unique_ptr<JournalFolder>, JournalFolder::Opened);

    void run(JournalEvents&);
    std::vector<JournalBatch> waitForBatches();

    std::unique_ptr<JournalFolder> folder_;
    Incarnation storage_;
    JournalContent content_;
    mutable absl::Mutex mutex_;
    absl::CondVar changed_;
    std::vector<JournalBatch> batches_ ABSL_GUARDED_BY(mutex_);
    bool isStopping_ ABSL_GUARDED_BY(mutex_) = false;
    bool hasFailed_ ABSL_GUARDED_BY(mutex_) = false;
    Totals totals_ ABSL_GUARDED_BY(mutex_);
    std::thread thread_;
};

} // namespace trefoilwing
