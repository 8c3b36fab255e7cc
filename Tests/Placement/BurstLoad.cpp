#include "Placement/BurstLoad.h"

#include <algorithm>
#include <array>

namespace trefoilwing {

namespace {

    struct RouteLoad {
        double jobsPerSecond;
        uint32_t tasks;
        absl::Duration runTime;
    };

    /// The mix of the deployments that the work page describes.
    const std::array<RouteLoad, 3> routes { {
        { 206, 8, absl::Milliseconds(60) },
        { 600, 2, absl::Milliseconds(200) },
        { 37.5, 4, absl::Milliseconds(900) },
    } };

    constexpr std::array<double, 3> speeds { 0.6, 1, 1.6 };
    constexpr int64_t taskMilliCores = 16000;
    constexpr absl::Duration stepDuration = absl::Milliseconds(1);
    /// Maximum time that minions guarantee for a stop.
    const absl::Duration stopTime = absl::Milliseconds(50);
    const absl::Duration callerTimeout = absl::Milliseconds(1500);
    const DaemonId entry("entry-1");
    const CellId cellId { ServiceId("service"), DataCentreId("centre") };

    DispatchPolicy policyWith(AdmissionRule rule)
    {
        DispatchPolicy policy;
        policy.admission = rule;
        return policy;
    }

    MinionInstance instanceOf(const std::string& id)
    {
        return { MinionId(id), MinionStartTime(1) };
    }

} // namespace

BurstLoad::BurstLoad(AdmissionRule rule, int minions, uint64_t seed)
    : policy_(policyWith(rule))
    , random_(seed)
    , cell_({ cellId, { entry, Incarnation(1) }, OwnerEpoch(5) }, policy_, order_, cellRandom_, now_)
    , due_(routes.size())
{
    cell_.setMinionsKnown(true);
    for (int i = 0; i < minions; ++i) {
        const std::string id = "m" + std::to_string(i);
        Minion& minion = minions_[id];
        minion.milliCores = minion.free = i % 2 == 0 ? 32000 : 48000;
        minion.speed = speeds[static_cast<size_t>(i) % speeds.size()];
        capacity_ += static_cast<double>(minion.milliCores) / 1000 * minion.speed;
        cell_.minionReported({ instanceOf(id), 1, cellId.pool(), { id, 80 }, { minion.milliCores, 65536, 0 }, {}, MinionState::Serving }, now_);
    }
    collect();
    for (int i = 0; i < 300; ++i)
        step();
}

void BurstLoad::offerFor(absl::Duration duration, double load)
{
    double workPerSecond = 0;
    for (const RouteLoad& route : routes)
        workPerSecond += route.jobsPerSecond * route.tasks * absl::ToDoubleSeconds(route.runTime) * taskMilliCores / 1000;
    const double scale = load * capacity_ / workPerSecond;
    for (absl::Time until = now_ + duration; now_ < until;) {
        step();
        for (size_t i = 0; i < routes.size(); ++i) {
            // Jobs of a route arrive at random.
            due_[i] += routes[i].jobsPerSecond * scale * absl::ToDoubleSeconds(stepDuration) * 2 * random_.unit();
            for (; due_[i] >= 1; due_[i] -= 1)
                offer(i);
        }
    }
}

BurstOutcome BurstLoad::finish()
{
    for (int i = 0; i < 3000; ++i)
        step();
    outcome_.totals = cell_.totals();
    return outcome_;
}

bool BurstLoad::hasRoomFor(int64_t milliCores, uint32_t tasks, absl::Duration runTime) const
{
    int64_t room = 0;
    for (const auto& [id, minion] : minions_) {
        if (runTime / minion.speed < callerTimeout)
            room += std::min(minion.free, minion.freeBefore) / milliCores;
    }
    return room >= tasks;
}

void BurstLoad::offer(size_t index)
{
    const RouteLoad& route = routes.at(index);
    JobOffer offer;
    offer.cell = cellId;
    offer.job = JobKey("job-" + std::to_string(++jobs_));
    offer.offerNumber = jobs_;
    offer.taskCount = route.tasks;
    offer.need = { static_cast<int64_t>(taskMilliCores * (0.8 + 0.4 * random_.unit())), 64, 0 };
    offer.estimate = route.runTime;
    offer.untilLate = route.runTime * 1.6 + absl::Milliseconds(60);
    offer.untilTimeout = callerTimeout;
    offer.priority = static_cast<uint32_t>(index);
    offer.maxAttempts = 2;
    open_[offer.job.value()] = { now_, now_ + offer.untilLate, offer.priority, hasRoomFor(offer.need.milliCores, offer.taskCount, route.runTime), offer.need.milliCores };
    ++outcome_.offered;
    cell_.offered(offer, entry, now_);
    collect();
}

void BurstLoad::ended(const JobResult& result)
{
    const auto found = open_.find(result.job.value());
    if (found == open_.end())
        return;
    const OpenJob& job = found->second;
    if (result.end == JobEnd::Completed) {
        ++(now_ <= job.lateAt ? outcome_.inTime : outcome_.late);
        if (now_ <= job.lateAt)
            ++outcome_.inTimeByPriority[job.priority];
    } else if (result.end == JobEnd::Rejected) {
        ++(now_ - job.at > absl::Milliseconds(40) ? outcome_.rejectedAfterWaiting : outcome_.rejectedAtOnce);
        outcome_.rejectedWithRoom += now_ == job.at && job.hadRoom ? 1 : 0;
    } else {
        ++outcome_.givenUp;
    }
    open_.erase(found);
}

void BurstLoad::collect()
{
    CellOutbox outbox = cell_.takeOutbox();
    for (const CellEvent& event : outbox.events) {
        if (const size_t at = event.detail.find("reason="); at != std::string::npos)
            ++outcome_.reasons[event.detail.substr(at, event.detail.find(' ', at) - at)];
    }
    for (const EntryMessage& message : outbox.messages)
        ended(message.result);
    for (const auto& order : outbox.orders) {
        if (const auto* start = std::get_if<StartOrder>(&order)) {
            Minion& minion = minions_.at(start->header.instance.minion.value());
            const auto job = open_.find(start->run.job.value());
            if (minion.runs.contains(start->run) || job == open_.end())
                continue;
            const absl::Duration nominal = routes.at(job->second.priority).runTime;
            minion.runs[start->run] = { now_, now_ + nominal / minion.speed * (0.9 + 0.2 * runRandom_.unit()), job->second.milliCores };
            minion.free -= job->second.milliCores;
            cell_.answered(StartResult { start->header.instance, start->header.epoch, start->run, OrderFailure::None, clockMs() }, now_);
        } else if (const auto* stop = std::get_if<StopOrder>(&order)) {
            Minion& minion = minions_.at(stop->header.instance.minion.value());
            // A stopped run takes its cores for some time still, as on the platform.
            const auto run = minion.runs.find(stop->run);
            if (run != minion.runs.end() && run->second.endsAt > now_ + stopTime) {
                run->second.endsAt = now_ + stopTime;
                run->second.end = RunEnd::Stopped;
            }
            cell_.answered(StopResult { stop->header.instance, stop->header.epoch, stop->run, OrderFailure::None, clockMs() }, now_);
        } else {
            const auto& renew = std::get<RenewOrder>(order);
            receive(minions_.at(renew.header.instance.minion.value()), renew);
        }
    }
    if (!outbox.orders.empty() || !outbox.messages.empty())
        collect();
}

void BurstLoad::removeRun(Minion& minion, const RunId& id)
{
    const FakeRun run = minion.runs.at(id);
    minion.free += run.milliCores;
    minion.runs.erase(id);
    minion.ended.push_back({ ++minion.lastEnd, id, run.end });
}

void BurstLoad::receive(Minion& minion, const RenewOrder& order)
{
    std::erase_if(minion.ended, [&](const EndedRun& each) { return each.number <= order.lastEndNumber; });
    minion.hasRenewal = true;
    minion.answerBy = now_ + order.wait;
}

void BurstLoad::advanceMinion(const std::string& id, Minion& minion)
{
    std::vector<RunId> done;
    for (const auto& [runId, run] : minion.runs) {
        if (run.endsAt <= now_)
            done.push_back(runId);
    }
    for (const RunId& run : done)
        removeRun(minion, run);
    if (!minion.hasRenewal || (minion.ended.empty() && now_ < minion.answerBy))
        return;
    minion.hasRenewal = false;
    std::vector<RunProgress> running;
    for (const auto& [runId, run] : minion.runs)
        running.push_back({ runId, static_cast<uint32_t>(100 * absl::FDivDuration(now_ - run.startedAt, run.endsAt - run.startedAt)) });
    cell_.answered(RenewResult { instanceOf(id), OwnerEpoch(5), OrderFailure::None, clockMs(), std::move(running), minion.ended }, now_);
    collect();
}

void BurstLoad::step()
{
    now_ += stepDuration;
    if (clockMs() % 20 == 0) {
        cell_.entryHeartbeatReceived({ entry, Incarnation(0) }, JobClaims {}, now_);
        cell_.tick(now_);
        collect();
    }
    for (auto& [id, minion] : minions_) {
        minion.freeBefore = minion.free;
        advanceMinion(id, minion);
    }
}

} // namespace trefoilwing
