// Measures the ledger: a group of three members in one process, of which one has a disk.
//
// usage: LedgerBench load FOLDER SYNC_MS JOBS_PER_SECOND SECONDS
//            claimed and decided jobs per second, the latency of a claim, synced writes and bytes per job
//        LedgerBench size FOLDER
//            bytes per claim in memory, in the journal and in a snapshot, for three numbers of claims

#include "Adapters/Clock/SeededRandom.h"
#include "Adapters/Clock/SystemClock.h"
#include "Adapters/Disk/DiskJournal.h"
#include "Adapters/Disk/PosixFileSystem.h"
#include "Control/ReplicatedLedger.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/clock.h>

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <deque>
#include <filesystem>
#include <malloc.h>
#include <memory>
#include <string>
#include <thread>
#include <type_traits>
#include <vector>

using namespace trefoilwing;

namespace {

/// Adds a delay to each sync, to simulate a slower disk.
class SlowFile final : public AppendFile {
public:
    SlowFile(std::unique_ptr<AppendFile> file, absl::Duration syncTime)
        : file_(std::move(file))
        , syncTime_(syncTime)
    {
    }
    Result<Done> append(std::string_view bytes) override { return file_->append(bytes); }
    Result<Done> sync() override
    {
        absl::SleepFor(syncTime_);
        return file_->sync();
    }

private:
    std::unique_ptr<AppendFile> file_;
    absl::Duration syncTime_;
};

class SlowFileSystem final : public FileSystem {
public:
    explicit SlowFileSystem(absl::Duration syncTime)
        : syncTime_(syncTime)
    {
    }
    Result<Done> makeFolder(const std::string& folder) override { return files_.makeFolder(folder); }
    Result<std::vector<std::string>> list(const std::string& folder) override { return files_.list(folder); }
    Result<std::string> read(const std::string& path) override { return files_.read(path); }
    Result<std::unique_ptr<AppendFile>> open(const std::string& path) override
    {
        auto opened = files_.open(path);
        if (const Error* error = errorOf(opened))
            return *error;
        return std::make_unique<SlowFile>(std::get<std::unique_ptr<AppendFile>>(std::move(opened)), syncTime_);
    }
    Result<Done> truncate(const std::string& path, uint64_t size) override { return files_.truncate(path, size); }
    Result<Done> rename(const std::string& from, const std::string& to) override { return files_.rename(from, to); }
    Result<Done> remove(const std::string& path) override { return files_.remove(path); }
    Result<Done> syncFolder(const std::string& folder) override { return files_.syncFolder(folder); }

private:
    PosixFileSystem files_;
    absl::Duration syncTime_;
};

/// One member of the group with its thread. Messages go directly to the mailboxes of the other members.
class BenchMember final : public PeerLink {
public:
    BenchMember(size_t index, std::vector<std::unique_ptr<BenchMember>>& members, std::unique_ptr<DiskJournal> journal)
        : members_(members)
        , random_(index + 1)
        , journal_(std::move(journal))
        , ledger_({ idOf(index), Incarnation(1) }, settingsOf(index), journal_ ? journal_->takeContent() : JournalContent {}, { *this, clock_, random_, journal_.get() })
    {
    }

    static DaemonId idOf(size_t index) { return DaemonId(absl::StrCat("d", index)); }

    void start()
    {
        if (journal_)
            journal_->start(ledger_);
        thread_ = std::thread([this] { run(); });
    }

    void stop()
    {
        {
            absl::MutexLock lock(&mutex_);
            isStopping_ = true;
        }
        thread_.join();
        if (journal_)
            journal_->stop();
    }

    void send(const DaemonId& to, PeerMessage message) override
    {
        for (auto& member : members_) {
            if (!member->ledger_.status().failure.empty() || idOf(static_cast<size_t>(&member - members_.data())) != to)
                continue;
            absl::MutexLock lock(&member->mutex_);
            member->mailbox_.push_back(std::move(message));
            return;
        }
    }

    ReplicatedLedger& ledger() { return ledger_; }
    DiskJournal* journal() { return journal_.get(); }

private:
    LogSettings settingsOf(size_t index) const
    {
        LogSettings settings;
        settings.group = GroupId("ledger/bench");
        settings.self = { { idOf(index), journal_ ? journal_->storage() : Incarnation(1) }, false, journal_ != nullptr, false };
        settings.daemons = { idOf(0), idOf(1), idOf(2) };
        return settings;
    }

    void run()
    {
        while (true) {
            std::deque<PeerMessage> messages;
            {
                const absl::Time due = ledger_.nextWakeup();
                absl::MutexLock lock(&mutex_);
                mutex_.AwaitWithDeadline(absl::Condition(
                                             +[](BenchMember* self) { return self->isStopping_ || !self->mailbox_.empty(); }, this),
                    due);
                if (isStopping_)
                    return;
                messages.swap(mailbox_);
            }
            for (const PeerMessage& message : messages) {
                std::visit([&](const auto& typed) {
                    if constexpr (std::is_constructible_v<LogMessage, decltype(typed)>)
                        ledger_.receive(typed);
                },
                    message);
            }
            if (ledger_.nextWakeup() <= clock_.now())
                ledger_.wake();
        }
    }

    std::vector<std::unique_ptr<BenchMember>>& members_;
    SystemClock clock_;
    SeededRandom random_;
    std::unique_ptr<DiskJournal> journal_;
    absl::Mutex mutex_;
    std::deque<PeerMessage> mailbox_;
    bool isStopping_ = false;
    ReplicatedLedger ledger_;
    std::thread thread_;
};

SubmissionKey keyOf(uint64_t number)
{
    return { ServiceId("quote-follow-up"), BackerId(absl::StrCat("backer-", number % 20)), CallerKey(absl::StrCat("0b7f9a54-7c1e-4c52-", number)) };
}

/// The results of a load run. Thread-safe.
class LoadResults {
public:
    void claimed(absl::Duration time)
    {
        absl::MutexLock lock(&mutex_);
        times_.push_back(time);
    }
    void decided() { ++decided_; }
    void failed() { ++failed_; }
    uint64_t finished() const { return decided_ + failed_; }

    void print(double seconds, const DiskJournal::Totals& totals)
    {
        absl::MutexLock lock(&mutex_);
        std::sort(times_.begin(), times_.end());
        const auto percentileMs = [&](double share) { return times_.empty() ? 0 : absl::ToDoubleMilliseconds(times_[static_cast<size_t>(share * static_cast<double>(times_.size() - 1))]); };
        const auto jobs = static_cast<double>(decided_.load());
        std::printf("jobs=%.0f failed=%llu jobs_per_second=%.0f claim_ms_p50=%.2f claim_ms_p99=%.2f syncs_per_job=%.3f bytes_per_job=%.0f\n",
            jobs, static_cast<unsigned long long>(failed_.load()), jobs / seconds, percentileMs(0.5), percentileMs(0.99), static_cast<double>(totals.syncs) / jobs, static_cast<double>(totals.bytes) / jobs);
    }

private:
    absl::Mutex mutex_;
    std::vector<absl::Duration> times_;
    std::atomic<uint64_t> decided_ { 0 };
    std::atomic<uint64_t> failed_ { 0 };
};

void startJob(ReplicatedLedger& ledger, uint64_t number, LoadResults& results)
{
    const absl::Time startedAt = absl::Now();
    ledger.claim(keyOf(number), Digest(number), absl::Hours(1), [&ledger, &results, number, startedAt](const ClaimReply& reply) {
        if (!std::holds_alternative<ClaimGranted>(reply)) {
            results.failed();
            return;
        }
        results.claimed(absl::Now() - startedAt);
        ledger.decide(keyOf(number), { Verdict::Ran, true }, [&results](const Result<RecordedOutcome>& result) {
            if (valueOf(result))
                results.decided();
            else
                results.failed();
        });
    });
}

int measureLoad(const std::string& folder, absl::Duration syncTime, double rate, double seconds)
{
    SlowFileSystem files(syncTime);
    auto opened = DiskJournal::open(files, folder, Incarnation(1));
    if (const Error* error = errorOf(opened)) {
        std::fprintf(stderr, "%s\n", error->message.c_str());
        return 1;
    }
    std::vector<std::unique_ptr<BenchMember>> members;
    members.push_back(std::make_unique<BenchMember>(0, members, std::get<std::unique_ptr<DiskJournal>>(std::move(opened))));
    for (size_t i = 1; i < 3; ++i)
        members.push_back(std::make_unique<BenchMember>(i, members, nullptr));
    for (auto& member : members)
        member->start();
    while (std::none_of(members.begin(), members.end(), [](const auto& member) { return member->ledger().status().isLeading; }))
        absl::SleepFor(absl::Milliseconds(50));
    absl::SleepFor(absl::Seconds(1));

    LoadResults results;
    const auto jobs = static_cast<uint64_t>(rate * seconds);
    const DiskJournal::Totals before = members[0]->journal()->totals();
    const absl::Time startedAt = absl::Now();
    for (uint64_t job = 0; job < jobs; ++job) {
        const absl::Time due = startedAt + absl::Seconds(static_cast<double>(job) / rate);
        if (const absl::Duration early = due - absl::Now(); early > absl::ZeroDuration())
            absl::SleepFor(early);
        startJob(members[job % 3]->ledger(), job, results);
    }
    while (results.finished() < jobs)
        absl::SleepFor(absl::Milliseconds(1));
    const double elapsed = absl::ToDoubleSeconds(absl::Now() - startedAt);
    DiskJournal::Totals totals = members[0]->journal()->totals();
    totals.syncs -= before.syncs;
    totals.bytes -= before.bytes;
    results.print(elapsed, totals);
    for (auto& member : members)
        member->stop();
    return 0;
}

uint64_t bytesIn(const std::string& folder, const std::string& prefix)
{
    uint64_t bytes = 0;
    for (const auto& file : std::filesystem::directory_iterator(folder)) {
        if (file.path().filename().string().find(prefix) == 0)
            bytes += file.file_size();
    }
    return bytes;
}

int measureSize(const std::string& folder)
{
    for (const uint64_t count : { 10000U, 100000U, 1000000U }) {
        const std::string journalFolder = absl::StrCat(folder, "/", count);
        PosixFileSystem files;
        JournalFolder journal(files, journalFolder, {});
        if (errorOf(journal.open(Incarnation(1))))
            return 1;
        const size_t before = mallinfo2().uordblks;
        LedgerState state;
        JournalBatch batch;
        for (uint64_t number = 0; number < count; ++number) {
            const ClaimRecord claim { keyOf(number), Digest(number * 0x9e3779b97f4a7c15U), { DaemonId("entry-1"), Incarnation(1796000000000000) }, absl::FromUnixMicros(1796000000000000), absl::Hours(1) };
            state.apply(claim);
            state.apply(OutcomeRecord { claim.submission, Verdict::Ran, true, claim.owner, claim.claimedAt });
            batch.entries.push_back({ LogIndex(number + 1), Term(1), claim });
            if (batch.entries.size() == 100) {
                journal.write({ batch });
                batch.entries = {};
            }
        }
        const auto memory = static_cast<double>(mallinfo2().uordblks - before);
        const auto journalBytes = static_cast<double>(bytesIn(journalFolder, "segment-"));
        JournalBatch last;
        last.snapshot = std::make_shared<const Snapshot>(Snapshot { LogIndex(count), Term(1), Epoch(1), {}, state.snapshot() });
        journal.write({ last });
        const auto snapshotBytes = static_cast<double>(bytesIn(journalFolder, "snapshot-"));
        const auto claims = static_cast<double>(count);
        std::printf("claims=%.0f memory_bytes_per_claim=%.0f journal_bytes_per_claim=%.0f snapshot_bytes_per_claim=%.0f\n",
            claims, memory / claims, journalBytes / claims, snapshotBytes / claims);
    }
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    double syncMs = 0;
    double rate = 0;
    double seconds = 0;
    if (arguments.size() == 5 && arguments[0] == "load" && absl::SimpleAtod(arguments[2], &syncMs)
        && absl::SimpleAtod(arguments[3], &rate) && absl::SimpleAtod(arguments[4], &seconds))
        return measureLoad(arguments[1], absl::Milliseconds(syncMs), rate, seconds);
    if (arguments.size() == 2 && arguments[0] == "size")
        return measureSize(arguments[1]);
    std::fprintf(stderr, "usage: LedgerBench load FOLDER SYNC_MS JOBS_PER_SECOND SECONDS | LedgerBench size FOLDER\n");
    return 2;
}
