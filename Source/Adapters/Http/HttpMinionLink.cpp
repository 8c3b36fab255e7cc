#include "Adapters/Http/HttpMinionLink.h"

#include "Adapters/Http/MinionCodec.h"

#include <absl/hash/hash.h>
#include <absl/time/clock.h>

#include <utility>

namespace trefoilwing {

namespace {

    constexpr int okStatus = 200;
    constexpr int wrongRunStatus = 409;
    /// Minions come and go; lanes of those long gone are dropped.
    constexpr absl::Duration maxLaneIdleTime = absl::Minutes(1);

    /// @return one answer for each item, in the items' order; those without an answer keep the fallback.
    template <typename Answer, typename Item, typename Reply>
    std::vector<Answer> matchAnswers(const std::vector<Item>& items, const std::vector<Answer>& given, Reply fallback)
    {
        absl::flat_hash_map<AttemptId, Reply> replies;
        for (const Answer& answer : given)
            replies.emplace(answer.attempt, answer.reply);
        std::vector<Answer> answers;
        answers.reserve(items.size());
        for (const Item& item : items) {
            const auto found = replies.find(item.attempt);
            answers.push_back({ item.attempt, found == replies.end() ? fallback : found->second });
        }
        return answers;
    }

    /// @return whether no start of the post was taken: it was never sent, or met another run of the minion.
    bool isNotTaken(const PostOutcome& outcome)
    {
        const auto* answer = std::get_if<HttpAnswer>(&outcome);
        return answer ? answer->status == wrongRunStatus : std::holds_alternative<NotConnected>(outcome);
    }

    /// An answer that can't be read tells nothing, so its attempts keep the fallback.
    template <typename Answer>
    std::vector<Answer> readAnswers(const PostOutcome& outcome, Result<std::vector<Answer>> (*decode)(const std::string&))
    {
        const auto* answer = std::get_if<HttpAnswer>(&outcome);
        if (!answer || answer->status != okStatus)
            return {};
        Result<std::vector<Answer>> decoded = decode(answer->body);
        auto* answers = std::get_if<std::vector<Answer>>(&decoded);
        return answers ? std::move(*answers) : std::vector<Answer> {};
    }

} // namespace

HttpMinionLink::HttpMinionLink(HttpMinionLinkOptions options, MinionEvents& events)
    : options_(std::move(options))
    , events_(events)
    , queue_(options_.senders)
{
    for (uint32_t i = 0; i < options_.senders; ++i)
        senders_.emplace_back([this] { runSender(); });
}

HttpMinionLink::~HttpMinionLink()
{
    stop();
}

void HttpMinionLink::sendStarts(const ServiceId& service, const MinionAddress& address, std::vector<TaskStart> starts)
{
    send(service, address, { std::move(starts), {} });
}

void HttpMinionLink::sendCancels(const ServiceId& service, const MinionAddress& address, std::vector<CancelOrder> cancels)
{
    send(service, address, { {}, std::move(cancels) });
}

void HttpMinionLink::send(const ServiceId& service, const MinionAddress& address, MinionWork work)
{
    if (work.isEmpty())
        return;
    const Lane lane = findLane(service, address);
    if (lane->add(std::move(work)))
        schedule(lane);
}

HttpMinionLink::Lane HttpMinionLink::findLane(const ServiceId& service, const MinionAddress& address)
{
    LaneKey key(service, address);
    Shard& shard = shards_[absl::HashOf(key) % shardCount];
    const MutexLock lock(shard.mutex);
    const auto found = shard.lanes.find(key);
    if (found != shard.lanes.end())
        return found->second;
    const absl::Time oldest = absl::Now() - maxLaneIdleTime;
    absl::erase_if(shard.lanes, [oldest](const auto& item) { return item.second->isIdleSince(oldest); });
    auto lane = std::make_shared<MinionLane>(service, address, options_.timeouts);
    shard.lanes.emplace(std::move(key), lane);
    return lane;
}

void HttpMinionLink::schedule(const Lane& lane)
{
    if (!queue_.push(lane))
        answerUnsent(*lane);
}

void HttpMinionLink::runSender()
{
    bool isSuspect = false;
    while (const Lane lane = queue_.pop(isSuspect, isSuspect)) {
        const MinionWork work = lane->take();
        if (!work.starts.empty())
            postStarts(*lane, work.starts);
        if (!work.cancels.empty())
            postCancels(*lane, work.cancels);
        if (lane->release())
            schedule(lane);
    }
}

void HttpMinionLink::postStarts(MinionLane& lane, const std::vector<TaskStart>& starts)
{
    const PostOutcome outcome = lane.post("/v1/tasks", MinionCodec::encodeStarts({ options_.entry, lane.address().minion, lane.address().incarnation, options_.results, starts }));
    const StartReply fallback = isNotTaken(outcome) ? StartReply::NotSent : StartReply::Unknown;
    events_.startsAnswered(lane.service(), lane.address().minion,
        matchAnswers<StartAnswer>(starts, readAnswers(outcome, MinionCodec::decodeStartAnswers), fallback));
}

void HttpMinionLink::postCancels(MinionLane& lane, const std::vector<CancelOrder>& cancels)
{
    const PostOutcome outcome = lane.post("/v1/cancel", MinionCodec::encodeCancels({ options_.entry, lane.address().minion, lane.address().incarnation, cancels }));
    events_.cancelsAnswered(lane.service(), lane.address().minion,
        matchAnswers<CancelAnswer>(cancels, readAnswers(outcome, MinionCodec::decodeCancelAnswers), CancelReply::Unknown));
}

void HttpMinionLink::answerUnsent(MinionLane& lane)
{
    do {
        const MinionWork work = lane.take();
        if (!work.starts.empty())
            events_.startsAnswered(lane.service(), lane.address().minion, matchAnswers<StartAnswer>(work.starts, {}, StartReply::NotSent));
        if (!work.cancels.empty())
            events_.cancelsAnswered(lane.service(), lane.address().minion, matchAnswers<CancelAnswer>(work.cancels, {}, CancelReply::Unknown));
    } while (lane.release());
}

void HttpMinionLink::stop()
{
    for (const Lane& lane : queue_.close())
        answerUnsent(*lane);
    for (std::thread& sender : senders_) {
        if (sender.joinable())
            sender.join();
    }
    // Closes the connections, so that the minions' servers needn't wait for them.
    for (Shard& shard : shards_) {
        const MutexLock lock(shard.mutex);
        shard.lanes.clear();
    }
}

} // namespace trefoilwing
