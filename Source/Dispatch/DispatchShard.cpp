#include "Dispatch/DispatchShard.h"

#include <algorithm>
#include <utility>

namespace trefoilwing {

DispatchShard::DispatchShard(DaemonRun self, DispatchPorts ports)
    : self_(std::move(self))
    , ports_(ports)
{
}

void DispatchShard::declare(const ServiceDeclaration& declaration, std::optional<DaemonId> broker)
{
    {
        MutexLock lock(mutex_);
        serviceOf(declaration.service).dispatcher.setObjective(declaration.objective);
    }
    setBroker(declaration.service, std::move(broker));
}

void DispatchShard::setBroker(const ServiceId& service, std::optional<DaemonId> broker)
{
    {
        MutexLock lock(mutex_);
        serviceOf(service).client.setBroker(std::move(broker));
    }
    signal_.raise();
}

void DispatchShard::accept(Submission submission, absl::Time now)
{
    {
        MutexLock lock(mutex_);
        Service& service = serviceOf(submission.id.service);
        const SubmissionKey key = submission.id;
        service.jobs[key] = service.dispatcher.accept(std::move(submission), now);
    }
    signal_.raise();
}

void DispatchShard::cancel(const SubmissionKey& key, absl::Time now)
{
    {
        MutexLock lock(mutex_);
        Service& service = serviceOf(key.service);
        const auto found = service.jobs.find(key);
        if (found == service.jobs.end())
            return;
        service.dispatcher.cancel(found->second, now);
    }
    signal_.raise();
}

void DispatchShard::decisionsReceived(const DaemonId& from, const BrokerDecisions& decisions, absl::Time now)
{
    {
        MutexLock lock(mutex_);
        Service& service = serviceOf(decisions.service);
        if (service.client.accept(from, decisions)) {
            for (const Grant& grant : decisions.grants)
                service.dispatcher.applyGrant(grant, now);
            for (const Rejection& rejection : decisions.rejections)
                service.dispatcher.applyRejection(rejection, now);
        }
    }
    signal_.raise();
}

void DispatchShard::minionAnnounced(const MinionAnnouncement& announcement, absl::Time now)
{
    {
        MutexLock lock(mutex_);
        Service& service = serviceOf(announcement.service);
        MinionAddress& address = service.addresses[announcement.minion];
        const bool isRestarted = address.incarnation != Incarnation {} && address.incarnation != announcement.incarnation;
        if (isRestarted)
            service.dispatcher.minionRemoved(announcement.minion, now);
        address = MinionAddress { announcement.minion, announcement.incarnation, announcement.endpoint };
    }
    signal_.raise();
}

void DispatchShard::minionRemoved(const ServiceId& id, const MinionId& minion, absl::Time now)
{
    {
        MutexLock lock(mutex_);
        Service& service = serviceOf(id);
        service.addresses.erase(minion);
        service.dispatcher.minionRemoved(minion, now);
    }
    signal_.raise();
}

void DispatchShard::startsAnswered(const ServiceId& id, const MinionId& minion, const std::vector<StartAnswer>& answers, absl::Time now)
{
    {
        MutexLock lock(mutex_);
        serviceOf(id).dispatcher.startsAnswered(minion, answers, now);
    }
    signal_.raise();
}

void DispatchShard::cancelsAnswered(const ServiceId& id, const MinionId& minion, const std::vector<CancelAnswer>& answers, absl::Time now)
{
    {
        MutexLock lock(mutex_);
        serviceOf(id).dispatcher.cancelsAnswered(minion, answers, now);
    }
    signal_.raise();
}

void DispatchShard::resultsPosted(const ServiceId& id, const MinionId& minion, std::vector<TaskResult>&& results, absl::Time now)
{
    {
        MutexLock lock(mutex_);
        serviceOf(id).dispatcher.resultsPosted(minion, std::move(results), now);
    }
    signal_.raise();
}

std::vector<QueueStatus> DispatchShard::queues() const
{
    std::vector<QueueStatus> all;
    MutexLock lock(mutex_);
    for (const auto& [id, service] : services_) {
        const std::vector<QueueStatus> part = service->dispatcher.queues();
        all.insert(all.end(), part.begin(), part.end());
    }
    return all;
}

absl::Time DispatchShard::pump(absl::Time now)
{
    std::vector<Delivery> deliveries;
    absl::Time next = absl::InfiniteFuture();
    {
        MutexLock lock(mutex_);
        for (auto& [id, service] : services_) {
            if (service->dispatcher.nextWakeup() <= now)
                service->dispatcher.tick(now);
            if (auto delivery = takeDelivery(id, *service, now))
                deliveries.push_back(std::move(*delivery));
            next = std::min(next, service->dispatcher.nextWakeup());
            if (service->dispatcher.jobCount() + service->dispatcher.attemptCount() > 0)
                next = std::min(next, service->client.nextUpdate());
        }
    }
    for (Delivery& delivery : deliveries)
        deliver(delivery, now);
    return next;
}

DispatchShard::Service& DispatchShard::serviceOf(const ServiceId& id)
{
    std::unique_ptr<Service>& service = services_[id];
    if (!service)
        service.reset(new Service { ServiceDispatcher(id), BrokerClient(id, self_), {}, {} });
    return *service;
}

std::optional<DispatchShard::Delivery> DispatchShard::takeDelivery(const ServiceId& id, Service& service, absl::Time now)
{
    const bool hasWork = service.dispatcher.jobCount() + service.dispatcher.attemptCount() > 0;
    const bool mustSendUpdate = service.client.broker() && (service.client.mustSendFullState() || (hasWork && service.client.isUpdateDue(now)));
    if (!service.dispatcher.hasEffects() && !mustSendUpdate)
        return std::nullopt;
    Delivery delivery { id, service.dispatcher.takeEffects(), {}, service.client.broker(), std::nullopt };
    for (const DecidedJob& decided : delivery.effects.decided)
        service.jobs.erase(decided.submission);
    const auto addAddress = [&](const MinionId& minion) {
        const auto found = service.addresses.find(minion);
        if (found != service.addresses.end())
            delivery.addresses.emplace(minion, found->second);
    };
    for (const auto& [minion, starts] : delivery.effects.starts)
        addAddress(minion);
    for (const auto& [minion, cancels] : delivery.effects.cancels)
        addAddress(minion);
    if (delivery.broker && (mustSendUpdate || !delivery.effects.demands.empty() || !delivery.effects.reports.empty()))
        addUpdate(service, delivery, now);
    return delivery;
}

void DispatchShard::addUpdate(Service& service, Delivery& delivery, absl::Time now)
{
    const bool isFullState = service.client.mustSendFullState();
    BrokerUpdate update = service.client.nextHeader(now);
    if (isFullState) {
        update.demands = service.dispatcher.allDemands();
        update.held = service.dispatcher.heldSlots();
    } else {
        update.demands = std::move(delivery.effects.demands);
        update.reports = std::move(delivery.effects.reports);
    }
    delivery.update = std::move(update);
}

void DispatchShard::deliver(Delivery& delivery, absl::Time now)
{
    deliverStarts(delivery, now);
    deliverCancels(delivery, now);
    if (delivery.update)
        ports_.peers.send(*delivery.broker, std::move(*delivery.update));
    deliverSamples(delivery.effects.samples);
    for (DecidedJob& decided : delivery.effects.decided)
        ports_.outcomes.jobDecided(decided.submission, std::move(decided.outcome));
}

void DispatchShard::deliverStarts(Delivery& delivery, absl::Time now)
{
    for (auto& [minion, starts] : delivery.effects.starts) {
        const auto address = delivery.addresses.find(minion);
        if (address != delivery.addresses.end()) {
            ports_.minions.sendStarts(delivery.service, address->second, std::move(starts));
            continue;
        }
        // The minion's lease ended while the grant was in flight.
        std::vector<StartAnswer> answers;
        for (const TaskStart& start : starts)
            answers.push_back({ start.attempt, StartReply::NotSent });
        startsAnswered(delivery.service, minion, answers, now);
    }
}

void DispatchShard::deliverCancels(Delivery& delivery, absl::Time now)
{
    for (auto& [minion, cancels] : delivery.effects.cancels) {
        const auto address = delivery.addresses.find(minion);
        if (address != delivery.addresses.end()) {
            ports_.minions.sendCancels(delivery.service, address->second, std::move(cancels));
            continue;
        }
        std::vector<CancelAnswer> answers;
        for (const CancelOrder& cancel : cancels)
            answers.push_back({ cancel.attempt, CancelReply::Unknown });
        cancelsAnswered(delivery.service, minion, answers, now);
    }
}

void DispatchShard::deliverSamples(const std::vector<MetricSample>& samples)
{
    for (const MetricSample& sample : samples) {
        if (sample.form == MetricSample::Form::Count)
            ports_.metrics.count(sample.name, sample.labels, sample.amount);
        else
            ports_.metrics.observe(sample.name, sample.labels, sample.latency);
    }
}

} // namespace trefoilwing
