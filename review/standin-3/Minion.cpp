#include "Minion.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace review {

using nlohmann::json;

namespace {

    constexpr Millis tickInterval { 2 };
    constexpr Millis heartbeat { 1500 };
    constexpr Millis callTimeout { 1000 };
    constexpr int64_t maxLeaseMs = 1000;

    int64_t unixMs()
    {
        return std::chrono::duration_cast<Millis>(std::chrono::system_clock::now().time_since_epoch()).count();
    }

} // namespace

size_t RunBook::begin(const std::string& task, const std::string& minion, uint64_t run)
{
    const std::lock_guard lock(mutex_);
    runs_.push_back({ task, minion, run, Clock::now(), Clock::time_point::max() });
    return runs_.size() - 1;
}

void RunBook::end(size_t number)
{
    const std::lock_guard lock(mutex_);
    runs_.at(number).to = Clock::now();
}

std::vector<RunTimes> RunBook::runsOf(const std::string& task) const
{
    const std::lock_guard lock(mutex_);
    std::vector<RunTimes> found;
    for (RunTimes run : runs_) {
        if (run.task != task)
            continue;
        run.to = std::min(run.to, Clock::now());
        found.push_back(run);
    }
    return found;
}

Millis RunBook::overlapOf(const std::string& task) const
{
    const std::vector<RunTimes> runs = runsOf(task);
    Millis most { 0 };
    for (size_t a = 0; a < runs.size(); ++a) {
        for (size_t b = a + 1; b < runs.size(); ++b)
            most = std::max(most, std::chrono::duration_cast<Millis>(std::min(runs[a].to, runs[b].to) - std::max(runs[a].from, runs[b].from)));
    }
    return most;
}

bool RunBook::isRunning(const std::string& task) const
{
    const std::lock_guard lock(mutex_);
    return std::any_of(runs_.begin(), runs_.end(), [&](const RunTimes& run) { return run.task == task && run.to == Clock::time_point::max(); });
}

Minion::Minion(MinionOptions options, RunBook& book, Record& record)
    : options_(std::move(options))
    , book_(book)
    , record_(record)
    , born_(unixMs())
    , server_(std::make_unique<HttpServer>(options_.address, [this](const Request& request) { return handle(request); }))
{
    ticker_ = std::thread([this] {
        while (!isEnding_) {
            tick();
            std::this_thread::sleep_for(tickInterval);
        }
    });
    reporter_ = std::thread([this] {
        while (!isEnding_) {
            if (Clock::now() >= reportDue_) {
                reportDue_ = Clock::now() + heartbeat;
                sendReport();
            }
            std::this_thread::sleep_for(tickInterval);
        }
    });
}

Minion::~Minion()
{
    end();
    ticker_.join();
    reporter_.join();
    for (std::thread& thread : late_)
        thread.join();
}

void Minion::end()
{
    isEnding_ = true;
    {
        const std::lock_guard lock(mutex_);
        while (!runs_.empty()) {
            const std::string task = runs_.begin()->first;
            endRun(task, "ended with the minion");
        }
        changed_.notify_all();
    }
    server_->stop();
}

int64_t Minion::clockMs() const
{
    return std::chrono::duration_cast<Millis>(Clock::now() - startedAt_).count() + 1;
}

json Minion::answer() const
{
    return { { "clock_ms", clockMs() }, { "born", born_ } };
}

Response Minion::refusal(const std::string& reason) const
{
    json body = answer();
    body["reason"] = reason;
    return { 409, body.dump() };
}

Response Minion::handle(const Request& request)
{
    const json body = json::parse(request.body, nullptr, false);
    const auto expected = request.headers.find("x-trefoilwing-expected-instance");
    if (isEnding_ || !body.is_object())
        return {};
    if (expected != request.headers.end() && expected->second != options_.id)
        return { 421, "{}" };
    if (request.target == "/run-stop" && lateStopMs_ > 0) {
        const Millis delay(lateStopMs_);
        record_.write(options_.id + " leaves unanswered and carries out later: stop " + body.value("task", "") + " run " + std::to_string(body.value("run_id", uint64_t { 0 })));
        const std::lock_guard lock(mutex_);
        late_.emplace_back([this, body, delay] {
            const Clock::time_point due = Clock::now() + delay;
            while (!isEnding_ && Clock::now() < due)
                std::this_thread::sleep_for(tickInterval);
            const std::lock_guard late(mutex_);
            if (!isEnding_ && body.value("fencing_token", uint64_t { 0 }) >= epoch_)
                stop(body);
        });
        return {};
    }
    std::unique_lock lock(mutex_);
    const uint64_t token = body.value("fencing_token", uint64_t { 0 });
    if (token < epoch_)
        return refusal("fence");
    epoch_ = token;
    if (request.target == "/run-start")
        return start(body);
    if (request.target == "/run-stop")
        return stop(body);
    return request.target == "/hold" ? hold(body, lock) : Response { 404, "{}" };
}

void Minion::takeLease(const json& body)
{
    const int64_t expires = body.value("expires_ms", int64_t { 0 });
    if (expires <= 0)
        return;
    const int64_t left = std::min(expires - clockMs(), maxLeaseMs);
    leaseEnd_ = std::max(leaseEnd_, Clock::now() + Millis(left));
}

Response Minion::start(const json& body)
{
    const std::string task = body.value("task", "");
    const uint64_t number = body.value("run_id", uint64_t { 0 });
    const std::string spec = body.value("spec", "");
    const auto known = runs_.find(task);
    if (known != runs_.end() && known->second.number == number) {
        takeLease(body);
        return { 200, answer().dump() };
    }
    if (body.value("expires_ms", int64_t { 0 }) <= clockMs())
        return refusal("late");
    takeLease(body);
    if (known != runs_.end() || highest_[task] >= number)
        return refusal("old");
    const auto space = spec.rfind(' ');
    const int64_t cpu = std::strtoll(spec.substr(space + 1).c_str(), nullptr, 10);
    int64_t used = 0;
    for (const auto& [name, run] : runs_)
        used += run.cpu;
    if (used + cpu > options_.cpu)
        return refusal("room");
    highest_[task] = number;
    Run run { number, book_.begin(task, options_.id, number), Clock::now(), Millis(0), "", cpu };
    const std::string what = spec.substr(0, space);
    if (what.rfind("work ", 0) == 0)
        run.work = Millis(std::strtoll(what.substr(5).c_str(), nullptr, 10));
    else
        run.until = what.substr(what.find(' ') + 1);
    runs_[task] = run;
    record_.write(options_.id + " starts " + task + " run " + std::to_string(number) + " epoch " + std::to_string(epoch_) + " (" + spec + ")");
    return { 200, answer().dump() };
}

Response Minion::stop(const json& body)
{
    const std::string task = body.value("task", "");
    const uint64_t number = body.value("run_id", uint64_t { 0 });
    highest_[task] = std::max(highest_[task], number);
    const auto known = runs_.find(task);
    if (known != runs_.end() && known->second.number <= number)
        endRun(task, "stopped");
    return { 200, answer().dump() };
}

Response Minion::hold(const json& body, std::unique_lock<std::mutex>& lock)
{
    takeLease(body);
    const uint64_t seen = body.value("last_seen", uint64_t { 0 });
    std::erase_if(ended_, [&](const json& row) { return row[0].get<uint64_t>() <= seen; });
    const Clock::time_point until = Clock::now() + Millis(body.value("wait_ms", int64_t { 0 }));
    changed_.wait_until(lock, until, [this] { return isEnding_ || !ended_.empty(); });
    if (isEnding_)
        return {};
    json result = answer();
    result["running"] = json::array();
    for (const auto& [task, run] : runs_) {
        // Work without a known length is reported as advancing, since the minion can't tell how much is left.
        const auto passed = std::chrono::duration_cast<Millis>(Clock::now() - run.from).count();
        const int64_t percent = run.work.count() > 0 ? passed * 100 / run.work.count() : passed / 100;
        result["running"].push_back({ task, run.number, "", std::min<int64_t>(percent, 99), run.cpu });
    }
    result["finished"] = ended_;
    return { 200, result.dump() };
}

void Minion::endRun(const std::string& task, const std::string& how)
{
    const Run run = runs_.at(task);
    runs_.erase(task);
    book_.end(run.bookNumber);
    record_.write(options_.id + " ends " + task + " run " + std::to_string(run.number) + ": " + how);
    ended_.push_back({ ++endCount_, task, run.number, how, "" });
    changed_.notify_all();
}

void Minion::tick()
{
    const std::lock_guard lock(mutex_);
    std::vector<std::pair<std::string, std::string>> ending;
    for (const auto& [task, run] : runs_) {
        if (run.work.count() > 0 && Clock::now() >= run.from + run.work)
            ending.emplace_back(task, "done");
        else if (Clock::now() >= leaseEnd_)
            ending.emplace_back(task, "lapsed");
    }
    for (const auto& [task, how] : ending)
        endRun(task, how);
}

void Minion::release(const std::string& name)
{
    const std::lock_guard lock(mutex_);
    std::vector<std::string> ending;
    for (const auto& [task, run] : runs_) {
        if (run.until == name)
            ending.push_back(task);
    }
    for (const std::string& task : ending)
        endRun(task, "done");
}

bool Minion::hasRun(const std::string& task) const
{
    const std::lock_guard lock(mutex_);
    return runs_.contains(task);
}

Response Minion::sendReport()
{
    json body;
    {
        const std::lock_guard lock(mutex_);
        body = answer();
        body["sequence"] = ++sequence_;
        body["state"] = state_;
    }
    body["service"] = options_.service;
    body["address"] = options_.address.ip + ":" + std::to_string(options_.address.port);
    body["zone"] = options_.zone;
    body["version"] = "v1";
    body["slots"] = 8;
    body["cold_remaining_ms"] = 0;
    body["capacity"] = { { "cpu", options_.cpu }, { "mem_mb", 65536 }, { "gpu", 0 } };
    body["labels"] = { "a", "r1-1" };
    if (body["state"] == "draining")
        body["remaining_ms"] = 2000;
    for (size_t tried = 0; tried < options_.keepers.size(); ++tried) {
        Response response = call(options_.keepers[keeper_ % options_.keepers.size()], { "PUT", "/instances/" + options_.id, {}, body.dump() }, callTimeout);
        if (response.status >= 200 && response.status < 300) {
            ++acknowledged_;
            return response;
        }
        ++keeper_;
    }
    return {};
}

bool Minion::beginToLeave()
{
    {
        const std::lock_guard lock(mutex_);
        state_ = "draining";
    }
    const Response response = sendReport();
    record_.write(options_.id + " reports draining, answered " + std::to_string(response.status));
    return response.status == 200;
}

void Minion::leave(bool isFirstAnswerLost)
{
    for (size_t tried = 0; tried < 2 * options_.keepers.size(); ++tried) {
        record_.write(options_.id + " sends DELETE");
        const Response response = call(options_.keepers[keeper_ % options_.keepers.size()], { "DELETE", "/instances/" + options_.id, {}, "" }, callTimeout, isFirstAnswerLost && tried == 0);
        record_.write(options_.id + " got for its DELETE: " + (response.status == 0 ? "no answer within a second" : std::to_string(response.status)));
        if (response.status >= 200 && response.status < 300)
            break;
        ++keeper_;
    }
    record_.write(options_.id + " ends");
    end();
}

} // namespace review
