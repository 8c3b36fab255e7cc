#include "Dispatch/Broker/DemandQueue.h"

namespace trefoilwing::broker {

DemandQueue::DemandQueue(const JobOrder& jobOrder, const BackerOrder& backerOrder)
    : jobOrder_(jobOrder)
    , backerOrder_(backerOrder)
{
}

void DemandQueue::insert(QueuedDemand& demand)
{
    demand.key = jobOrder_.key(*demand.job);
    BackerQueue& queue = demand.job->backer->queues[demand.lane];
    queue.backer = demand.job->backer;
    queue.lane = demand.lane;
    demand.queue = &queue;
    unfile(queue);
    queue.demands.insert(demand);
    file(queue);
}

void DemandQueue::remove(QueuedDemand& demand)
{
    if (!demand.queue)
        return;
    BackerQueue& queue = *demand.queue;
    unfile(queue);
    queue.demands.erase(queue.demands.iterator_to(demand));
    demand.queue = nullptr;
    file(queue);
}

void DemandQueue::reorder(Job& job)
{
    const double key = jobOrder_.key(job);
    for (const std::unique_ptr<QueuedDemand>& demand : job.queued) {
        if (!demand->queue || demand->key == key)
            continue;
        remove(*demand);
        insert(*demand);
    }
}

void DemandQueue::backerChanged(Backer& backer)
{
    const bool isWithinShare = backerOrder_.isWithinShare(backer);
    for (auto& [lane, queue] : backer.queues) {
        if (!queue.group || (queue.group == &lane->withinShare) == isWithinShare)
            continue;
        unfile(queue);
        file(queue);
    }
}

QueuedDemand* DemandQueue::first(Lane& lane)
{
    for (auto* group : { &lane.withinShare, &lane.beyondShare }) {
        if (!group->empty())
            return &*group->begin()->demands.begin();
    }
    return nullptr;
}

bool DemandQueue::goesBefore(const QueuedDemand& a, const QueuedDemand& b)
{
    const bool isWithinShareA = a.queue->group == &a.lane->withinShare;
    const bool isWithinShareB = b.queue->group == &b.lane->withinShare;
    return isWithinShareA != isWithinShareB ? isWithinShareA : a < b;
}

void DemandQueue::file(BackerQueue& queue)
{
    if (queue.demands.empty())
        return;
    queue.group = backerOrder_.isWithinShare(*queue.backer) ? &queue.lane->withinShare : &queue.lane->beyondShare;
    queue.group->insert(queue);
}

void DemandQueue::unfile(BackerQueue& queue)
{
    if (!queue.group)
        return;
    queue.group->erase(queue.group->iterator_to(queue));
    queue.group = nullptr;
}

} // namespace trefoilwing::broker
