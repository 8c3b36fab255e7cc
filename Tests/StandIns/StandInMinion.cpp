#include "StandIns/StandInMinion.h"

#include "Adapters/Http/ErrorResponse.h"
#include "Adapters/Http/MinionCodec.h"

#include <absl/time/clock.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdlib>

namespace trefoilwing {

namespace {

    constexpr absl::Duration announcementInterval = absl::Seconds(1);
    constexpr uint32_t connectionsPerMinion = 16;
    constexpr int wrongIncarnationStatus = 409;
    constexpr int crashStatus = 1;

    /// The decoded payload of a task.
    struct TaskScript {
        absl::Duration runTime;
        std::string output;
        bool fails = false;
    };

    TaskScript readScript(const std::string& payload)
    {
        const nlohmann::json script = nlohmann::json::parse(payload, nullptr, false);
        if (!script.is_object())
            return {};
        const auto runTime = script.find("run_ms");
        const auto output = script.find("output");
        const auto fails = script.find("fail");
        return {
            absl::Milliseconds(runTime != script.end() && runTime->is_number() ? runTime->get<double>() : 0.0),
            output == script.end() ? "" : output->is_string() ? output->get<std::string>()
                                                              : output->dump(),
            fails != script.end() && fails->is_boolean() && fails->get<bool>(),
        };
    }

    HttpResponse okResponse(std::string body)
    {
        HttpResponse response;
        response.body = std::move(body);
        return response;
    }

    HttpResponse wrongIncarnationResponse()
    {
        HttpResponse response;
        response.status = wrongIncarnationStatus;
        response.body = "{}";
        return response;
    }

} // namespace

StandInMinion::StandInMinion(StandInMinionOptions options, TimerQueue& timers, ExecutionLog& log)
    : options_(std::move(options))
    , incarnation_(static_cast<uint64_t>(absl::ToUnixMicros(absl::Now())))
    , timers_(timers)
    , log_(log)
    , server_({ connectionsPerMinion, Bytes(64U << 20U) })
    , behaviour_(MinionBehaviour::make(options_.behaviour, options_.after))
{
    server_.route(HttpMethod::Post, "/v1/tasks", [this](const HttpRequest& request) { return handleStarts(request); });
    server_.route(HttpMethod::Post, "/v1/cancel", [this](const HttpRequest& request) { return handleCancels(request); });
    server_.route(HttpMethod::Post, "/v1/stand-in/behaviour", [this](const HttpRequest& request) { return handleBehaviour(request); });
}

StandInMinion::~StandInMinion()
{
    {
        const MutexLock lock(mutex_);
        isStopping_ = true;
        changed_.SignalAll();
    }
    stopping_.Notify();
    if (announcer_.joinable())
        announcer_.join();
    server_.stop();
}

Result<Done> StandInMinion::start()
{
    Result<Done> started = server_.start(options_.listen);
    if (valueOf(started))
        announcer_ = std::thread([this] { announceRepeatedly(); });
    return started;
}

StandInMinion::Behaviour StandInMinion::behaviour()
{
    const MutexLock lock(mutex_);
    return behaviour_;
}

uint64_t StandInMinion::startCount()
{
    const MutexLock lock(mutex_);
    return startCount_;
}

void StandInMinion::blockIfUnresponsive()
{
    if (!behaviour()->isResponsive(startCount()))
        stopping_.WaitForNotification();
}

HttpResponse StandInMinion::handleStarts(const HttpRequest& request)
{
    blockIfUnresponsive();
    const Result<StartBatch> decoded = MinionCodec::decodeStarts(request.body);
    if (const Error* error = errorOf(decoded))
        return errorResponse(*error);
    const StartBatch& batch = *valueOf(decoded);
    if (batch.minion != options_.minion || batch.incarnation != incarnation_)
        return wrongIncarnationResponse();
    std::vector<StartAnswer> answers;
    for (const TaskStart& start : batch.starts) {
        answers.push_back({ start.attempt, admit(batch, start) });
        if (answers.back().reply == StartReply::Started)
            run(batch, start);
    }
    blockIfUnresponsive();
    stopping_.WaitForNotificationWithTimeout(behaviour()->answerDelay());
    return okResponse(MinionCodec::encodeStartAnswers(answers));
}

StartReply StandInMinion::admit(const StartBatch& batch, const TaskStart& start)
{
    const MutexLock lock(mutex_);
    if (isLeaving_)
        return StartReply::RefusedLeaving;
    if (behaviour_->refuses() || busySlots_ >= options_.slots.value())
        return StartReply::RefusedBusy;
    if (!history_.admit(batch.entry, start))
        return StartReply::RefusedSeen;
    ++busySlots_;
    ++startCount_;
    return StartReply::Started;
}

void StandInMinion::run(const StartBatch& batch, const TaskStart& start)
{
    const uint64_t number = startCount();
    const Behaviour current = behaviour();
    const TaskScript script = readScript(start.payload);
    TaskResult result { start.attempt, start.task, current->status(), script.output, current->actualRunTime(script.runTime / options_.speed, number) };
    if (script.fails && result.status == TaskStatus::Succeeded)
        result.status = TaskStatus::Failed;
    if (result.status != TaskStatus::NotRun)
        log_.started(start.task, batch.entry, start.attempt, options_.minion);
    if (current->crashes(number))
        std::_Exit(crashStatus);
    const PosterKey key { batch.entry, batch.results };
    timers_.callAt(absl::Now() + result.runTime, [this, key, start, result] { finish(key, start, result); });
}

void StandInMinion::finish(const PosterKey& key, const TaskStart& start, TaskResult result)
{
    if (result.status != TaskStatus::NotRun)
        log_.ended(start.task, key.first, start.attempt, options_.minion, result.status);
    const MutexLock lock(mutex_);
    history_.end(key.first, start);
    --busySlots_;
    poster(key).add(std::move(result));
    changed_.SignalAll();
}

ResultPoster& StandInMinion::poster(const PosterKey& key)
{
    std::unique_ptr<ResultPoster>& poster = posters_[key];
    if (!poster) {
        poster = std::make_unique<ResultPoster>(options_.service, options_.minion, key.first, key.second, [this](std::vector<TaskResult> results) {
            const Behaviour current = behaviour();
            return current->isResponsive(startCount()) ? current->splitIntoBatches(std::move(results)) : std::vector<std::vector<TaskResult>> {};
        });
    }
    return *poster;
}

HttpResponse StandInMinion::handleCancels(const HttpRequest& request)
{
    blockIfUnresponsive();
    const Result<CancelBatch> decoded = MinionCodec::decodeCancels(request.body);
    if (const Error* error = errorOf(decoded))
        return errorResponse(*error);
    const CancelBatch& batch = *valueOf(decoded);
    if (batch.minion != options_.minion || batch.incarnation != incarnation_)
        return wrongIncarnationResponse();
    std::vector<CancelAnswer> answers;
    const MutexLock lock(mutex_);
    for (const CancelOrder& order : batch.cancels)
        answers.push_back({ order.attempt, history_.cancel(batch.entry, order) });
    return okResponse(MinionCodec::encodeCancelAnswers(answers));
}

HttpResponse StandInMinion::handleBehaviour(const HttpRequest& request)
{
    const nlohmann::json body = nlohmann::json::parse(request.body, nullptr, false);
    if (!body.is_object() || !body.contains("name") || !body["name"].is_string())
        return errorResponse({ ErrorCode::Malformed, "The field \"name\" must be a string.", Verdict::NotRun });
    Behaviour wanted = MinionBehaviour::make(body["name"].get<std::string>(), body.contains("after") ? body["after"].get<uint64_t>() : 0);
    if (!wanted)
        return errorResponse({ ErrorCode::Malformed, "The name must be one of: " + MinionBehaviour::names(), Verdict::NotRun });
    const MutexLock lock(mutex_);
    behaviour_ = std::move(wanted);
    return okResponse("{}");
}

void StandInMinion::leave()
{
    const MutexLock lock(mutex_);
    isLeaving_ = true;
    isAnnouncementDue_ = true;
    changed_.SignalAll();
}

void StandInMinion::awaitIdle()
{
    std::vector<ResultPoster*> posters;
    {
        const MutexLock lock(mutex_);
        while (busySlots_ > 0)
            changed_.Wait(&mutex_);
        for (const auto& [key, poster] : posters_)
            posters.push_back(poster.get());
    }
    for (ResultPoster* poster : posters)
        poster->awaitEmpty();
}

MinionAnnouncement StandInMinion::announcement()
{
    const MutexLock lock(mutex_);
    isAnnouncementDue_ = false;
    return {
        options_.minion,
        incarnation_,
        ++sequence_,
        { options_.listen.address, server_.port() },
        options_.service,
        options_.dataCentre,
        options_.worker,
        options_.rack,
        options_.slots,
        SlotCount(busySlots_),
        options_.resources,
        isLeaving_ ? MinionState::Leaving : MinionState::Serving,
    };
}

void StandInMinion::announceRepeatedly()
{
    std::vector<std::unique_ptr<HttpConnection>> connections;
    for (const Endpoint& entry : options_.entries)
        connections.push_back(std::make_unique<HttpConnection>(entry, HttpTimeouts {}));
    while (!stopping_.HasBeenNotified()) {
        if (behaviour()->sendsAnnouncements(startCount()))
            announce(connections);
        const absl::Time next = absl::Now() + announcementInterval;
        const MutexLock lock(mutex_);
        while (!isAnnouncementDue_ && !isStopping_ && !changed_.WaitWithDeadline(&mutex_, next)) { }
    }
}

void StandInMinion::announce(std::vector<std::unique_ptr<HttpConnection>>& connections)
{
    // Like a load balancer: round robin over the entries, with failover to the next one if an entry is unreachable.
    for (size_t tries = 0; tries < connections.size(); ++tries) {
        std::rotate(connections.begin(), connections.begin() + 1, connections.end());
        const PostOutcome outcome = connections.front()->post("/v1/minions/announce", MinionCodec::encodeAnnouncement(announcement()));
        if (std::holds_alternative<HttpAnswer>(outcome))
            return;
    }
}

} // namespace trefoilwing
