// Stand-ins for the scripts of the second review: a minion, and a client that makes one call.
//
//   standin minion ID ADDRESS PORT ZONE SLOWNESS RECORD KEEPER...
//   standin call ADDRESS PORT METHOD PATH BODY DEADLINE_MS
//
// The minion speaks the platform's protocol for running tasks. The spec of a job is "CPU MILLISECONDS": what each of its
// tasks needs, and how long it takes on a minion of slowness 1.

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <fcntl.h>
#include <iostream>
#include <map>
#include <mutex>
#include <sstream>
#include <string>
#include <thread>
#include <unistd.h>
#include <vector>

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using nlohmann::json;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr int64_t capacityMilliCores = 16000;
constexpr int64_t maxLeaseMs = 1000;
constexpr int64_t heartbeatMs = 1500;
constexpr int64_t callRetryMs = 200;
constexpr size_t maxListedEnds = 500;

int64_t steadyMs()
{
    return std::chrono::duration_cast<milliseconds>(Clock::now().time_since_epoch()).count();
}

int64_t unixMs()
{
    return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

/// Makes one HTTP call.
/// @return the status and the body; status 0 if there was no answer in time.
std::pair<unsigned, std::string> call(const std::string& address, const std::string& port, const std::string& method, const std::string& path, const std::string& body, int64_t deadlineMs, milliseconds timeout)
{
    asio::io_context context;
    beast::tcp_stream stream(context);
    http::request<http::string_body> request(http::string_to_verb(method), path, 11);
    request.set(http::field::host, "jobs.example");
    if (!body.empty())
        request.set(http::field::content_type, "application/json");
    if (deadlineMs > 0)
        request.set("X-Trefoilwing-Deadline-Ms", std::to_string(deadlineMs));
    request.body() = body;
    request.prepare_payload();
    beast::flat_buffer buffer;
    http::response<http::string_body> response;
    std::pair<unsigned, std::string> result { 0, {} };
    stream.expires_after(timeout);
    const tcp::endpoint endpoint(asio::ip::make_address(address), static_cast<uint16_t>(std::stoi(port)));
    stream.async_connect(endpoint, [&](beast::error_code connectError) {
        if (connectError)
            return;
        http::async_write(stream, request, [&](beast::error_code writeError, size_t) {
            if (writeError)
                return;
            http::async_read(stream, buffer, response, [&](beast::error_code readError, size_t) {
                if (!readError)
                    result = { response.result_int(), response.body() };
            });
        });
    });
    context.run();
    return result;
}

struct Run {
    uint64_t number = 0;
    int64_t startedAt = 0;
    int64_t endsAt = 0;
    int64_t milliCores = 0;
};

class Minion {
public:
    Minion(std::string id, std::string address, std::string zone, double slowness, const std::string& record)
        : id_(std::move(id))
        , address_(std::move(address))
        , zone_(std::move(zone))
        , slowness_(slowness)
        , record_(::open(record.c_str(), O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, 0640))
    {
    }

    std::string report()
    {
        const std::lock_guard lock(mutex_);
        const json body { { "service", "work" }, { "address", address_ }, { "zone", zone_ }, { "version", "v1" }, { "slots", 8 }, { "state", "ready" },
            { "cold_remaining_ms", 0 }, { "capacity", { { "cpu", capacityMilliCores }, { "mem_mb", 65536 }, { "gpu", 0 } } }, { "labels", { "a", "r1-1" } },
            { "clock_ms", clockMs() }, { "sequence", ++sequence_ }, { "born", bornUnixMs_ } };
        return body.dump();
    }

    const std::string& id() const { return id_; }

    /// Ends the runs whose time or whose lease is over.
    void tick()
    {
        const std::lock_guard lock(mutex_);
        const int64_t now = steadyMs();
        for (auto run = runs_.begin(); run != runs_.end();) {
            const auto each = run++;
            if (now >= each->second.endsAt)
                end(each, "done");
            else if (now >= leaseEnd_)
                end(each, "lapsed");
        }
    }

    http::response<http::string_body> answer(const http::request<http::string_body>& request)
    {
        std::unique_lock lock(mutex_);
        if (request["X-Trefoilwing-Expected-Instance"] != id_)
            return response(421, own());
        const json body = json::parse(request.body(), nullptr, false);
        if (!body.is_object())
            return response(400, own());
        const uint64_t token = body.value("fencing_token", uint64_t { 0 });
        if (token < token_)
            return refusal("fence");
        token_ = token;
        const std::string target(request.target());
        if (target == "/run-start")
            return start(body);
        if (target == "/run-stop")
            return stop(body);
        if (target == "/hold")
            return hold(body, lock);
        return response(404, own());
    }

private:
    using Runs = std::map<std::string, Run>;

    int64_t clockMs() const { return steadyMs() - bornAt_ + 1; }
    json own() const { return { { "clock_ms", clockMs() }, { "born", bornUnixMs_ } }; }

    static http::response<http::string_body> response(unsigned status, const json& body)
    {
        http::response<http::string_body> made(static_cast<http::status>(status), 11);
        made.set(http::field::content_type, "application/json");
        made.body() = body.dump();
        return made;
    }

    http::response<http::string_body> refusal(const char* reason) const
    {
        json body = own();
        body["reason"] = reason;
        return response(409, body);
    }

    void write(const std::string& what) const
    {
        const std::string line = std::to_string(steadyMs()) + " " + id_ + " " + what + "\n";
        if (::write(record_, line.data(), line.size()) < 0)
            std::perror("record");
    }

    void extendLease(const json& body)
    {
        const int64_t expires = body.value("expires_ms", int64_t { 0 });
        if (expires > 0)
            leaseEnd_ = std::max(leaseEnd_, std::min(bornAt_ + expires, steadyMs() + maxLeaseMs));
    }

    void end(Runs::iterator run, const char* how)
    {
        write("end " + run->first + " " + std::to_string(run->second.number) + " " + how);
        ended_.push_back({ ++endCount_, run->first, run->second.number, how, "" });
        runs_.erase(run);
        changed_.notify_all();
    }

    http::response<http::string_body> start(const json& body)
    {
        const std::string task = body.value("task", std::string());
        const uint64_t number = body.value("run_id", uint64_t { 0 });
        const auto known = runs_.find(task);
        if (known != runs_.end() && known->second.number == number)
            return response(200, own());
        if (clockMs() >= body.value("expires_ms", int64_t { 0 }))
            return refusal("late");
        extendLease(body);
        if (highest_[task] >= number)
            return refusal("old");
        Run run;
        int64_t work = 0;
        std::istringstream(body.value("spec", std::string())) >> run.milliCores >> work;
        int64_t used = run.milliCores;
        for (const auto& [name, each] : runs_)
            used += each.milliCores;
        if (used > capacityMilliCores)
            return refusal("room");
        run.number = highest_[task] = number;
        run.startedAt = steadyMs();
        run.endsAt = run.startedAt + static_cast<int64_t>(static_cast<double>(work) * slowness_);
        runs_[task] = run;
        write("start " + task + " " + std::to_string(number));
        return response(200, own());
    }

    http::response<http::string_body> stop(const json& body)
    {
        const std::string task = body.value("task", std::string());
        const uint64_t number = body.value("run_id", uint64_t { 0 });
        highest_[task] = std::max(highest_[task], number);
        if (const auto run = runs_.find(task); run != runs_.end() && run->second.number <= number)
            end(run, "stopped");
        return response(200, own());
    }

    http::response<http::string_body> hold(const json& body, std::unique_lock<std::mutex>& lock)
    {
        extendLease(body);
        const uint64_t seen = body.value("last_seen", uint64_t { 0 });
        std::erase_if(ended_, [&](const json& row) { return row[0].get<uint64_t>() <= seen; });
        const auto until = Clock::now() + milliseconds(body.value("wait_ms", int64_t { 0 }));
        while (ended_.empty() && changed_.wait_until(lock, until) != std::cv_status::timeout) { }
        json answer = own();
        answer["running"] = json::array();
        for (const auto& [task, run] : runs_) {
            const int64_t length = std::max<int64_t>(1, run.endsAt - run.startedAt);
            answer["running"].push_back({ task, run.number, "", std::clamp<int64_t>(100 * (steadyMs() - run.startedAt) / length, 0, 99), run.milliCores });
        }
        answer["finished"] = json(std::vector<json>(ended_.begin(), ended_.begin() + static_cast<ptrdiff_t>(std::min(ended_.size(), maxListedEnds))));
        return response(200, answer);
    }

    const std::string id_;
    const std::string address_;
    const std::string zone_;
    const double slowness_;
    const int record_;
    const int64_t bornAt_ = steadyMs();
    const int64_t bornUnixMs_ = unixMs();
    std::mutex mutex_;
    std::condition_variable changed_;
    uint64_t sequence_ = 0;
    uint64_t token_ = 0;
    int64_t leaseEnd_ = 0;
    Runs runs_;
    std::map<std::string, uint64_t> highest_;
    std::vector<json> ended_;
    uint64_t endCount_ = 0;
};

void serve(Minion& minion, tcp::socket socket)
{
    beast::error_code error;
    socket.set_option(tcp::no_delay(true), error);
    beast::flat_buffer buffer;
    while (!error) {
        http::request<http::string_body> request;
        http::read(socket, buffer, request, error);
        if (error)
            return;
        http::response<http::string_body> response = minion.answer(request);
        response.keep_alive(request.keep_alive());
        response.prepare_payload();
        http::write(socket, response, error);
    }
}

/// Reports the minion to the keepers, without end.
void reportTo(Minion& minion, const std::vector<std::string>& keepers)
{
    for (size_t next = 0;;) {
        const std::string& keeper = keepers[next % keepers.size()];
        const size_t colon = keeper.find(':');
        const auto [status, body] = call(keeper.substr(0, colon), keeper.substr(colon + 1), "PUT", "/instances/" + minion.id(), minion.report(), 0, milliseconds(1000));
        const bool isAcknowledged = status / 100 == 2;
        next += isAcknowledged ? 0 : 1;
        std::this_thread::sleep_for(milliseconds(isAcknowledged ? heartbeatMs : callRetryMs));
    }
}

void runMinion(const std::vector<std::string>& arguments)
{
    const std::string& address = arguments[1];
    const std::string& port = arguments[2];
    Minion minion(arguments[0], address + ":" + port, arguments[3], std::stod(arguments[4]), arguments[5]);
    asio::io_context context;
    tcp::acceptor acceptor(context, { asio::ip::make_address(address), static_cast<uint16_t>(std::stoi(port)) });
    std::thread([&] { reportTo(minion, { arguments.begin() + 6, arguments.end() }); }).detach();
    std::thread([&] {
        while (true) {
            minion.tick();
            std::this_thread::sleep_for(milliseconds(2));
        }
    }).detach();
    while (true)
        std::thread([&minion, socket = acceptor.accept()]() mutable { serve(minion, std::move(socket)); }).detach();
}

} // namespace

int main(int count, char** values)
{
    const std::vector<std::string> arguments(values + 1, values + count);
    if (arguments.size() >= 8 && arguments[0] == "minion") {
        runMinion({ arguments.begin() + 1, arguments.end() });
    } else if (arguments.size() == 7 && arguments[0] == "call") {
        const int64_t deadline = std::stoll(arguments[6]);
        const auto [status, body] = call(arguments[1], arguments[2], arguments[3], arguments[4], arguments[5], deadline, milliseconds(deadline > 0 ? deadline : 2000));
        std::cout << status << " " << body << "\n";
    } else {
        std::cerr << "usage: standin minion ID ADDRESS PORT ZONE SLOWNESS RECORD KEEPER... | call ADDRESS PORT METHOD PATH BODY DEADLINE_MS\n";
        return 2;
    }
    return 0;
}
