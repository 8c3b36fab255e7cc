#pragma once

#include "Adapters/Http/HttpConnection.h"
#include "Adapters/Http/HttpServer.h"
#include "Base/MutexLock.h"
#include "Model/MinionBatches.h"
#include "StandIns/ExecutionLog.h"
#include "StandIns/MinionBehaviour.h"
#include "StandIns/ResultPoster.h"
#include "StandIns/TaskHistory.h"
#include "StandIns/TimerQueue.h"

#include <absl/synchronization/notification.h>

#include <map>
#include <memory>
#include <thread>
#include <utility>
#include <vector>

namespace trefoilwing {

/// The identity and settings of one stand-in minion.
struct StandInMinionOptions {
    MinionId minion;
    ServiceId service;
    DataCentreId dataCentre;
    WorkerId worker;
    RackId rack;
    SlotCount slots { 8 };
    Resources resources;
    /// Speed factor: a task takes its run time divided by this.
    double speed = 1;
    Endpoint listen { "127.0.0.1", 0 };
    /// Announcements go to these entries in turn, as a load balancer would distribute them.
    std::vector<Endpoint> entries;
    std::string behaviour = "obedient";
    uint64_t after = 0;
};

/// A minion for tests. It follows the minion protocol except where its MinionBehaviour deviates.
///
/// The payload of a task sets its run time and result: {"run_ms": 50, "output": "text", "fail": false}.
/// POST /v1/stand-in/behaviour {"name": ..., "after": ...} switches the behaviour.
class StandInMinion {
public:
    StandInMinion(StandInMinionOptions, TimerQueue&, ExecutionLog&);
    ~StandInMinion();

    StandInMinion(const StandInMinion&) = delete;
    StandInMinion& operator=(const StandInMinion&) = delete;

    /// Starts the HTTP server and the periodic announcements.
    Result<Done> start();

    /// Announces the state "leaving" at once and refuses new tasks.
    void leave();

    /// Waits until no task runs and each result has been posted or its post has timed out.
    void awaitIdle();

private:
    using PosterKey = std::pair<DaemonRun, Endpoint>;
    using Behaviour = std::shared_ptr<const MinionBehaviour>;

    HttpResponse handleStarts(const HttpRequest&);
    HttpResponse handleCancels(const HttpRequest&);
    HttpResponse handleBehaviour(const HttpRequest&);
    /// Blocks until the minion stops if the behaviour is unresponsive; otherwise returns at once.
    void blockIfUnresponsive();
    StartReply admit(const StartBatch&, const TaskStart&);
    void run(const StartBatch&, const TaskStart&);
    void finish(const PosterKey&, const TaskStart&, TaskResult);
    ResultPoster& poster(const PosterKey&) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void announceRepeatedly();
    void announce(std::vector<std::unique_ptr<HttpConnection>>&);
    MinionAnnouncement announcement();
    Behaviour behaviour();
    uint64_t startCount();

    const StandInMinionOptions options_;
    const Incarnation incarnation_;
    TimerQueue& timers_;
    ExecutionLog& log_;
    HttpServer server_;
    /// Releases handlers that a behaviour blocks or delays.
    absl::Notification stopping_;

    absl::Mutex mutex_;
    absl::CondVar changed_;
    Behaviour behaviour_ ABSL_GUARDED_BY(mutex_);
    TaskHistory history_ ABSL_GUARDED_BY(mutex_);
    uint32_t busySlots_ ABSL_GUARDED_BY(mutex_) = 0;
    uint64_t startCount_ ABSL_GUARDED_BY(mutex_) = 0;
    uint64_t sequence_ ABSL_GUARDED_BY(mutex_) = 0;
    bool isStopping_ ABSL_GUARDED_BY(mutex_) = false;
    bool isLeaving_ ABSL_GUARDED_BY(mutex_) = false;
    bool isAnnouncementDue_ ABSL_GUARDED_BY(mutex_) = true;
    std::map<PosterKey, std::unique_ptr<ResultPoster>> posters_ ABSL_GUARDED_BY(mutex_);
    std::thread announcer_;
};

} // namespace trefoilwing
