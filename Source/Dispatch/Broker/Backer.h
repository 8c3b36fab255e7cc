#pragma once

#include "Dispatch/Broker/Job.h"

#include <map>

namespace trefoilwing::broker {

/// The jobs of one backer that wait in one lane, in the job order.
struct BackerQueue : boost::intrusive::set_base_hook<> {
    Backer* backer = nullptr;
    Lane* lane = nullptr;
    boost::intrusive::set<QueuedDemand> demands;
    /// The lane's group that it stands in, or null.
    boost::intrusive::set<BackerQueue>* group = nullptr;

    friend bool operator<(const BackerQueue& a, const BackerQueue& b) { return *a.demands.begin() < *b.demands.begin(); }
};

/// A backer: its quota and what it uses of it.
struct Backer {
    BackerId id;
    uint32_t quota = 1;
    /// Slots granted to its jobs and not yet reported as ended.
    uint32_t inUse = 0;
    /// The slots that its quota stands for.
    double share = 0;
    /// The moving average of its slots in use.
    double averageUse = 0;
    absl::Time averagedAt = absl::InfinitePast();
    std::map<Lane*, BackerQueue> queues;
};

/// Jobs that wait for the same minions: urgent ones, those of backers within their share, and the rest.
struct Lane {
    MinionPool* pool = nullptr;
    bool isLong = false;
    /// Backers within their share of late with a job that has to go first to end in time.
    boost::intrusive::set<BackerQueue> urgent;
    boost::intrusive::set<BackerQueue> withinShare;
    boost::intrusive::set<BackerQueue> beyondShare;
};

} // namespace trefoilwing::broker
