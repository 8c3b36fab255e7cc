#include "Dispatch/Broker/Admission.h"

#include <algorithm>

namespace trefoilwing::broker {

namespace {

    /// Lets every job wait until its deadline.
    class AdmitAll : public Admission {
    public:
        absl::Time rejectAt(const Job& job, const LoadView&) const override { return job.deadline; }
        bool mayStart(const Job&, const LoadView&) const override { return true; }
        absl::Time urgentAt(const Job&, const LoadView&) const override { return absl::InfiniteFuture(); }
    };

    /// Starts a job only if it can meet its deadline, and prioritizes a started job that is about to miss it.
    class AdmitByDeadline : public Admission {
    public:
        absl::Time rejectAt(const Job& job, const LoadView& load) const override
        {
            return job.deadline - timeToEnd(job, load);
        }

        bool mayStart(const Job& job, const LoadView& load) const override
        {
            return load.now + timeToEnd(job, load) + timeFor(load.startedWork, load) <= job.deadline;
        }

        absl::Time urgentAt(const Job& job, const LoadView& load) const override
        {
            return job.deadline - timeToEnd(job, load) * urgencyMargin;
        }

    private:
        static constexpr double urgencyMargin = 4;
        /// Assumed ratio of the run time of a job's last task to the mean run time.
        static constexpr double tailFactor = 2;

        /// Whether the estimate of the kind's run time is based on recent samples. A job isn't rejected because of a
        /// declared or outdated run time: without new runs, a wrong estimate would never be corrected.
        static bool isKnown(const TaskKind& kind, absl::Time now)
        {
            constexpr uint64_t minSamples = 10;
            constexpr absl::Duration maxSampleAge = absl::Seconds(30);
            return kind.samples >= minSamples && now < kind.learnedAt + maxSampleAge;
        }

        static absl::Duration timeFor(absl::Duration work, const LoadView& load)
        {
            return load.capacity > 0 ? work / load.capacity : absl::ZeroDuration();
        }

        /// @return the expected duration of the job if it had all slots to itself.
        static absl::Duration timeToEnd(const Job& job, const LoadView& load)
        {
            absl::Duration work;
            absl::Duration longest;
            for (const auto& demand : job.queued) {
                for (const WaitingTasks& tasks : demand->kinds) {
                    if (!isKnown(*tasks.kind, load.now))
                        continue;
                    work += tasks.count * tasks.kind->meanRunTime;
                    longest = std::max(longest, tasks.kind->meanRunTime);
                }
            }
            return timeFor(work, load) + longest * tailFactor;
        }
    };

} // namespace

Error Admission::rejection(const Job& job, absl::Time now) const
{
    if (now >= job.deadline)
        return { ErrorCode::PastDeadline, "the deadline passed before a slot was free", Verdict::NotRun };
    return { ErrorCode::Overloaded, "the job could no longer end within its deadline", Verdict::NotRun };
}

const StrategyRegistry<Admission>& admissions()
{
    static const StrategyRegistry<Admission> registry = StrategyRegistry<Admission>()
                                                            .add<AdmitAll>("all")
                                                            .add<AdmitByDeadline>("deadline");
    return registry;
}

} // namespace trefoilwing::broker
