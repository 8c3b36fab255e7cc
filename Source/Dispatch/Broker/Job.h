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
struct Lane;

/// Waiting tasks of one kind.
struct WaitingTasks {
    TaskKind* kind = nullptr;
    uint32_t count = 0;
};

/// A job's waiting tasks of one lane, as they stand in the backer's queue.
struct QueuedDemand : boost::intrusive::set_base_hook<> {
    Job* job = nullptr;
    Lane* lane = nullptr;
    BackerQueue* queue = nullptr;
    std::vector<WaitingTasks> kinds;
    /// Lower goes first.
    double key = 0;
    /// Breaks ties in the order of arrival.
    uint64_t arrival = 0;
    /// Until when it may wait for a better slot than the free ones; unset until it has begun to.
    absl::Time patientUntil = absl::InfiniteFuture();

    friend bool operator<(const QueuedDemand& a, const QueuedDemand& b)
    {
        return a.key != b.key ? a.key < b.key : a.arrival < b.arrival;
    }
};

/// Slots granted by one message of decisions to an entry.
struct SentGrant {
    uint64_t sequence = 0;
    TaskKind* kind = nullptr;
    uint32_t slots = 0;
};

/// One job's demand and the slots granted to it.
///
/// It lives while it waits or holds slots; its entry's list and the count of references keep it.
struct Job : boost::intrusive_ref_counter<Job, boost::thread_unsafe_counter>, boost::intrusive::set_base_hook<> {
    JobRef ref;
    Backer* backer = nullptr;
    absl::Time submitted;
    absl::Time deadline;
    std::vector<MinionId> excluded;
    std::vector<std::unique_ptr<QueuedDemand>> queued;
    /// Grants that the entry may not have received yet, the earliest first.
    std::vector<SentGrant> sent;
    /// Tasks that wait for a slot.
    uint32_t waiting = 0;
    /// Slots granted and not yet reported as ended.
    uint32_t granted = 0;
    /// Whether a task has ever been granted a slot; such a job can't be rejected as not run.
    bool hasStarted = false;
    /// Whether it has to go before all others to end in time.
    bool isUrgent = false;
    /// When it is looked at next: it is then given up if it hasn't started, and urgent if it has.
    absl::Time dueAt = absl::InfiniteFuture();
    bool isTimed = false;
};

/// Orders jobs by the time at which they are due.
struct SoonerDue {
    bool operator()(const Job& a, const Job& b) const
    {
        return a.dueAt != b.dueAt ? a.dueAt < b.dueAt : a.ref < b.ref;
    }
};

using JobPtr = boost::intrusive_ptr<Job>;

} // namespace trefoilwing::broker
