#include "Adapters/Histogram/LatencyHistogram.h"

namespace trefoilwing {

namespace {

    constexpr unsigned bucketCount = 140;
    constexpr double lowestSeconds = 1e-4;
    constexpr double highestSeconds = 1e3;

} // namespace

LatencyHistogram::LatencyHistogram()
    : histogram_(std::make_tuple(Axis(bucketCount, lowestSeconds, highestSeconds)))
{
}

void LatencyHistogram::add(absl::Duration duration)
{
    histogram_(absl::ToDoubleSeconds(std::max(duration, absl::ZeroDuration())));
    sum_ += std::max(duration, absl::ZeroDuration());
}

std::vector<LatencyBucket> LatencyHistogram::buckets() const
{
    std::vector<LatencyBucket> kept;
    const Axis& axis = histogram_.axis();
    for (int i = -1; i <= axis.size(); ++i) {
        const auto count = static_cast<uint64_t>(static_cast<double>(histogram_.at(i)));
        if (count == 0)
            continue;
        const absl::Duration upper = i == axis.size() ? absl::InfiniteDuration() : absl::Seconds(axis.value(i + 1));
        kept.push_back({ upper, count });
    }
    return kept;
}

} // namespace trefoilwing
