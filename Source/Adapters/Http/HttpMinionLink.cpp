#include "Adapters/Http/HttpMinionLink.h"

#include "Adapters/Http/MinionCodec.h"

#include <absl/hash/hash.h>
#include <absl/time/clock.h>

#include <utility>

namespace trefoilwing {

namespace {

    constexpr int okStatus = 200;
    constexpr int wrongIncarnationStatus = 409;
    /// Channels that have been idle for longer are removed, since minions start and stop all the time.
    constexpr absl::Duration maxChannelIdleTime = absl::Minutes(1);

    /// @return one answer for each item, in the order of the items; items without an answer get the fallback.
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

    /// @return whether no start was accepted: the post wasn't sent, or another incarnation of the minion received it.
    bool isNotAccepted(const PostOutcome& outcome)
    {
        const auto* answer = std::get_if<HttpAnswer>(&outcome);
        return answer ? answer->status == wrongIncarnationStatus : std::holds_alternative<NotConnected>(outcome);
    }

    /// @return the answers of the minion; none if its response can't be read, so that all attempts get the fallback.
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
    const Channel channel = findChannel(service, address);
    if (channel->add(std::move(work)))
        schedule(channel);
}

HttpMinionLink::Channel HttpMinionLink::findChannel(const ServiceId& service, const MinionAddress& address)
{
    ChannelKey key(service, address);
    Shard& shard = shards_[absl::HashOf(key) % shardCount];
    const MutexLock lock(shard.mutex);
    const auto found = shard.channels.find(key);
    if (found != shard.channels.end())
        return found->second;
    const absl::Time oldest = absl::Now() - maxChannelIdleTime;
    absl::erase_if(shard.channels, [oldest](const auto& item) { return item.second->isIdleSince(oldest); });
    auto channel = std::make_shared<MinionChannel>(service, address, options_.timeouts);
    shard.channels.emplace(std::move(key), channel);
    return channel;
}

void HttpMinionLink::schedule(const Channel& channel)
{
    if (!queue_.push(channel))
        reportNotSent(*channel);
}

void HttpMinionLink::runSender()
{
    bool isSuspect = false;
    while (const Channel channel = queue_.pop(isSuspect, isSuspect)) {
        const MinionWork work = channel->take();
        if (!work.starts.empty())
            postStarts(*channel, work.starts);
        if (!work.cancels.empty())
            postCancels(*channel, work.cancels);
        if (channel->release())
            schedule(channel);
    }
}

void HttpMinionLink::postStarts(MinionChannel& channel, const std::vector<TaskStart>& starts)
{
    const PostOutcome outcome = channel.post("/v1/tasks", MinionCodec::encodeStarts({ options_.entry, channel.address().minion, channel.address().incarnation, options_.results, starts }));
    const StartReply fallback = isNotAccepted(outcome) ? StartReply::NotSent : StartReply::Unknown;
    events_.startsAnswered(channel.service(), channel.address().minion,
        matchAnswers<StartAnswer>(starts, readAnswers(outcome, MinionCodec::decodeStartAnswers), fallback));
}

void HttpMinionLink::postCancels(MinionChannel& channel, const std::vector<CancelOrder>& cancels)
{
    const PostOutcome outcome = channel.post("/v1/cancel", MinionCodec::encodeCancels({ options_.entry, channel.address().minion, channel.address().incarnation, cancels }));
    events_.cancelsAnswered(channel.service(), channel.address().minion,
        matchAnswers<CancelAnswer>(cancels, readAnswers(outcome, MinionCodec::decodeCancelAnswers), CancelReply::Unknown));
}

void HttpMinionLink::reportNotSent(MinionChannel& channel)
{
    do {
        const MinionWork work = channel.take();
        if (!work.starts.empty())
            events_.startsAnswered(channel.service(), channel.address().minion, matchAnswers<StartAnswer>(work.starts, {}, StartReply::NotSent));
        if (!work.cancels.empty())
            events_.cancelsAnswered(channel.service(), channel.address().minion, matchAnswers<CancelAnswer>(work.cancels, {}, CancelReply::Unknown));
    } while (channel.release());
}

void HttpMinionLink::stop()
{
    for (const Channel& channel : queue_.close())
        reportNotSent(*channel);
    for (std::thread& sender : senders_) {
        if (sender.joinable())
            sender.join();
    }
    // This closes the connections, so that the minions' servers don't have to wait for them.
    for (Shard& shard : shards_) {
        const MutexLock lock(shard.mutex);
        shard.channels.clear();
    }
}

} // namespace trefoilwing
