#include "StandIns/ResultPoster.h"

#include "Adapters/Http/MinionCodec.h"

#include <absl/time/clock.h>

#include <utility>

namespace trefoilwing {

namespace {

    constexpr absl::Duration postTimeout = absl::Seconds(60);
    constexpr absl::Duration retryInterval = absl::Milliseconds(200);
    constexpr int okStatus = 200;

} // namespace

ResultPoster::ResultPoster(ServiceId service, MinionId minion, DaemonRun entry, const Endpoint& endpoint, BatchSplitter splitter)
    : service_(std::move(service))
    , minion_(std::move(minion))
    , entry_(std::move(entry))
    , splitter_(std::move(splitter))
    , connection_(endpoint, {})
    , thread_([this] { run(); })
{
}

ResultPoster::~ResultPoster()
{
    {
        const MutexLock lock(mutex_);
        isStopping_ = true;
    }
    changed_.SignalAll();
    thread_.join();
}

void ResultPoster::add(TaskResult result)
{
    const MutexLock lock(mutex_);
    waiting_.push_back(std::move(result));
    changed_.SignalAll();
}

void ResultPoster::awaitEmpty()
{
    const MutexLock lock(mutex_);
    while (isPosting_ || !waiting_.empty())
        changed_.Wait(&mutex_);
}

bool ResultPoster::isStopping()
{
    const MutexLock lock(mutex_);
    return isStopping_;
}

void ResultPoster::pause(absl::Duration duration)
{
    const absl::Time end = absl::Now() + duration;
    const MutexLock lock(mutex_);
    while (!isStopping_ && !changed_.WaitWithDeadline(&mutex_, end)) { }
}

void ResultPoster::run()
{
    for (;;) {
        std::vector<TaskResult> results;
        {
            const MutexLock lock(mutex_);
            isPosting_ = false;
            changed_.SignalAll();
            while (!isStopping_ && waiting_.empty())
                changed_.Wait(&mutex_);
            if (isStopping_)
                return;
            results = std::exchange(waiting_, {});
            isPosting_ = true;
        }
        for (const std::vector<TaskResult>& batch : splitter_(std::move(results)))
            post(batch);
    }
}

void ResultPoster::post(const std::vector<TaskResult>& results)
{
    const std::string body = MinionCodec::encodeResults({ service_, minion_, entry_, results });
    const absl::Time end = absl::Now() + postTimeout;
    while (!isStopping() && absl::Now() < end) {
        const PostOutcome outcome = connection_.post("/v1/results", body);
        const auto* answer = std::get_if<HttpAnswer>(&outcome);
        if (answer && answer->status == okStatus)
            return;
        pause(retryInterval);
    }
}

} // namespace trefoilwing
