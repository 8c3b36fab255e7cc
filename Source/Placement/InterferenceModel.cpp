#include "Placement/InterferenceModel.h"

#include <algorithm>
#include <cmath>

namespace trefoilwing {

namespace {

    /// Half-life of the evidence: behaviour changes within seconds to days, and a busy cell has thousands of runs in this
    /// time.
    constexpr absl::Duration evidenceHalfLife = absl::Seconds(60);

    /// Minimum share of a run's time in company of a kind from which the run counts as evidence with that kind, and maximum
    /// share up to which it counts as evidence without it.
    constexpr double minShareWith = 0.25;
    constexpr double maxShareWithout = 0.1;

    /// Minimum weight of the evidence with and without a kind before the two are compared.
    constexpr double minWeight = 8;

    /// Number of standard errors by which the slowdown must exceed zero. With hundreds of pairs, two would give false
    /// pairs all the time.
    constexpr double confidenceErrors = 3;

    /// Slowdowns above this count as this much: run times are seldom more than twice as long.
    constexpr double maxSlowdown = 1;

    /// Maximum factor by which one run counts as slower or faster than expected.
    constexpr double maxRatio = 4;

    /// Assumed slowdown of a pair without enough evidence: it is tried where no pair that is known to be harmless fits as
    /// well.
    constexpr double unknownPairSlowdown = 0.02;

    constexpr size_t maxReportedPairs = 16;

} // namespace

void LearnedInterference::Evidence::add(double value, double share, absl::Time now)
{
    if (weight > 0) {
        const double decay = std::exp2(-absl::FDivDuration(now - updatedAt, evidenceHalfLife));
        weight *= decay;
        squares *= decay;
    }
    updatedAt = now;
    weight += share;
    const double deviation = value - mean;
    mean += deviation * share / weight;
    squares += share * deviation * (value - mean);
}

double LearnedInterference::Evidence::meanVariance() const
{
    return squares / weight / weight;
}

void LearnedInterference::PairEvidence::addMinion(const MinionId& minion)
{
    if (std::find(minions.begin(), minions.end(), minion) != minions.end())
        return;
    std::rotate(minions.begin(), minions.end() - 1, minions.end());
    minions.front() = minion;
}

std::optional<double> LearnedInterference::PairEvidence::slowdown(const Evidence& alone) const
{
    const Evidence& base = without.weight >= minWeight ? without : alone;
    if (with.weight < minWeight || base.weight < minWeight || !isSeenOnSeveralMinions())
        return std::nullopt;
    const double error = std::sqrt(with.meanVariance() + base.meanVariance());
    const double bound = with.mean - base.mean - confidenceErrors * error;
    return bound > 0 ? std::min(std::expm1(bound), maxSlowdown) : 0;
}

std::optional<LearnedInterference::Kind> LearnedInterference::findKind(const RouteName& route) const
{
    const auto known = kinds_.find(route);
    return known == kinds_.end() ? std::nullopt : std::optional(known->second);
}

std::optional<LearnedInterference::Kind> LearnedInterference::kindOf(const RouteName& route)
{
    if (const std::optional<Kind> known = findKind(route))
        return known;
    if (names_.size() >= maxKinds)
        return std::nullopt;
    const auto kind = static_cast<Kind>(names_.size());
    names_.push_back(route);
    kinds_.emplace(route, kind);
    return kind;
}

void LearnedInterference::runEnded(const LeasedMinion& minion, const Run& run, absl::Duration expected, absl::Duration taken, absl::Time now)
{
    const std::optional<Kind> slowed = run.job ? kindOf(run.job->offer().route) : std::nullopt;
    if (!slowed || expected <= absl::ZeroDuration() || taken <= absl::ZeroDuration())
        return;
    const double ratio = std::log(std::clamp(absl::FDivDuration(taken, expected), 1 / maxRatio, maxRatio));
    std::array<double, maxKinds> shares {};
    for (const RunCompany& company : run.company) {
        if (const std::optional<Kind> beside = kindOf(company.route))
            shares.at(*beside) += absl::FDivDuration(company.duration, taken);
    }
    if (run.company.empty())
        alone_.at(*slowed).add(ratio, 1, now);
    for (size_t beside = 0; beside < names_.size(); ++beside) {
        const double share = std::min(shares.at(beside), 1.0);
        if (share >= minShareWith) {
            PairEvidence& pair = pairs_[{ *slowed, static_cast<Kind>(beside) }];
            pair.with.add(ratio, share, now);
            pair.addMinion(minion.instance().minion);
        } else if (share <= maxShareWithout) {
            pairs_[{ *slowed, static_cast<Kind>(beside) }].without.add(ratio, 1, now);
        }
    }
}

double LearnedInterference::pairCost(Kind slowed, Kind beside) const
{
    const auto known = pairs_.find({ slowed, beside });
    return known == pairs_.end() ? unknownPairSlowdown : known->second.slowdown(alone_.at(slowed)).value_or(unknownPairSlowdown);
}

double LearnedInterference::slowdown(const CellJob& job, const LeasedMinion& minion) const
{
    const std::optional<Kind> added = findKind(job.offer().route);
    if (!added)
        return 0;
    double sum = 0;
    for (const auto& [id, run] : minion.runs()) {
        const std::optional<Kind> resident = run.job ? findKind(run.job->offer().route) : std::nullopt;
        if (resident)
            sum += pairCost(*added, *resident) + pairCost(*resident, *added);
    }
    return sum;
}

std::vector<InterferingPair> LearnedInterference::pairs() const
{
    std::vector<InterferingPair> found;
    for (const auto& [kinds, evidence] : pairs_) {
        const double slowdown = evidence.slowdown(alone_.at(kinds.first)).value_or(0);
        if (slowdown > 0)
            found.push_back({ names_[kinds.first], names_[kinds.second], slowdown, evidence.with.weight });
    }
    std::sort(found.begin(), found.end(), [](const InterferingPair& a, const InterferingPair& b) { return a.slowdown > b.slowdown; });
    if (found.size() > maxReportedPairs)
        found.resize(maxReportedPairs);
    return found;
}

std::unique_ptr<InterferenceModel> makeInterferenceModel(bool isLearned)
{
    if (isLearned)
        return std::make_unique<LearnedInterference>();
    return std::make_unique<NoInterference>();
}

} // namespace trefoilwing
