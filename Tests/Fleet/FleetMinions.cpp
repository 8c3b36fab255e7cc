#include "Fleet/FleetMinions.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>

namespace trefoilwing {

namespace {

    using nlohmann::json;

    constexpr std::chrono::milliseconds tickInterval { 5 };
    constexpr absl::Duration reportInterval = absl::Milliseconds(300);
    constexpr absl::Duration reportTimeout = absl::Seconds(1);
    constexpr int64_t minionMilliCores = 16000;
    constexpr int64_t taskMilliCores = 4000;
    constexpr absl::Duration maxLease = absl::Seconds(1);

} // namespace

struct FleetMinions::Minion {
    std::string id;
    Endpoint endpoint;
    std::string dataCentre;
    std::unique_ptr<HttpListener> listener;
    absl::Time born = absl::Now();
    uint64_t sequence = 0;
    uint64_t epoch = 0;
    absl::Time leaseEnd = absl::InfinitePast();
    std::map<std::string, StandInRun> runs;
    std::map<std::string, uint64_t> highest;
    std::vector<json> ended;
    uint64_t endCount = 0;
    HttpExchangePtr waiting;
    absl::Time waitingUntil;
    size_t keeper = 0;
    absl::Time reportDue = absl::InfinitePast();

    int64_t clockMs() const { return absl::ToInt64Milliseconds(absl::Now() - born) + 1; }
    json answer() const { return { { "clock_ms", clockMs() }, { "born", absl::ToUnixMillis(born) } }; }
};

FleetMinions::FleetMinions(std::vector<Endpoint> keepers, absl::Duration runTime)
    : keepers_(std::move(keepers))
    , runTime_(runTime)
    , client_(loop_, {})
    , timer_(loop_.context())
{
}

FleetMinions::~FleetMinions()
{
    loop_.stop();
}

void FleetMinions::add(const std::string& id, const Endpoint& endpoint, const std::string& dataCentre)
{
    auto minion = std::make_unique<Minion>();
    minion->id = id;
    minion->endpoint = endpoint;
    minion->dataCentre = dataCentre;
    Minion* raw = minion.get();
    minion->listener = std::make_unique<HttpListener>(
        loop_, [this, raw](const HttpExchangePtr& exchange) { handle(*raw, exchange); }, HttpListenerOptions {});
    const Result<Done> listening = minion->listener->listen(endpoint);
    if (!errorOf(listening))
        minions_.push_back(std::move(minion));
}

void FleetMinions::start()
{
    tick();
    loop_.start();
}

std::vector<Endpoint> FleetMinions::endpoints() const
{
    std::vector<Endpoint> endpoints;
    for (const auto& minion : minions_)
        endpoints.push_back(minion->endpoint);
    return endpoints;
}

MinionTotals FleetMinions::totals() const
{
    MutexLock lock(mutex_);
    return totals_;
}

size_t FleetMinions::startsIn(const std::string& dataCentre) const
{
    MutexLock lock(mutex_);
    const auto starts = startsByDataCentre_.find(dataCentre);
    return starts == startsByDataCentre_.end() ? 0 : starts->second;
}

bool FleetMinions::hasStarted(const std::string& job) const
{
    MutexLock lock(mutex_);
    return startedJobs_.contains(job);
}

void FleetMinions::handle(Minion& minion, const HttpExchangePtr& exchange)
{
    const json body = json::parse(exchange->request().body, nullptr, false);
    const std::string& target = exchange->request().target;
    const uint64_t token = body.value("fencing_token", uint64_t { 0 });
    json refusal = minion.answer();
    if (token < minion.epoch) {
        refusal["reason"] = "fence";
        exchange->respond({ 409, {}, refusal.dump() });
        return;
    }
    minion.epoch = token;
    if (const int64_t lease = body.value("expires_ms", int64_t { 0 }); lease > 0)
        minion.leaseEnd = std::max(minion.leaseEnd, std::min(minion.born + absl::Milliseconds(lease), absl::Now() + maxLease));
    if (target == "/run-start")
        startRun(minion, body, exchange);
    else if (target == "/run-stop")
        stopRun(minion, body, exchange);
    else
        renew(minion, body, exchange);
}

void FleetMinions::startRun(Minion& minion, const json& body, const HttpExchangePtr& exchange)
{
    const std::string task = body["task"];
    const uint64_t number = body["run_id"];
    json answer = minion.answer();
    const char* reason = nullptr;
    if (minion.clockMs() >= body["expires_ms"].get<int64_t>())
        reason = "late";
    else if (minion.highest[task] >= number)
        reason = "old";
    else if (static_cast<int64_t>(minion.runs.size() + 1) * taskMilliCores > minionMilliCores)
        reason = "room";
    if (reason) {
        answer["reason"] = reason;
        exchange->respond({ 409, {}, answer.dump() });
        return;
    }
    minion.highest[task] = number;
    minion.runs[task] = { number, absl::Now() + runTime_, taskMilliCores };
    {
        MutexLock lock(mutex_);
        ++totals_.starts;
        ++startsByDataCentre_[minion.dataCentre];
        // The name of a task begins with the id of its job.
        startedJobs_.insert(task.substr(0, task.find('.')));
        if (++running_[task] > 1)
            ++totals_.duplicateStarts;
    }
    exchange->respond({ 200, {}, answer.dump() });
}

void FleetMinions::stopRun(Minion& minion, const json& body, const HttpExchangePtr& exchange)
{
    const std::string task = body["task"];
    const uint64_t number = body["run_id"];
    minion.highest[task] = std::max(minion.highest[task], number);
    if (const auto run = minion.runs.find(task); run != minion.runs.end() && run->second.number <= number)
        endRun(minion, task, "stopped");
    exchange->respond({ 200, {}, minion.answer().dump() });
}

void FleetMinions::renew(Minion& minion, const json& body, const HttpExchangePtr& exchange)
{
    const uint64_t seen = body.value("last_seen", uint64_t { 0 });
    std::erase_if(minion.ended, [&](const json& row) { return row[0].get<uint64_t>() <= seen; });
    if (minion.waiting)
        answerRenewal(minion);
    minion.waiting = exchange;
    minion.waitingUntil = absl::Now() + absl::Milliseconds(body.value("wait_ms", int64_t { 0 }));
    if (!minion.ended.empty() || minion.waitingUntil <= absl::Now())
        answerRenewal(minion);
}

void FleetMinions::answerRenewal(Minion& minion)
{
    json answer = minion.answer();
    answer["running"] = json::array();
    for (const auto& [task, run] : minion.runs) {
        const double left = absl::FDivDuration(run.endsAt - absl::Now(), runTime_);
        answer["running"].push_back({ task, run.number, "", static_cast<int>(100 * std::clamp(1 - left, 0.0, 1.0)), 0 });
    }
    answer["finished"] = minion.ended;
    const HttpExchangePtr exchange = std::exchange(minion.waiting, nullptr);
    exchange->respond({ 200, {}, answer.dump() });
}

void FleetMinions::endRun(Minion& minion, const std::string& task, const char* how)
{
    const StandInRun run = minion.runs[task];
    minion.runs.erase(task);
    minion.ended.push_back({ ++minion.endCount, task, run.number, how, "" });
    {
        MutexLock lock(mutex_);
        --running_[task];
        size_t& total = how == std::string("done") ? totals_.done : how == std::string("lapsed") ? totals_.lapsed
                                                                                                 : totals_.stopped;
        ++total;
    }
    if (minion.waiting)
        answerRenewal(minion);
}

void FleetMinions::tick()
{
    const absl::Time now = absl::Now();
    for (const auto& minion : minions_) {
        std::vector<std::pair<std::string, const char*>> ending;
        for (const auto& [task, run] : minion->runs) {
            if (now >= run.endsAt)
                ending.emplace_back(task, "done");
            else if (now >= minion->leaseEnd)
                ending.emplace_back(task, "lapsed");
        }
        for (const auto& [task, how] : ending)
            endRun(*minion, task, how);
        if (minion->waiting && now >= minion->waitingUntil)
            answerRenewal(*minion);
        if (now >= minion->reportDue)
            report(*minion);
    }
    timer_.expires_after(tickInterval);
    timer_.async_wait([this](boost::system::error_code error) {
        if (!error)
            tick();
    });
}

void FleetMinions::report(Minion& minion)
{
    minion.reportDue = absl::Now() + reportInterval;
    const json body { { "service", "work" }, { "address", absl::StrCat(minion.endpoint.address, ":", minion.endpoint.port) }, { "zone", minion.dataCentre },
        { "version", "v1" }, { "slots", 8 }, { "state", "ready" }, { "cold_remaining_ms", 0 }, { "capacity", { { "cpu", minionMilliCores }, { "mem_mb", 65536 }, { "gpu", 0 } } },
        { "labels", { "a", "r1" } }, { "clock_ms", minion.clockMs() }, { "sequence", ++minion.sequence }, { "born", absl::ToUnixMillis(minion.born) } };
    const Endpoint& keeper = keepers_[minion.keeper % keepers_.size()];
    client_.call(keeper, { "PUT", "/instances/" + minion.id, "keeper", {}, body.dump() }, reportTimeout, [&minion](const HttpResult& result) {
        const auto* response = std::get_if<WebResponse>(&result);
        if (!response || response->status != 200)
            ++minion.keeper;
    });
}

} // namespace trefoilwing
