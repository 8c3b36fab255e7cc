#include "Handover/ModelMinion.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace trefoilwing {

namespace {

    constexpr int64_t maxLeaseMs = 1000;
    constexpr int64_t milliCores = 16000;

} // namespace

ModelMinion::ModelMinion(std::string address, const CellId& cell, ModelNetwork& network, double rate, Observer observer)
    : address_(std::move(address))
    , id_(address_)
    , cell_(cell)
    , network_(network)
    , rate_(rate)
    , observer_(std::move(observer))
{
    restart();
}

MinionReport ModelMinion::report()
{
    return { { MinionId(id_), life_.born }, ++life_.sequence, cell_.pool(), { address_, 80 }, { milliCores, 65536, 0 }, {}, life_.isLeaving ? MinionState::Leaving : MinionState::Serving };
}

void ModelMinion::crash()
{
    isUp_ = false;
    for (const auto& [task, number] : std::exchange(life_.running, {}))
        observer_.ended(*this, task);
}

void ModelMinion::restart()
{
    life_ = {};
    life_.born = MinionStartTime(++lives_);
    life_.startedAt = network_.now();
    isUp_ = true;
}

void ModelMinion::replace()
{
    restart();
    id_ = absl::StrCat(address_, ".", lives_);
}

int64_t ModelMinion::clockMs() const
{
    return 1 + absl::ToInt64Milliseconds((network_.now() - life_.startedAt) * rate_);
}

void ModelMinion::extendLease(int64_t leaseEndMs)
{
    life_.leaseEndMs = std::max(life_.leaseEndMs, std::min(leaseEndMs, clockMs() + maxLeaseMs));
    const absl::Duration left = absl::Milliseconds(life_.leaseEndMs - clockMs()) / rate_;
    network_.after(left + absl::Milliseconds(1), [this, born = life_.born] { expireLease(born); });
}

void ModelMinion::expireLease(MinionStartTime born)
{
    if (!isUp_ || born != life_.born || clockMs() < life_.leaseEndMs)
        return;
    while (!life_.running.empty())
        endRun(life_.running.begin()->first, RunEnd::LeaseExpired);
}

bool ModelMinion::admits(const OrderHeader& header)
{
    if (header.epoch < life_.fence)
        return false;
    life_.fence = header.epoch;
    return true;
}

void ModelMinion::endRun(const ModelTask& task, RunEnd end)
{
    // The node keeps the task, to which the caller may refer.
    const auto node = life_.running.extract(task);
    life_.ended.push_back({ ++life_.endCount, { node.key().first, node.key().second, node.mapped() }, end });
    observer_.ended(*this, node.key());
}

StartResult ModelMinion::receive(const StartOrder& order)
{
    StartResult result { order.header.instance, order.header.epoch, order.run, OrderFailure::None, clockMs() };
    if (order.header.instance.minion.value() != id_) {
        result.failure = OrderFailure::OtherInstance;
        return result;
    }
    const ModelTask task { order.run.job, order.run.task };
    RunNumber& highest = life_.highest[task];
    const auto running = life_.running.find(task);
    if (!admits(order.header)) {
        result.failure = OrderFailure::Fenced;
    } else if (order.leaseEndMs <= clockMs()) {
        result.failure = OrderFailure::LeaseEnded;
    } else if (running != life_.running.end() && running->second == order.run.number) {
        extendLease(order.leaseEndMs);
    } else if (order.run.number <= highest) {
        extendLease(order.leaseEndMs);
        result.failure = OrderFailure::OldRun;
    } else if (running != life_.running.end() || life_.running.size() >= 2) {
        extendLease(order.leaseEndMs);
        result.failure = OrderFailure::NoRoom;
    } else {
        highest = order.run.number;
        extendLease(order.leaseEndMs);
        life_.running[task] = order.run.number;
        observer_.started(*this, task);
        network_.after(absl::Milliseconds(200 + static_cast<int64_t>(network_.below(1500))), [this, task, number = order.run.number, born = life_.born] {
            const auto run = life_.running.find(task);
            if (isUp_ && born == life_.born && run != life_.running.end() && run->second == number)
                endRun(task, RunEnd::Done);
        });
    }
    return result;
}

StopResult ModelMinion::receive(const StopOrder& order)
{
    StopResult result { order.header.instance, order.header.epoch, order.run, OrderFailure::None, clockMs() };
    const ModelTask task { order.run.job, order.run.task };
    if (order.header.instance.minion.value() != id_) {
        result.failure = OrderFailure::OtherInstance;
        return result;
    }
    if (!admits(order.header)) {
        result.failure = OrderFailure::Fenced;
        return result;
    }
    life_.highest[task] = std::max(life_.highest[task], order.run.number);
    const auto running = life_.running.find(task);
    if (running != life_.running.end() && running->second <= order.run.number)
        endRun(task, RunEnd::Stopped);
    return result;
}

RenewResult ModelMinion::receive(const RenewOrder& order)
{
    RenewResult result { order.header.instance, order.header.epoch, OrderFailure::None, clockMs(), {}, {} };
    if (order.header.instance.minion.value() != id_) {
        result.failure = OrderFailure::OtherInstance;
        return result;
    }
    if (!admits(order.header)) {
        result.failure = OrderFailure::Fenced;
        return result;
    }
    if (order.leaseEndMs > 0)
        extendLease(order.leaseEndMs);
    std::erase_if(life_.ended, [&](const EndedRun& ended) { return ended.number <= order.lastEndNumber; });
    result.ended = life_.ended;
    for (const auto& [task, number] : life_.running)
        result.running.push_back({ { task.first, task.second, number }, static_cast<uint32_t>(clockMs() / 50 % 100) });
    // The answer names the instance, so that the owner sees a restart.
    result.answeredBy = life_.born;
    if (life_.born != order.header.instance.startTime)
        result.failure = OrderFailure::OtherInstance;
    return result;
}

} // namespace trefoilwing
