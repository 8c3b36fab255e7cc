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
            , sizes_(jobs.size())
            , work_(jobs.size())
            , unfinished_(jobs.size())
            , responses_(jobs.size())
        {
            for (uint32_t minion = 0; minion < scenario.speeds.size(); ++minion) {
                for (uint32_t slot = 0; slot < scenario.slots; ++slot)
                    free_.insert({ -scenario.speeds[minion], minion * scenario.slots + slot });
            }
        }

        std::vector<double> run()
        {
            size_t arrived = 0;
            while (arrived < jobs_.size() || !ends_.empty()) {
                const bool isArrival = arrived < jobs_.size() && (ends_.empty() || jobs_[arrived].arrival <= ends_.top().at);
                const double now = isArrival ? jobs_[arrived].arrival : ends_.top().at;
                if (isArrival)
                    arrive(arrived++);
                else
                    end(now);
                start(now);
            }
            return std::move(responses_);
        }

    private:
        struct End {
            double at;
            size_t job;
            uint32_t slot;

            bool operator>(const End& other) const { return at > other.at; }
        };

        void arrive(size_t job)
        {
            sizes_[job] = jobs_[job].sizes;
            std::sort(sizes_[job].begin(), sizes_[job].end());
            work_[job] = jobs_[job].work();
            unfinished_[job] = jobs_[job].sizes.size();
            waiting_.insert({ work_[job], job });
        }

        void end(double now)
        {
            const End ended = ends_.top();
            ends_.pop();
            free_.insert({ -scenario_.speeds[ended.slot / scenario_.slots], ended.slot });
            if (--unfinished_[ended.job] == 0)
                responses_[ended.job] = now - jobs_[ended.job].arrival;
        }

        void start(double now)
        {
            while (!free_.empty() && !waiting_.empty()) {
                const size_t job = waiting_.begin()->second;
                waiting_.erase(waiting_.begin());
                const auto [slowness, slot] = *free_.begin();
                free_.erase(free_.begin());
                const double size = sizes_[job].back();
                sizes_[job].pop_back();
                work_[job] -= size;
                ends_.push({ now + size / -slowness, job, slot });
                if (!sizes_[job].empty())
                    waiting_.insert({ work_[job], job });
            }
        }

        const Scenario& scenario_;
        const std::vector<BenchJob>& jobs_;
        std::vector<std::vector<double>> sizes_;
        std::vector<double> work_;
        std::vector<size_t> unfinished_;
        std::vector<double> responses_;
        std::set<std::pair<double, uint32_t>> free_;
        std::set<std::pair<double, size_t>> waiting_;
        std::priority_queue<End, std::vector<End>, std::greater<>> ends_;
    };

} // namespace

std::vector<double> idealResponses(const Scenario& scenario, const std::vector<BenchJob>& jobs)
{
    return IdealQueue(scenario, jobs).run();
}

} // namespace trefoilwing::bench
