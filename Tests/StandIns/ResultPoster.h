#pragma once

#include "Adapters/Http/HttpConnection.h"
#include "Base/MutexLock.h"
#include "Model/MinionBatches.h"

#include <absl/time/time.h>

#include <functional>
#include <thread>
#include <vector>

namespace trefoilwing {

/// Posts results to one run of one entry from one thread: the next batch leaves when the former one was answered.
class ResultPoster {
public:
    /// @return the batches to post for the given results; none drops them.
    using Shape = std::function<std::vector<std::vector<TaskResult>>(std::vector<TaskResult>)>;

    ResultPoster(ServiceId, MinionId, DaemonRun, const Endpoint&, Shape);
    ~ResultPoster();

    ResultPoster(const ResultPoster&) = delete;
    ResultPoster& operator=(const ResultPoster&) = delete;

    void add(TaskResult);

    /// Waits until all results have been posted or given up.
    void awaitEmpty();

private:
    void run();
    /// Posts until it is answered, or given up after a while.
    void post(const std::vector<TaskResult>&);
    bool isStopping();
    void pause(absl::Duration);

    const ServiceId service_;
    const MinionId minion_;
    const DaemonRun entry_;
    const Shape shape_;
    HttpConnection connection_;

    absl::Mutex mutex_;
    absl::CondVar changed_;
    std::vector<TaskResult> waiting_ ABSL_GUARDED_BY(mutex_);
    bool isPosting_ ABSL_GUARDED_BY(mutex_) = false;
    bool isStopping_ ABSL_GUARDED_BY(mutex_) = false;
    std::thread thread_;
};

} // namespace trefoilwing
