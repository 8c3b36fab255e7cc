#include "Adapters/Disk/DiskJournal.h"

#include <utility>

namespace trefoilwing {

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
    if (thread_.joinable())
        thread_.join();
}

void DiskJournal::append(JournalBatch batch)
{
    MutexLock lock(mutex_);
    if (hasFailed_)
        return;
    batches_.push_back(std::move(batch));
    changed_.Signal();
}

std::vector<JournalBatch> DiskJournal::waitForBatches()
{
    MutexLock lock(mutex_);
    while (batches_.empty() && !isStopping_)
        changed_.Wait(&mutex_);
    return std::exchange(batches_, {});
}

void DiskJournal::run(JournalEvents& events)
{
    while (true) {
        const std::vector<JournalBatch> batches = waitForBatches();
        if (batches.empty())
            return;
        const auto written = folder_->write(batches);
        {
            MutexLock lock(mutex_);
            totals_.batches += batches.size();
            totals_.syncs = folder_->syncs();
            totals_.bytes = folder_->bytesWritten();
            hasFailed_ = errorOf(written) != nullptr;
        }
        if (const Error* error = errorOf(written)) {
            events.journalFailed(*error);
            return;
        }
        events.synced(batches.back().token);
    }
}

DiskJournal::Totals DiskJournal::totals() const
{
    MutexLock lock(mutex_);
    return totals_;
}

} // namespace trefoilwing
