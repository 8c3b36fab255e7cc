#pragma once

#include "Dispatch/Broker/Backer.h"
#include "Dispatch/Broker/BackerOrder.h"
#include "Dispatch/Broker/JobOrder.h"

namespace trefoilwing::broker {

/// Sorts the waiting demands of all pool queues in the order in which they are served.
///
/// Each change takes logarithmic time in the length of the queue, so that the cost of a mass cancellation
/// depends on the cancelled jobs only.
class DemandQueue {
public:
    DemandQueue(const JobOrder&, const BackerOrder&);

    /// Adds a demand to the queue of its backer.
    void insert(QueuedDemand&);

    /// Removes a demand from its queue, if it is queued.
    void remove(QueuedDemand&);

    /// Updates a job's position after a change of its counters.
    void reorder(Job&);

    /// Moves a backer's queues to the right priority group after its use or its share changed.
    void updateBacker(Backer&);

    /// @return the next demand of the pool queue, or null.
    static QueuedDemand* first(PoolQueue&);

    /// @return whether the first demand is served before the second, which may belong to another pool queue.
    static bool precedes(const QueuedDemand&, const QueuedDemand&);

private:
    static uint32_t rankOf(const QueuedDemand&);
    boost::intrusive::set<BackerQueue>* groupFor(BackerQueue&) const;
    double keyOf(const Job&) const;
    void addToGroup(BackerQueue&);
    static void removeFromGroup(BackerQueue&);

    const JobOrder& jobOrder_;
    const BackerOrder& backerOrder_;
};

} // namespace trefoilwing::broker
