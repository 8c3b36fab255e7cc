#pragma once

#include "Dispatch/Broker/Job.h"

#include <map>

namespace trefoilwing::broker {

/// The waiting demands of one backer in one pool queue, sorted by the job order.
struct BackerQueue : boost::intrusive::set_base_hook<> {
    Backer* backer = nullptr;
    PoolQueue* poolQueue = nullptr;
    boost::intrusive::set<QueuedDemand> demands;
    /// The priority group of the pool queue that contains this queue, or null.
    boost::intrusive::set<BackerQueue>* group = nullptr;

    friend bool operator<(const BackerQueue& a, const BackerQueue& b) { return *a.demands.begin() < *b.demands.begin(); }
};

/// A backer with its quota and its current use of slots.
struct Backer {
    BackerId id;
    uint32_t quota = 1;
    /// Number of slots granted to its jobs and not yet reported as ended.
    uint32_t inUse = 0;
    /// Number of slots that correspond to its quota.
    double share = 0;
    /// Moving average of the number of its slots in use.
    double averageUse = 0;
    absl::Time averagedAt = absl::InfinitePast();
    std::map<PoolQueue*, BackerQueue> queues;
};

/// The demands that wait for the same minion pool, in three groups of descending priority.
struct PoolQueue {
    MinionPool* pool = nullptr;
    bool isLong = false;
    /// Backers whose average use is within their share and that have an urgent job.
    boost::intrusive::set<BackerQueue> urgent;
    boost::intrusive::set<BackerQueue> withinShare;
    boost::intrusive::set<BackerQueue> beyondShare;
};

} // namespace trefoilwing::broker
