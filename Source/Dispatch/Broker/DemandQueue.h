#pragma once

#include "Dispatch/Broker/Backer.h"
#include "Dispatch/Broker/BackerOrder.h"
#include "Dispatch/Broker/JobOrder.h"

namespace trefoilwing::broker {

/// Keeps the waiting jobs of all lanes in the order in which they are served.
///
/// Each change costs the logarithm of the queue's length, so that a wave of cancellations costs no
/// more than the cancelled.
class DemandQueue {
public:
    DemandQueue(const JobOrder&, const BackerOrder&);

    /// Queues waiting tasks.
    void insert(QueuedDemand&);

    /// Takes waiting tasks out of the queue, if they are in it.
    void remove(QueuedDemand&);

    /// Moves a job to its place after a change of its counts.
    void reorder(Job&);

    /// Moves a backer to its side of the share after a change of its use or its share.
    void backerChanged(Backer&);

    /// @return the demand that goes first in the lane, or null.
    static QueuedDemand* first(Lane&);

    /// @return whether the first goes before the second, which may be of another lane.
    static bool goesBefore(const QueuedDemand&, const QueuedDemand&);

private:
    static uint32_t rankOf(const QueuedDemand&);
    boost::intrusive::set<BackerQueue>* groupFor(BackerQueue&) const;
    double keyOf(const Job&) const;
    void file(BackerQueue&);
    static void unfile(BackerQueue&);

    const JobOrder& jobOrder_;
    const BackerOrder& backerOrder_;
};

} // namespace trefoilwing::broker
