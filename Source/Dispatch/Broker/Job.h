#pragma once

#include "Dispatch/Broker/Minion.h"
#include "Dispatch/Broker/TaskKind.h"
#include "Model/BrokerMessages.h"

#include <boost/intrusive/set.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <memory>
#include <vector>

namespace trefoilwing::broker {

struct Backer;
struct BackerQueue;
struct Job;
struct PoolQueue;

/// The number of a job's waiting tasks of one kind.
struct WaitingTasks {
    TaskKind* kind = nullptr;
    uint32_t count = 0;
};

/// A job's waiting tasks for one pool queue; an element of the backer's queue.
struct QueuedDemand : boost::intrusive::set_base_hook<> {
    Job* job = nullptr;
    PoolQueue* poolQueue = nullptr;
    BackerQueue* queue = nullptr;
    std::vector<WaitingTasks> kinds;
    /// Position in the queue; lower keys are served first.
    double key = 0;
    /// Arrival number, which breaks ties between equal keys.
    uint64_t arrival = 0;
    /// Until when it waits for a faster minion although slots are free; InfiniteFuture while it doesn't.
    absl::Time waitUntil = absl::InfiniteFuture();

    friend bool operator<(const QueuedDemand& a, const QueuedDemand& b)
    {
        return a.key != b.key ? a.key < b.key : a.arrival < b.arrival;
    }
};

/// Slots of one task kind granted by one decisions message to an entry.
struct SentGrant {
    uint64_t sequence = 0;
    TaskKind* kind = nullptr;
    uint32_t slots = 0;
};

/// One job's demand and the slots granted to it.
///
/// Kept as long as it has waiting tasks or granted slots. Owned by the entry's map and by reference count.
struct Job : boost::intrusive_ref_counter<Job, boost::thread_unsafe_counter>, boost::intrusive::set_base_hook<> {
    JobRef ref;
    Backer* backer = nullptr;
    absl::Time submitted;
    absl::Time deadline;
    std::vector<MinionId> excluded;
    std::vector<std::unique_ptr<QueuedDemand>> queued;
    /// Grants that the entry may not have received yet, earliest first.
    std::vector<SentGrant> sent;
    /// Number of tasks that wait for a slot.
    uint32_t waiting = 0;
    /// Number of slots granted and not yet reported as ended.
    uint32_t granted = 0;
    /// Whether any task was ever granted a slot. Such a job can't be rejected with the verdict NotRun.
    bool hasStarted = false;
    /// Whether it takes precedence over all others to meet its deadline.
    bool isUrgent = false;
    /// When the job is next checked: it is then rejected if it hasn't started, and becomes urgent if it has.
    absl::Time dueAt = absl::InfiniteFuture();
    bool isScheduled = false;
};

/// Sorts jobs by the time of their next check.
struct EarlierDue {
    bool operator()(const Job& a, const Job& b) const
    {
        return a.dueAt != b.dueAt ? a.dueAt < b.dueAt : a.ref < b.ref;
    }
};

using JobPtr = boost::intrusive_ptr<Job>;

} // namespace trefoilwing::broker
