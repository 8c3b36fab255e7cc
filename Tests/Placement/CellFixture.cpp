#include "Placement/CellFixture.h"

namespace trefoilwing {

namespace {

    const DaemonId entry("entry-1");
    const DaemonRun owner { entry, Incarnation(1) };
    const CellId cellId { ServiceId("service"), DataCentreId("centre") };

} // namespace

CellFixture::CellFixture(uint64_t epoch, absl::Time now)
    : now_(now)
    , cell_({ cellId, owner, OwnerEpoch(epoch) }, policy_, order_, random_, now_)
{
    cell_.setMinionsKnown(true);
}

void CellFixture::collect()
{
    CellOutbox outbox = cell_.takeOutbox();
    for (const auto& order : outbox.orders) {
        if (const auto* start = std::get_if<StartOrder>(&order))
            (started_.insert(start->run).second ? starts_ : repeatedStarts_).push_back(*start);
        else if (const auto* stop = std::get_if<StopOrder>(&order))
            stops_.push_back(*stop);
        else
            renewals_.push_back(std::get<RenewOrder>(order));
    }
    for (const EntryMessage& message : outbox.messages)
        results_.push_back(message.result);
}

void CellFixture::reportMinion(const std::string& id, int64_t milliCores, uint64_t startTime, MinionState state, bool hasLeft)
{
    static uint64_t sequence = 0;
    cell_.minionReported({ instance(id, startTime), ++sequence, cellId.pool(), { id, 80 }, { milliCores, 65536, 0 }, {}, state, hasLeft }, now_);
    collect();
}

void CellFixture::addMinion(const std::string& id, int64_t milliCores)
{
    reportMinion(id, milliCores);
    answerRenewal(id);
    takeRenewals();
}

JobOffer CellFixture::makeOffer(const std::string& job, uint32_t tasks) const
{
    JobOffer offer;
    offer.cell = cellId;
    offer.job = JobKey(job);
    offer.offerNumber = 1;
    offer.taskCount = tasks;
    offer.need = { 7000, 64, 0 };
    offer.estimate = absl::Milliseconds(100);
    offer.spec = "spec";
    offer.untilLate = absl::Milliseconds(300);
    offer.untilTimeout = absl::Seconds(2);
    offer.maxAttempts = 2;
    offer.stamp = OwnerStamp { owner.incarnation, lastLoadReadAt_.value_or(now_) };
    return offer;
}

void CellFixture::offer(const std::string& job, uint32_t tasks)
{
    offer(makeOffer(job, tasks));
}

void CellFixture::offer(const JobOffer& offer)
{
    offersHeld_.insert(offer.offerNumber);
    cell_.offered(offer, entry, now_);
    collect();
}

void CellFixture::setEvacuated(bool isEvacuated, bool mayFinishJobs)
{
    cell_.setEvacuated(isEvacuated, mayFinishJobs, now_);
    collect();
}

void CellFixture::heartbeat()
{
    const OwnerStamp stamp { owner.incarnation, lastLoadReadAt_.value_or(now_) };
    cell_.entryHeartbeatReceived({ entry, Incarnation(0) }, JobClaims { stamp, { offersHeld_.begin(), offersHeld_.end() } }, now_);
}

void CellFixture::advance(absl::Duration duration)
{
    // The entry keeps sending heartbeats.
    const absl::Time until = now_ + duration;
    while (now_ < until) {
        now_ = std::min(until, now_ + absl::Milliseconds(20));
        heartbeat();
        cell_.tick(now_);
        collect();
    }
}

void CellFixture::pause(absl::Duration duration)
{
    now_ += duration;
    heartbeat();
    cell_.tick(now_);
    collect();
}

std::vector<StartOrder> CellFixture::takeStarts()
{
    return std::exchange(starts_, {});
}

std::vector<StartOrder> CellFixture::takeRepeatedStarts()
{
    return std::exchange(repeatedStarts_, {});
}

std::vector<StopOrder> CellFixture::takeStops()
{
    return std::exchange(stops_, {});
}

std::vector<RenewOrder> CellFixture::takeRenewals()
{
    return std::exchange(renewals_, {});
}

std::vector<JobResult> CellFixture::takeResults()
{
    return std::exchange(results_, {});
}

void CellFixture::answerStart(const StartOrder& order, OrderFailure failure)
{
    cell_.answered(StartResult { order.header.instance, order.header.epoch, order.run, failure, clockMs() }, now_);
    collect();
}

void CellFixture::answerStop(const StopOrder& order, OrderFailure failure)
{
    cell_.answered(StopResult { order.header.instance, order.header.epoch, order.run, failure, clockMs() }, now_);
    collect();
}

void CellFixture::answerRenewal(const std::string& minion, std::vector<RunProgress> running, std::vector<EndedRun> ended)
{
    cell_.answered(RenewResult { instance(minion), cell_.epoch(), OrderFailure::None, clockMs(), std::move(running), std::move(ended) }, now_);
    collect();
}

void CellFixture::failRenewal(const std::string& minion)
{
    cell_.answered(RenewResult { instance(minion), cell_.epoch(), OrderFailure::NoAnswer, 0, {}, {} }, now_);
    collect();
}

void CellFixture::endRun(const StartOrder& order, RunEnd end)
{
    const std::string& minion = order.header.instance.minion.value();
    answerRenewal(minion, {}, { { ++lastEndNumbers_[minion], order.run, end } });
}

} // namespace trefoilwing
