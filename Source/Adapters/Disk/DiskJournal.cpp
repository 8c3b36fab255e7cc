#include "Adapters/Disk/DiskJournal.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace trefoilwing {

namespace {

    /// Interval at which a failed write is repeated.
    constexpr absl::Duration retryInterval = absl::Milliseconds(250);

} // namespace

Result<std::unique_ptr<DiskJournal>> DiskJournal::open(FileSystem& files, std::string folder, Incarnation offered, JournalFolder::Options options)
{
    auto journalFolder = std::make_unique<JournalFolder>(files, std::move(folder), options);
    auto opened = journalFolder->open(offered);
    if (const Error* error = errorOf(opened))
        return *error;
    return std::unique_ptr<DiskJournal>(new DiskJournal(std::move(journalFolder), std::get<JournalFolder::Opened>(std::move(opened))));
}

DiskJournal::DiskJournal(std::unique_ptr<JournalFolder> folder, JournalFolder::Opened opened)
    : folder_(std::move(folder))
    , storage_(opened.storage)
    , content_(std::move(opened.content))
    , cutOff_(opened.cutOff)
{
}

DiskJournal::~DiskJournal()
{
    stop();
}

void DiskJournal::start(JournalEvents& events)
{
    thread_ = std::thread([this, &events] { run(events); });
}

void DiskJournal::stop()
{
    {
        MutexLock lock(mutex_);
        isStopping_ = true;
        changed_.SignalAll();
    }
    stopping_.raise();
    if (thread_.joinable())
        thread_.join();
}

void DiskJournal::append(JournalBatch batch)
{
    MutexLock lock(mutex_);
    batches_.push_back(std::move(batch));
    changed_.Signal();
}

bool DiskJournal::waitForBatches(std::vector<JournalBatch>& unsynced)
{
    MutexLock lock(mutex_);
    while (unsynced.empty() && batches_.empty() && !isStopping_)
        changed_.Wait(&mutex_);
    std::move(batches_.begin(), batches_.end(), std::back_inserter(unsynced));
    batches_.clear();
    return !unsynced.empty();
}

bool DiskJournal::waitForRetry()
{
    stopping_.wait(retryInterval);
    MutexLock lock(mutex_);
    return !isStopping_;
}

void DiskJournal::run(JournalEvents& events)
{
    std::vector<JournalBatch> unsynced;
    while (waitForBatches(unsynced)) {
        const auto written = folder_->write(unsynced);
        const Error* error = errorOf(written);
        {
            MutexLock lock(mutex_);
            totals_.batches += error ? 0 : unsynced.size();
            totals_.syncs = folder_->syncs();
            totals_.bytes = folder_->bytesWritten();
        }
        if (error) {
            events.journalFailed(*error);
            if (!waitForRetry())
                return;
            continue;
        }
        const SyncToken newest = unsynced.back().token;
        unsynced.clear();
        events.synced(newest);
    }
}

DiskJournal::Totals DiskJournal::totals() const
{
    MutexLock lock(mutex_);
    return totals_;
}

} // namespace trefoilwing
