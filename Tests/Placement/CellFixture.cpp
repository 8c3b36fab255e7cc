#include "Placement/CellFixture.h"

namespace trefoilwing {

namespace {

    const DaemonId entry("entry-1");
    const CellId cellId { ServiceId("service"), DataCentreId("centre") };

} // namespace

CellFixture::CellFixture(uint64_t epoch)
    : cell_({ cellId, { entry, Incarnation(1) }, OwnerEpoch(epoch) }, policy_, order_, random_, now_)
{
    cell_.minionsKnown(true);
}

void CellFixture::collect()
{
    CellOutbox outbox = cell_.takeOutbox();
    for (const auto& order : outbox.orders) {
        if (const auto* start = std::get_if<StartOrder>(&order))
            starts_.push_back(*start);
        else if (const auto* stop = std::get_if<StopOrder>(&order))
            stops_.push_back(*stop);
        else
            holds_.push_back(std::get<RenewOrder>(order));
    }
    for (const EntryMessage& message : outbox.messages)
        ended_.push_back(message.ended);
}

void CellFixture::reportMinion(const std::string& id, int64_t milliCores, uint64_t startTime, MinionState state)
{
    static uint64_t sequence = 0;
    cell_.minionReported({ instance(id, startTime), ++sequence, cellId.pool(), { id, 80 }, { milliCores, 65536, 0 }, {}, state }, now_);
    collect();
}

void CellFixture::addMinion(const std::string& id, int64_t milliCores)
{
    reportMinion(id, milliCores);
    answerHold(id);
    takeHolds();
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
    return offer;
}

void CellFixture::offer(const std::string& job, uint32_t tasks)
{
    offer(makeOffer(job, tasks));
}

void CellFixture::offer(const JobOffer& offer)
{
    cell_.offered(offer, entry, now_);
    collect();
}

void CellFixture::pass(absl::Duration duration)
{
    // The entry lives on meanwhile.
    const absl::Time until = now_ + duration;
    while (now_ < until) {
        now_ = std::min(until, now_ + absl::Milliseconds(20));
        cell_.entryHeard({ entry, Incarnation(0) }, now_);
        cell_.tick(now_);
        collect();
    }
}

std::vector<StartOrder> CellFixture::takeStarts()
{
    return std::exchange(starts_, {});
}

std::vector<StopOrder> CellFixture::takeStops()
{
    return std::exchange(stops_, {});
}

std::vector<RenewOrder> CellFixture::takeHolds()
{
    return std::exchange(holds_, {});
}

std::vector<JobResult> CellFixture::takeEnded()
{
    return std::exchange(ended_, {});
}

void CellFixture::answerStart(const StartOrder& order, OrderFailure failure)
{
    cell_.answered(StartResult { order.header.instance, order.run, failure, clockMs() }, now_);
    collect();
}

void CellFixture::answerStop(const StopOrder& order, OrderFailure failure)
{
    cell_.answered(StopResult { order.header.instance, order.run, failure, clockMs() }, now_);
    collect();
}

void CellFixture::answerHold(const std::string& minion, std::vector<RunProgress> running, std::vector<EndedRun> ended)
{
    cell_.answered(RenewResult { instance(minion), OrderFailure::None, clockMs(), std::move(running), std::move(ended) }, now_);
    collect();
}

void CellFixture::failHold(const std::string& minion)
{
    cell_.answered(RenewResult { instance(minion), OrderFailure::NoAnswer, 0, {}, {} }, now_);
    collect();
}

void CellFixture::endRun(const StartOrder& order, RunEnd end)
{
    const std::string& minion = order.header.instance.minion.value();
    answerHold(minion, {}, { { ++ends_[minion], order.run, end } });
}

} // namespace trefoilwing
