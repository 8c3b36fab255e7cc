#include "Ctl/LoadPlan.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cmath>

namespace trefoilwing {

namespace {

    // Declared run times are often inaccurate, so actual ones are between half and twice the declared time.
    constexpr double runTimeSpreadFactor = 2;

    double rateAt(const LoadShape& shape, absl::Duration at)
    {
        const double progress = absl::FDivDuration(at, shape.duration);
        return progress >= 0.4 && progress < 0.6 ? shape.rate * shape.peakFactor : shape.rate;
    }

    const BackerDeclaration& pickBacker(const ServiceDeclaration& service, Random& random)
    {
        uint64_t sum = 0;
        for (const BackerDeclaration& backer : service.backers)
            sum += backer.quota;
        uint64_t position = random.below(sum);
        for (const BackerDeclaration& backer : service.backers) {
            if (position < backer.quota)
                return backer;
            position -= backer.quota;
        }
        return service.backers.back();
    }

    absl::Duration pickRunTime(const TaskKindDeclaration& kind, Random& random)
    {
        const double factor = std::pow(runTimeSpreadFactor, 2 * random.unit() - 1);
        return absl::Ceil(kind.expectedRunTime * factor, absl::Milliseconds(1));
    }

    LoadItem planItem(const ServiceDeclaration& service, const LoadShape& shape, Random& random)
    {
        const TaskKindDeclaration& kind = service.kinds[random.below(service.kinds.size())];
        LoadItem item;
        item.service = service.service;
        item.backer = pickBacker(service, random).backer;
        item.kind = kind.kind;
        item.isIdempotent = kind.isIdempotent;
        item.isJob = random.unit() < shape.jobShare;
        item.deadline = service.defaultDeadline;
        item.objective = service.objective;
        const uint32_t tasks = item.isJob ? std::min(shape.tasksPerJob, service.maxTasks) : 1;
        for (uint32_t i = 0; i < tasks; ++i) {
            const absl::Duration runTime = pickRunTime(kind, random);
            item.payloads.push_back(absl::StrCat("{\"run_ms\":", absl::ToInt64Milliseconds(runTime), "}"));
            item.ideal = std::max(item.ideal, runTime);
        }
        return item;
    }

} // namespace

std::vector<LoadItem> planLoad(const std::vector<ServiceDeclaration>& services, const LoadShape& shape, const std::string& keyPrefix, Random& random)
{
    std::vector<LoadItem> items;
    const double highestRate = shape.rate * std::max(1.0, shape.peakFactor);
    absl::Duration at;
    while (!services.empty() && items.size() < shape.maxArrivals) {
        // A Poisson process with a varying rate: exponential gaps at the highest rate, thinned to the current rate.
        at += absl::Seconds(-std::log(1 - random.unit()) / highestRate);
        if (at >= shape.duration)
            break;
        if (random.unit() * highestRate >= rateAt(shape, at))
            continue;
        LoadItem item = planItem(services[random.below(services.size())], shape, random);
        item.at = at;
        item.key = CallerKey(absl::StrCat(keyPrefix, "-", items.size()));
        items.push_back(std::move(item));
    }
    return items;
}

} // namespace trefoilwing
