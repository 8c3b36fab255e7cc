#include "Fleet/Fleet.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <absl/time/clock.h>

#include <array>
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <map>
#include <random>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace trefoilwing;

// Real processes under series of disturbances that overlap, while clients go on using their open connections. The schedule
// follows from the seed. SOAK_SEEDS=FIRST:COUNT runs other seeds than those of CI.

namespace {

constexpr absl::Duration soakTime = absl::Seconds(12);
constexpr absl::Duration submitPause = absl::Milliseconds(8);
/// Time in which a process that got SIGTERM must have ended.
constexpr absl::Duration gracePeriod = absl::Seconds(6);

/// What callers were told, and what was acknowledged to operators.
class Outcomes {
public:
    HttpClient::Callback callback(const std::string& job)
    {
        ++open_;
        return [this, job](const HttpResult& result) {
            const auto* response = std::get_if<WebResponse>(&result);
            MutexLock lock(mutex_);
            if (response && response->status == 200)
                ++completed_;
            if (response && (response->status == 429 || response->status == 503))
                rejected_.push_back(job);
            --open_;
        };
    }

    bool awaitAll() const
    {
        for (const absl::Time end = absl::Now() + absl::Seconds(30); open_ > 0 && absl::Now() < end;)
            absl::SleepFor(absl::Milliseconds(20));
        return open_ == 0;
    }

    size_t completed() const
    {
        MutexLock lock(mutex_);
        return completed_;
    }

    std::vector<std::string> rejected() const
    {
        MutexLock lock(mutex_);
        return rejected_;
    }

private:
    std::atomic<int> open_ { 0 };
    mutable absl::Mutex mutex_;
    size_t completed_ ABSL_GUARDED_BY(mutex_) = 0;
    std::vector<std::string> rejected_ ABSL_GUARDED_BY(mutex_);
};

class Soak {
public:
    explicit Soak(uint64_t seed)
        : random_(seed)
    {
    }

    /// @return the promise that was broken; empty if none was.
    std::string run()
    {
        fleet_.startAll();
        if (!fleet_.publish(version_) || !fleet_.awaitService(Fleet::entries()))
            return "the fleet doesn't serve";
        std::thread operatorThread([this] { publishChanges(); });
        const absl::Time end = absl::Now() + soakTime;
        absl::Time disturbanceDue = absl::Now();
        while (absl::Now() < end) {
            submit();
            if (absl::Now() >= disturbanceDue) {
                disturb();
                disturbanceDue = absl::Now() + absl::Milliseconds(below(3) == 0 ? below(1500) : below(200));
            }
            carryOutDue();
            absl::SleepFor(submitPause);
        }
        isOver_ = true;
        // A change may wait for keepers that are down.
        while (!due_.empty()) {
            carryOutDue();
            absl::SleepFor(submitPause);
        }
        operatorThread.join();
        return check();
    }

private:
    struct Due {
        absl::Time at;
        std::function<void()> action;
    };

    int64_t below(int64_t bound) { return static_cast<int64_t>(random_() % static_cast<uint64_t>(bound)); }
    const std::string& anyEntry() { return Fleet::entries()[random_() % Fleet::entries().size()]; }
    const std::string& anyKeeper() { return Fleet::keepers()[random_() % Fleet::keepers().size()]; }
    void after(absl::Duration delay, std::function<void()> action) { due_.push_back({ absl::Now() + delay, std::move(action) }); }

    void carryOutDue()
    {
        for (size_t i = 0; i < due_.size();) {
            if (due_[i].at > absl::Now()) {
                ++i;
                continue;
            }
            const auto action = std::move(due_[i].action);
            due_.erase(due_.begin() + static_cast<ptrdiff_t>(i));
            action();
        }
    }

    void submit()
    {
        const std::string id = absl::StrCat(absl::Hex(0xb000000000000000UL + ++lastJob_));
        fleet_.caller().submit(fleet_.callers(anyEntry()), id, 1 + static_cast<int>(below(4)), 30, outcomes_.callback(id));
    }

    void publishChanges()
    {
        while (!isOver_) {
            // A version that isn't acknowledged in time may come into force all the same.
            if (fleet_.publish(version_ + 1))
                ++version_;
            absl::SleepFor(absl::Milliseconds(400));
        }
    }

    void disturb()
    {
        static constexpr std::array<void (Soak::*)(), 7> kinds { &Soak::killEntry, &Soak::stopEntry, &Soak::pauseEntry, &Soak::killKeeper, &Soak::killCore, &Soak::reloadAll, &Soak::sendForeignReports };
        (this->*kinds.at(random_() % kinds.size()))();
    }

    /// Starts a process. It gets signals once it has begun to run; before, the kernel acts on them.
    void restart(const std::string& name)
    {
        fleet_.startNode(name, false);
        fleet_.node(name).awaitBlocked(SIGTERM);
        isDown_[name] = false;
    }

    void kill(const std::string& name)
    {
        if (std::exchange(isDown_[name], true))
            return;
        fleet_.node(name).kill();
        after(absl::Milliseconds(below(600)), [this, name] { restart(name); });
    }

    void killEntry() { kill(anyEntry()); }
    void killKeeper() { kill(anyKeeper()); }

    void killCore()
    {
        for (const std::string& keeper : Fleet::keepers())
            kill(keeper);
    }

    void stopEntry()
    {
        const std::string& name = anyEntry();
        if (std::exchange(isDown_[name], true))
            return;
        fleet_.node(name).signal(SIGTERM);
        awaitEnd(name, absl::Now() + gracePeriod);
    }

    /// Starts a process again as soon as it has ended.
    void awaitEnd(const std::string& name, absl::Time deadline)
    {
        after(absl::Milliseconds(50), [this, name, deadline] {
            const std::optional<int> status = fleet_.node(name).await(absl::Milliseconds(1));
            if (!status && absl::Now() < deadline) {
                awaitEnd(name, deadline);
                return;
            }
            if (status != 0)
                fault_ = absl::StrCat(name, status ? absl::StrCat(" ended with status ", *status) : std::string(" didn't end"), " after SIGTERM");
            restart(name);
        });
    }

    void pauseEntry()
    {
        const std::string& name = anyEntry();
        if (std::exchange(isDown_[name], true))
            return;
        fleet_.node(name).signal(SIGSTOP);
        after(absl::Milliseconds(100 + below(2500)), [this, name] {
            fleet_.node(name).signal(SIGCONT);
            isDown_[name] = false;
        });
    }

    void reloadAll()
    {
        for (const auto* names : { &Fleet::entries(), &Fleet::keepers() }) {
            for (const std::string& name : *names) {
                if (!isDown_[name])
                    fleet_.node(name).signal(SIGHUP);
            }
        }
    }

    void sendForeignReports()
    {
        for (const Endpoint& endpoint : fleet_.minions().endpoints()) {
            const std::string report = absl::StrCat(R"({"service":"billing","address":")", endpoint.address, ":", endpoint.port, R"(","zone":"bole","version":"v1","slots":8,"state":"draining","cold_remaining_ms":0,)",
                R"("capacity":{"cpu":16000,"mem_mb":65536,"gpu":0},"labels":["a"],"clock_ms":1,"sequence":1,"born":)", absl::ToUnixMillis(absl::Now()), "}");
            const std::string& keeper = anyKeeper();
            if (!isDown_[keeper])
                fleet_.caller().call(fleet_.control(keeper), "PUT", absl::StrCat("/instances/foreign-", below(20)), report);
        }
    }

    std::string check()
    {
        for (const auto* names : { &Fleet::entries(), &Fleet::keepers() }) {
            for (const std::string& name : *names) {
                if (const std::optional<int> status = fleet_.node(name).await(absl::Milliseconds(1)))
                    fault_ = absl::StrCat(name, " has ended by itself with status ", *status);
            }
        }
        if (!fault_.empty())
            return fault_;
        if (!outcomes_.awaitAll())
            return "callers got no answer and no end of their connections";
        if (!fleet_.awaitService(Fleet::entries()))
            return "an entry doesn't serve after all is back";
        const MinionTotals totals = fleet_.minions().totals();
        if (totals.duplicateStarts > 0)
            return absl::StrCat(totals.duplicateStarts, " tasks ran twice at the same time");
        for (const std::string& job : outcomes_.rejected()) {
            if (fleet_.minions().hasStarted(job))
                return absl::StrCat("job ", job, " ran, though its caller was told that it had not");
        }
        if (outcomes_.completed() < lastJob_ / 4)
            return absl::StrCat("only ", outcomes_.completed(), " of ", lastJob_, " jobs were served");
        return checkConfiguration();
    }

    std::string checkConfiguration()
    {
        for (const std::string& keeper : Fleet::keepers()) {
            WebResponse newest { 0, {}, {} };
            for (const absl::Time end = absl::Now() + absl::Seconds(20); newest.status != 200 && absl::Now() < end;)
                newest = fleet_.caller().call(fleet_.control(keeper), "GET", "/config");
            const bool isAcknowledged = newest.body == FleetCaller::configuration(version_);
            const bool isUnanswered = newest.body == FleetCaller::configuration(version_ + 1);
            if (!isAcknowledged && !isUnanswered)
                return absl::StrCat(keeper, " doesn't have version ", version_.load(), ", which was acknowledged");
        }
        return "";
    }

    std::mt19937_64 random_;
    Fleet fleet_;
    Outcomes outcomes_;
    std::atomic<int> version_ { 1 };
    std::atomic<bool> isOver_ { false };
    uint64_t lastJob_ = 0;
    std::vector<Due> due_;
    /// Processes that are killed, stopping or paused.
    std::map<std::string, bool> isDown_;
    std::string fault_;
};

} // namespace

TEST_GROUP(FleetSoak) {};

TEST(FleetSoak, NoPromiseIsBrokenWhateverOverlaps)
{
    uint64_t first = 1;
    uint64_t count = 3;
    if (const char* given = std::getenv("SOAK_SEEDS")) {
        const std::vector<std::string> parts = absl::StrSplit(given, ':');
        CHECK_TEXT(parts.size() == 2 && absl::SimpleAtoi(parts[0], &first) && absl::SimpleAtoi(parts[1], &count), "SOAK_SEEDS must be FIRST:COUNT");
    }
    std::string faults;
    for (uint64_t seed = first; seed < first + count; ++seed) {
        const std::string fault = Soak(seed).run();
        if (!fault.empty())
            absl::StrAppend(&faults, "seed ", seed, ": ", fault, "\n");
    }
    CHECK_TEXT(faults.empty(), faults.c_str());
}
