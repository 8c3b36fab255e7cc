#include "Dispatch/Broker/DemandQueue.h"

namespace trefoilwing::broker {

DemandQueue::DemandQueue(const JobOrder& jobOrder, const BackerOrder& backerOrder)
    : jobOrder_(jobOrder)
    , backerOrder_(backerOrder)
{
}

void DemandQueue::insert(QueuedDemand& demand)
{
    demand.key = keyOf(*demand.job);
    BackerQueue& queue = demand.job->backer->queues[demand.poolQueue];
    queue.backer = demand.job->backer;
    queue.poolQueue = demand.poolQueue;
    demand.queue = &queue;
    removeFromGroup(queue);
    queue.demands.insert(demand);
    addToGroup(queue);
}

void DemandQueue::remove(QueuedDemand& demand)
{
    if (!demand.queue)
        return;
    BackerQueue& queue = *demand.queue;
    removeFromGroup(queue);
    queue.demands.erase(queue.demands.iterator_to(demand));
    demand.queue = nullptr;
    addToGroup(queue);
}

void DemandQueue::reorder(Job& job)
{
    const double key = keyOf(job);
    for (const std::unique_ptr<QueuedDemand>& demand : job.queued) {
        if (!demand->queue || demand->key == key)
            continue;
        remove(*demand);
        insert(*demand);
    }
}

void DemandQueue::updateBacker(Backer& backer)
{
    for (auto& [poolQueue, queue] : backer.queues) {
        if (!queue.group || queue.group == groupFor(queue))
            continue;
        removeFromGroup(queue);
        addToGroup(queue);
    }
}

QueuedDemand* DemandQueue::first(PoolQueue& poolQueue)
{
    for (auto* group : { &poolQueue.urgent, &poolQueue.withinShare, &poolQueue.beyondShare }) {
        if (!group->empty())
            return &*group->begin()->demands.begin();
    }
    return nullptr;
}

bool DemandQueue::precedes(const QueuedDemand& a, const QueuedDemand& b)
{
    const uint32_t rankA = rankOf(a);
    const uint32_t rankB = rankOf(b);
    return rankA != rankB ? rankA < rankB : a < b;
}

uint32_t DemandQueue::rankOf(const QueuedDemand& demand)
{
    if (demand.queue->group == &demand.poolQueue->urgent)
        return 0;
    return demand.queue->group == &demand.poolQueue->withinShare ? 1 : 2;
}

double DemandQueue::keyOf(const Job& job) const
{
    // Urgent jobs precede the backer's other jobs, earliest deadline first.
    constexpr double urgentKeyOffset = -1e15;
    if (job.isUrgent)
        return urgentKeyOffset + absl::ToDoubleSeconds(job.deadline - absl::UnixEpoch());
    return jobOrder_.key(job);
}

boost::intrusive::set<BackerQueue>* DemandQueue::groupFor(BackerQueue& queue) const
{
    // A backer above its share gets no urgency: it must not displace others by starting more than it can finish.
    if (queue.demands.begin()->job->isUrgent && queue.backer->averageUse < queue.backer->share)
        return &queue.poolQueue->urgent;
    return backerOrder_.isWithinShare(*queue.backer) ? &queue.poolQueue->withinShare : &queue.poolQueue->beyondShare;
}

void DemandQueue::addToGroup(BackerQueue& queue)
{
    if (queue.demands.empty())
        return;
    queue.group = groupFor(queue);
    queue.group->insert(queue);
}

void DemandQueue::removeFromGroup(BackerQueue& queue)
{
    if (!queue.group)
        return;
    queue.group->erase(queue.group->iterator_to(queue));
    queue.group = nullptr;
}

} // namespace trefoilwing::broker
