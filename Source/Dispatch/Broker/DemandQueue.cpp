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
    const double key = keyOf(job);
    for (const std::unique_ptr<QueuedDemand>& demand : job.queued) {
        if (!demand->queue || demand->key == key)
            continue;
        remove(*demand);
        insert(*demand);
    }
}

void DemandQueue::backerChanged(Backer& backer)
{
    for (auto& [lane, queue] : backer.queues) {
        if (!queue.group || queue.group == groupFor(queue))
            continue;
        unfile(queue);
        file(queue);
    }
}

QueuedDemand* DemandQueue::first(Lane& lane)
{
    for (auto* group : { &lane.urgent, &lane.withinShare, &lane.beyondShare }) {
        if (!group->empty())
            return &*group->begin()->demands.begin();
    }
    return nullptr;
}

bool DemandQueue::goesBefore(const QueuedDemand& a, const QueuedDemand& b)
{
    const uint32_t rankA = rankOf(a);
    const uint32_t rankB = rankOf(b);
    return rankA != rankB ? rankA < rankB : a < b;
}

uint32_t DemandQueue::rankOf(const QueuedDemand& demand)
{
    if (demand.queue->group == &demand.lane->urgent)
        return 0;
    return demand.queue->group == &demand.lane->withinShare ? 1 : 2;
}

double DemandQueue::keyOf(const Job& job) const
{
    // Urgent jobs precede the backer's other jobs, earliest deadline first.
    constexpr double beforeAllOthers = -1e15;
    if (job.isUrgent)
        return beforeAllOthers + absl::ToDoubleSeconds(job.deadline - absl::UnixEpoch());
    return jobOrder_.key(job);
}

boost::intrusive::set<BackerQueue>* DemandQueue::groupFor(BackerQueue& queue) const
{
    // A backer above its share gets no urgency: it must not displace others by starting more than it can finish.
    if (queue.demands.begin()->job->isUrgent && queue.backer->averageUse < queue.backer->share)
        return &queue.lane->urgent;
    return backerOrder_.isWithinShare(*queue.backer) ? &queue.lane->withinShare : &queue.lane->beyondShare;
}

void DemandQueue::file(BackerQueue& queue)
{
    if (queue.demands.empty())
        return;
    queue.group = groupFor(queue);
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
