#include "Bench/IdealQueue.h"

#include <algorithm>
#include <functional>
#include <queue>
#include <set>

namespace trefoilwing::bench {

namespace {

    class IdealQueue {
    public:
        IdealQueue(const Scenario& scenario, const std::vector<BenchJob>& jobs)
            : scenario_(scenario)
            , jobs_(jobs)
            , remainingSizes_(jobs.size())
            , remainingWork_(jobs.size())
            , unfinishedTasks_(jobs.size())
            , responses_(jobs.size())
        {
            for (uint32_t minion = 0; minion < scenario.speeds.size(); ++minion) {
                for (uint32_t slot = 0; slot < scenario.slots; ++slot)
                    freeSlots_.insert({ -scenario.speeds[minion], minion * scenario.slots + slot });
            }
        }

        std::vector<double> run()
        {
            size_t arrived = 0;
            while (arrived < jobs_.size() || !completions_.empty()) {
                const bool isArrival = arrived < jobs_.size() && (completions_.empty() || jobs_[arrived].arrival <= completions_.top().at);
                const double now = isArrival ? jobs_[arrived].arrival : completions_.top().at;
                if (isArrival)
                    arrive(arrived++);
                else
                    end(now);
                start(now);
            }
            return std::move(responses_);
        }

    private:
        struct Completion {
            double at;
            size_t job;
            uint32_t slot;

            bool operator>(const Completion& other) const { return at > other.at; }
        };

        void arrive(size_t job)
        {
            remainingSizes_[job] = jobs_[job].sizes;
            std::sort(remainingSizes_[job].begin(), remainingSizes_[job].end());
            remainingWork_[job] = jobs_[job].work();
            unfinishedTasks_[job] = jobs_[job].sizes.size();
            waitingJobs_.insert({ remainingWork_[job], job });
        }

        void end(double now)
        {
            const Completion ended = completions_.top();
            completions_.pop();
            freeSlots_.insert({ -scenario_.speeds[ended.slot / scenario_.slots], ended.slot });
            if (--unfinishedTasks_[ended.job] == 0)
                responses_[ended.job] = now - jobs_[ended.job].arrival;
        }

        void start(double now)
        {
            while (!freeSlots_.empty() && !waitingJobs_.empty()) {
                const size_t job = waitingJobs_.begin()->second;
                waitingJobs_.erase(waitingJobs_.begin());
                const auto [negativeSpeed, slot] = *freeSlots_.begin();
                freeSlots_.erase(freeSlots_.begin());
                const double size = remainingSizes_[job].back();
                remainingSizes_[job].pop_back();
                remainingWork_[job] -= size;
                completions_.push({ now + size / -negativeSpeed, job, slot });
                if (!remainingSizes_[job].empty())
                    waitingJobs_.insert({ remainingWork_[job], job });
            }
        }

        const Scenario& scenario_;
        const std::vector<BenchJob>& jobs_;
        std::vector<std::vector<double>> remainingSizes_;
        std::vector<double> remainingWork_;
        std::vector<size_t> unfinishedTasks_;
        std::vector<double> responses_;
        std::set<std::pair<double, uint32_t>> freeSlots_;
        std::set<std::pair<double, size_t>> waitingJobs_;
        std::priority_queue<Completion, std::vector<Completion>, std::greater<>> completions_;
    };

} // namespace

std::vector<double> idealResponses(const Scenario& scenario, const std::vector<BenchJob>& jobs)
{
    return IdealQueue(scenario, jobs).run();
}

} // namespace trefoilwing::bench
