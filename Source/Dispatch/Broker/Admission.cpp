#include "Dispatch/Broker/Admission.h"

namespace trefoilwing::broker {

namespace {

    /// Lets every job wait until its deadline.
    class AdmitAll : public Admission {
    public:
        absl::Time giveUpAt(const Job& job) const override { return job.deadline; }

        Error rejection(const Job&) const override
        {
            return { ErrorCode::PastDeadline, "the deadline passed before a slot was free", Verdict::NotRun };
        }
    };

} // namespace

const StrategyRegistry<Admission>& admissions()
{
    static const StrategyRegistry<Admission> registry = StrategyRegistry<Admission>().add<AdmitAll>("all");
    return registry;
}

} // namespace trefoilwing::broker
