#include "Bench/DataCentreRun.h"

#include <algorithm>

namespace trefoilwing::bench {

namespace {

    constexpr absl::Duration messageDelay = absl::Microseconds(250);
    constexpr absl::Duration announcementPeriod = absl::Seconds(1);
    constexpr double failureSeconds = 0.001;
    constexpr absl::Duration samplePeriod = absl::Milliseconds(50);

} // namespace

DataCentreRun::DataCentreRun(const Scenario& scenario, const ServiceDeclaration& declaration, const std::vector<BenchJob>& jobs,
    const BrokerPolicy& policy, Sharing sharing, uint64_t seed)
    : scenario_(scenario)
    , jobs_(jobs)
    , sharing_(sharing)
    , random_(seed)
    , undecided_(jobs.size())
    , brokers_(sharing == Sharing::OneBroker ? 1 : scenario.entries)
    , entries_(scenario.entries)
{
    result_.jobs.resize(jobs.size());
    for (BrokerHost& host : brokers_) {
        host.broker = std::move(std::get<0>(QueueingSlotBroker::create(policy, random_)));
        host.broker->declare(declaration);
    }
    for (size_t i = 0; i < entries_.size(); ++i) {
        entries_[i].run = { DaemonId("entry" + std::to_string(i)), Incarnation(1) };
        entries_[i].dispatcher = std::make_unique<ServiceDispatcher>(declaration.service);
        entries_[i].broker = i % brokers_.size();
    }
    for (size_t i = 0; i < scenario.speeds.size(); ++i) {
        minions_.push_back({ MinionId("minion" + std::to_string(i)), scenario.speeds[i], i });
        announce(minions_.back());
    }
    for (size_t i = 0; i < jobs.size(); ++i)
        scheduleAt(simulationStart_ + absl::Seconds(jobs[i].arrival), [this, i] { submit(i); });
    scheduleAt(simulationStart_, [this] { sample(); });
}

RunResult DataCentreRun::run()
{
    while (undecided_ > 0 && !queue_.empty()) {
        // top() is const only to protect the order of the heap, and moving the action out doesn't change that order.
        Event event = std::move(const_cast<Event&>(queue_.top()));
        queue_.pop();
        now_ = event.at;
        event.action();
    }
    return std::move(result_);
}

void DataCentreRun::scheduleAt(absl::Time time, std::function<void()> action)
{
    queue_.push({ time, ++eventCount_, std::move(action) });
}

void DataCentreRun::scheduleAfter(absl::Duration delay, std::function<void()> action)
{
    scheduleAt(now_ + delay, std::move(action));
}

absl::Duration DataCentreRun::delayToBroker(size_t entry) const
{
    // One of the entries hosts the broker.
    return sharing_ != Sharing::OneBroker || entry == 0 ? absl::ZeroDuration() : messageDelay;
}

void DataCentreRun::submit(size_t job)
{
    const BenchJob& asked = jobs_[job];
    Submission submission;
    submission.id = { ServiceId("bench"), BackerId("backer" + std::to_string(asked.backer)), CallerKey(std::to_string(job)) };
    submission.tasks.assign(asked.sizes.size(), { TaskKindId(asked.kind), {} });
    submission.deadline = now_ + absl::Seconds(asked.deadline);
    submission.isIdempotent = true;
    waitingTasks_ += asked.sizes.size();
    entries_[asked.entry].dispatcher->accept(std::move(submission), now_);
    applyEffects(asked.entry);
}

void DataCentreRun::applyEffects(size_t index)
{
    FakeEntry& entry = entries_[index];
    DispatchEffects effects = entry.dispatcher->takeEffects();
    for (const auto& [minion, starts] : effects.starts)
        send(index, minion, starts);
    for (const DecidedJob& job : effects.decided)
        recordOutcome(job);
    for (const SlotReport& report : effects.reports)
        result_.wasted += report.ending == SlotEnding::Returned || report.ending == SlotEnding::RefusedBusy;
    if (!effects.demands.empty() || !effects.reports.empty()) {
        BrokerUpdate update;
        update.entry = entry.run;
        update.stream = 1;
        update.sequence = ++entry.sequence;
        update.received = entry.received;
        update.demands = std::move(effects.demands);
        update.reports = std::move(effects.reports);
        scheduleAfter(delayToBroker(index), [this, broker = entry.broker, update = std::move(update)] {
            brokers_[broker].broker->entryUpdated(update, now_);
            sendBrokerDecisions(broker);
        });
    }
    if (entry.dispatcher->nextWakeup() < entry.wakeup) {
        entry.wakeup = entry.dispatcher->nextWakeup();
        scheduleAt(std::max(now_, entry.wakeup), [this, index] {
            entries_[index].wakeup = absl::InfiniteFuture();
            entries_[index].dispatcher->tick(now_);
            applyEffects(index);
        });
    }
}

void DataCentreRun::send(size_t entry, const MinionId& minion, const std::vector<TaskStart>& starts)
{
    auto found = std::find_if(minions_.begin(), minions_.end(), [&](const FakeMinion& known) { return known.id == minion; });
    scheduleAfter(messageDelay, [this, entry, &target = *found, starts] { receiveStarts(entry, target, starts); });
}

void DataCentreRun::receiveStarts(size_t entry, FakeMinion& minion, const std::vector<TaskStart>& starts)
{
    std::vector<StartAnswer> answers;
    for (const TaskStart& start : starts) {
        const bool hasSlot = minion.busy < scenario_.slots;
        answers.push_back({ start.attempt, hasSlot ? StartReply::Started : StartReply::RefusedBusy });
        if (!hasSlot)
            continue;
        ++minion.busy;
        ++result_.starts;
        --waitingTasks_;
        const size_t job = jobIndex(start.task.submission);
        const bool isFailing = scenario_.isFastestFailing && minion.index + 1 == minions_.size();
        const double runTime = isFailing ? failureSeconds : jobs_[job].sizes[start.task.index.value()] / minion.speed;
        const TaskStatus status = isFailing ? TaskStatus::Failed : TaskStatus::Succeeded;
        result_.failedTasks += isFailing;
        const double begin = absl::ToDoubleSeconds(now_ - simulationStart_);
        if (result_.jobs[job].wait < 0)
            result_.jobs[job].wait = begin - jobs_[job].arrival;
        result_.executions.push_back({ static_cast<uint32_t>(job), begin, begin + runTime, minion.speed });
        scheduleAfter(absl::Seconds(runTime), [this, entry, &minion, start, runTime, status] { finish(entry, minion, start, absl::Seconds(runTime), status); });
    }
    scheduleAfter(messageDelay, [this, entry, id = minion.id, answers = std::move(answers)] {
        entries_[entry].dispatcher->startsAnswered(id, answers, now_);
        applyEffects(entry);
    });
}

void DataCentreRun::finish(size_t entry, FakeMinion& minion, const TaskStart& start, absl::Duration runTime, TaskStatus status)
{
    --minion.busy;
    scheduleAfter(messageDelay, [this, entry, id = minion.id, start, runTime, status] {
        entries_[entry].dispatcher->resultsPosted(id, { { start.attempt, start.task, status, {}, runTime } }, now_);
        applyEffects(entry);
    });
}

void DataCentreRun::recordOutcome(const DecidedJob& job)
{
    const size_t index = jobIndex(job.submission);
    JobEnd& end = result_.jobs[index];
    end.response = absl::ToDoubleSeconds(job.responseTime);
    const Error* error = errorOf(job.outcome);
    end.isComplete = !error;
    end.isRejected = error && error->verdict == Verdict::NotRun;
    if (end.isRejected)
        waitingTasks_ -= jobs_[index].sizes.size();
    --undecided_;
}

void DataCentreRun::sendBrokerDecisions(size_t index)
{
    BrokerHost& host = brokers_[index];
    for (EntryDecisions& decisions : host.broker->decide(now_)) {
        for (size_t i = 0; i < entries_.size(); ++i) {
            if (entries_[i].run != decisions.entry)
                continue;
            scheduleAfter(delayToBroker(i), [this, i, decisions] {
                entries_[i].received = decisions.sequence;
                for (const Grant& grant : decisions.grants)
                    entries_[i].dispatcher->applyGrant(grant, now_);
                for (const Rejection& rejection : decisions.rejections)
                    entries_[i].dispatcher->applyRejection(rejection, now_);
                applyEffects(i);
            });
        }
    }
    const absl::Time wakeup = std::max(now_, host.broker->nextWakeup());
    if (wakeup >= host.wakeup || wakeup == absl::InfiniteFuture())
        return;
    host.wakeup = wakeup;
    scheduleAt(wakeup, [this, index] {
        brokers_[index].wakeup = absl::InfiniteFuture();
        sendBrokerDecisions(index);
    });
}

void DataCentreRun::announce(FakeMinion& minion)
{
    MinionAnnouncement announcement;
    announcement.minion = minion.id;
    announcement.incarnation = Incarnation(1);
    announcement.sequence = ++minion.announcements;
    announcement.service = ServiceId("bench");
    announcement.slots = SlotCount(scenario_.slots);
    announcement.busySlots = SlotCount(minion.busy);
    for (size_t i = 0; i < brokers_.size(); ++i) {
        MinionAnnouncement part = announcement;
        if (sharing_ == Sharing::OwnSlots) {
            const auto parts = static_cast<uint32_t>(brokers_.size());
            part.slots = SlotCount(scenario_.slots / parts + ((minion.index + i) % parts < scenario_.slots % parts ? 1 : 0));
            part.busySlots = SlotCount(0);
        }
        brokers_[i].broker->minionAnnounced(part, now_);
        sendBrokerDecisions(i);
    }
    scheduleAfter(announcementPeriod, [this, &minion] { announce(minion); });
}

void DataCentreRun::sample()
{
    result_.waiting.push_back(static_cast<uint32_t>(waitingTasks_));
    scheduleAfter(samplePeriod, [this] { sample(); });
}

size_t DataCentreRun::jobIndex(const SubmissionKey& key)
{
    return std::stoul(key.key.value());
}

} // namespace trefoilwing::bench
