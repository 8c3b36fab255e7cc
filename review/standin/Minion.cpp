#include "Minion.h"

#include <algorithm>
#include <sstream>

namespace review {

namespace {

    using nlohmann::json;

    constexpr Milliseconds tickInterval { 2 };
    constexpr Milliseconds heartbeatInterval { 1500 };
    constexpr Milliseconds heartbeatTimeout { 1000 };
    /// A stop may take 50 ms at most.
    constexpr Milliseconds stopTime { 30 };
    constexpr Milliseconds maxLease { 1000 };
    constexpr int64_t capacityMilliCores = 16000;
    constexpr int64_t capacityMb = 65536;
    constexpr uint64_t maxWaitMs = 2000;

} // namespace

Minion::Minion(MinionSettings settings, TaskWatch& watch)
    : settings_(std::move(settings))
    , watch_(watch)
    , born_(std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count())
    , leaseEnd_(startedAt_)
{
    server_ = std::make_unique<Server>(settings_.endpoint, [this](const Request& request) { return handle(request); });
    ticker_ = std::thread([this] { tick(); });
    heartbeats_ = std::thread([this] { sendHeartbeats(); });
}

Minion::~Minion()
{
    end();
}

void Minion::drain()
{
    const std::lock_guard lock(mutex_);
    isDraining_ = true;
    isAcknowledged_ = false;
    changed_.notify_all();
}

bool Minion::isAcknowledged() const
{
    const std::lock_guard lock(mutex_);
    return isAcknowledged_;
}

size_t Minion::startCount() const
{
    const std::lock_guard lock(mutex_);
    return startCount_;
}

void Minion::end()
{
    {
        const std::lock_guard lock(mutex_);
        if (isEnding_)
            return;
        isEnding_ = true;
        while (!runs_.empty())
            endRun(runs_.begin()->first, "its minion ends");
        changed_.notify_all();
    }
    ticker_.join();
    heartbeats_.join();
    server_->close();
}

int64_t Minion::clockMs() const
{
    return std::chrono::duration_cast<Milliseconds>(Clock::now() - startedAt_).count() + 1;
}

Response Minion::answer(int status, json body) const
{
    body["clock_ms"] = clockMs();
    body["born"] = born_;
    return { status, body.dump() };
}

Response Minion::handle(const Request& request)
{
    const json body = json::parse(request.body, nullptr, false);
    std::unique_lock lock(mutex_);
    if (!body.is_object() || isEnding_)
        return answer(400, json::object());
    const auto token = body.value("fencing_token", uint64_t { 0 });
    if (token < epoch_)
        return answer(409, { { "reason", "fence" } });
    epoch_ = token;
    expireRuns();
    if (request.path == "/run-start")
        return start(body);
    if (request.path == "/run-stop")
        return stop(body);
    if (request.path == "/hold")
        return hold(body, lock);
    return answer(404, json::object());
}

void Minion::extendLease(const json& body)
{
    const auto expires = body.value("expires_ms", int64_t { 0 });
    const Clock::time_point end = std::min(startedAt_ + Milliseconds(expires), Clock::now() + maxLease);
    leaseEnd_ = std::max(leaseEnd_, end);
}

Response Minion::start(const json& body)
{
    const std::string task = body["task"];
    const uint64_t number = body["run_id"];
    int64_t milliseconds = 0;
    int64_t cpu = 0;
    std::istringstream(body["spec"].get<std::string>()) >> milliseconds >> cpu;
    if (clockMs() >= body["expires_ms"].get<int64_t>())
        return answer(409, { { "reason", "late" } });
    extendLease(body);
    const auto known = runs_.find(task);
    if (known != runs_.end() && known->second.number == number)
        return answer(200, json::object());
    if (known != runs_.end() || highest_[task] >= number)
        return answer(409, { { "reason", "old" } });
    int64_t used = 0;
    for (const auto& [other, run] : runs_)
        used += run.cpu;
    if (used + cpu > capacityMilliCores)
        return answer(409, { { "reason", "room" } });
    highest_[task] = number;
    runs_[task] = { number, cpu, Clock::now(), Clock::now() + Milliseconds(milliseconds), false };
    ++startCount_;
    watch_.began(task, settings_.id, number);
    return answer(200, json::object());
}

Response Minion::stop(const json& body)
{
    const std::string task = body["task"];
    const uint64_t number = body["run_id"];
    highest_[task] = std::max(highest_[task], number);
    const auto run = runs_.find(task);
    if (run != runs_.end() && run->second.number <= number && !run->second.isStopping) {
        run->second.isStopping = true;
        run->second.endsAt = std::min(run->second.endsAt, Clock::now() + stopTime);
    }
    return answer(200, json::object());
}

Response Minion::hold(const json& body, std::unique_lock<std::mutex>& lock)
{
    extendLease(body);
    const auto seen = body.value("last_seen", uint64_t { 0 });
    std::erase_if(ended_, [seen](const json& row) { return row[0].get<uint64_t>() <= seen; });
    const Milliseconds wait(std::min(body.value("wait_ms", uint64_t { 0 }), maxWaitMs));
    changed_.wait_for(lock, wait, [this] { return !ended_.empty() || isEnding_; });
    json running = json::array();
    for (const auto& [task, run] : runs_) {
        const double part = std::chrono::duration<double>(Clock::now() - run.begunAt) / std::chrono::duration<double>(run.endsAt - run.begunAt);
        running.push_back({ task, run.number, "", static_cast<int>(100 * std::clamp(part, 0.0, 1.0)), run.cpu });
    }
    return answer(200, { { "running", running }, { "finished", ended_ } });
}

void Minion::endRun(const std::string& task, const std::string& how)
{
    const Run run = runs_[task];
    runs_.erase(task);
    ended_.push_back({ ++endCount_, task, run.number, how, "" });
    watch_.ended(task, settings_.id, run.number, how);
    changed_.notify_all();
}

void Minion::expireRuns()
{
    const Clock::time_point now = Clock::now();
    std::vector<std::pair<std::string, std::string>> ending;
    for (const auto& [task, run] : runs_) {
        if (now >= run.endsAt)
            ending.emplace_back(task, run.isStopping ? "stopped" : "done");
        else if (now >= leaseEnd_)
            ending.emplace_back(task, "lapsed");
    }
    for (const auto& [task, how] : ending)
        endRun(task, how);
}

void Minion::tick()
{
    while (true) {
        std::this_thread::sleep_for(tickInterval);
        const std::lock_guard lock(mutex_);
        if (isEnding_)
            return;
        expireRuns();
    }
}

void Minion::sendHeartbeats()
{
    size_t keeper = 0;
    std::unique_lock lock(mutex_);
    while (!isEnding_) {
        const bool isDraining = isDraining_;
        const json body { { "service", settings_.service }, { "address", settings_.endpoint.address + ":" + std::to_string(settings_.endpoint.port) },
            { "zone", settings_.zone }, { "version", "v1" }, { "slots", 8 }, { "state", isDraining ? "draining" : "ready" }, { "cold_remaining_ms", 0 },
            { "capacity", { { "cpu", capacityMilliCores }, { "mem_mb", capacityMb }, { "gpu", 0 } } }, { "labels", { "a", "r1-1" } },
            { "clock_ms", clockMs() }, { "sequence", ++sequence_ }, { "born", born_ } };
        lock.unlock();
        const auto response = call(settings_.keepers[keeper % settings_.keepers.size()], { "PUT", "/instances/" + settings_.id, {}, body.dump() }, heartbeatTimeout);
        lock.lock();
        if (!response || response->status / 100 != 2) {
            ++keeper;
            continue;
        }
        isAcknowledged_ = isDraining == isDraining_;
        changed_.wait_for(lock, heartbeatInterval, [&] { return isEnding_ || isDraining_ != isDraining; });
    }
}

} // namespace review
