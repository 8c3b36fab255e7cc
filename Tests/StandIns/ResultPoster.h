#pragma once

#include "Adapters/Http/HttpConnection.h"
#include "Base/MutexLock.h"
#include "Model/MinionBatches.h"

#include <absl/time/time.h>

#include <functional>
#include <thread>
#include <vector>

namespace trefoilwing {

/// Posts results to one incarnation of one entry from a single thread. The next batch is posted when the previous one was
/// answered or has timed out.
class ResultPoster {
public:
    /// @return the batches in which the results are posted; if it returns no batch, the results are dropped.
    using BatchSplitter = std::function<std::vector<std::vector<TaskResult>>(std::vector<TaskResult>)>;

    ResultPoster(ServiceId, MinionId, DaemonRun, const Endpoint&, BatchSplitter);
    ~ResultPoster();

    ResultPoster(const ResultPoster&) = delete;
    ResultPoster& operator=(const ResultPoster&) = delete;

    void add(TaskResult);

    /// Waits until each result has been posted or its post has timed out.
    void awaitEmpty();

private:
    void run();
    /// Retries the post until the entry accepts it, the post times out or the poster stops.
    void post(const std::vector<TaskResult>&);
    bool isStopping();
    void pause(absl::Duration);

    const ServiceId service_;
    const MinionId minion_;
    const DaemonRun entry_;
    const BatchSplitter splitter_;
    HttpConnection connection_;

    absl::Mutex mutex_;
    absl::CondVar changed_;
    std::vector<TaskResult> waiting_ ABSL_GUARDED_BY(mutex_);
    bool isPosting_ ABSL_GUARDED_BY(mutex_) = false;
    bool isStopping_ ABSL_GUARDED_BY(mutex_) = false;
    std::thread thread_;
};

} // namespace trefoilwing
