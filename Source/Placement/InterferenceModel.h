#pragma once

#include "Placement/LeasedMinion.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

namespace trefoilwing {

/// A kind of task that runs longer beside another kind on the same minion.
struct InterferingPair {
    RouteName slowed;
    RouteName beside;
    /// Lower confidence bound of the relative slowdown: 0.2 means that run times are at least a fifth longer.
    double slowdown = 0;
    /// Decayed number of runs that the estimate rests on.
    double observations = 0;
};

/// Strategy that tells how much tasks slow each other down on one minion. A kind of task is its route.
class InterferenceModel {
public:
    virtual ~InterferenceModel() = default;

    /// Records a run that has ended with success.
    /// @param expected the run time that was expected of the task on this minion.
    virtual void runEnded(const LeasedMinion&, const Run&, absl::Duration expected, absl::Duration taken, absl::Time now) = 0;

    /// @return the relative slowdown of a task of the job and of the runs that are there, if it starts on the minion; 0 if
    /// none is known.
    virtual double slowdown(const CellJob&, const LeasedMinion&) const = 0;

    /// @return the pairs that are known to interfere, the strongest first.
    virtual std::vector<InterferingPair> pairs() const = 0;
};

/// Takes no account of interference.
class NoInterference final : public InterferenceModel {
public:
    void runEnded(const LeasedMinion&, const Run&, absl::Duration, absl::Duration, absl::Time) override { }
    double slowdown(const CellJob&, const LeasedMinion&) const override { return 0; }
    std::vector<InterferingPair> pairs() const override { return {}; }
};

/// Learns from run times which kinds of tasks slow each other down.
///
/// For each ordered pair of kinds it compares the run times of the first kind in company of the second with those
/// without it, as ratios to what was expected on the minion. So a minion that is slow altogether, or estimates that are
/// off for one kind, aren't taken for interference. Evidence decays, since the behaviour of tasks changes.
class LearnedInterference final : public InterferenceModel {
public:
    void runEnded(const LeasedMinion&, const Run&, absl::Duration expected, absl::Duration taken, absl::Time now) override;
    double slowdown(const CellJob&, const LeasedMinion&) const override;
    std::vector<InterferingPair> pairs() const override;

private:
    using Kind = uint8_t;

    /// Maximum number of kinds that are told apart. It bounds the memory to a few hundred kilobytes a cell; the runs of
    /// further kinds aren't recorded.
    static constexpr size_t maxKinds = 32;
    static constexpr size_t minMinions = 3;

    /// Mean and variance of the logarithm of run time ratios, with weights that decay.
    struct Evidence {
        double weight = 0;
        double mean = 0;
        double squares = 0;
        absl::Time updatedAt = absl::InfinitePast();

        void add(double value, double share, absl::Time now);
        double meanVariance() const;
    };

    struct PairEvidence {
        Evidence with;
        Evidence without;
        /// Minions of the latest observations. A pair counts only if it was seen on several, so that the fault of one
        /// minion isn't taken for interference.
        std::array<MinionId, minMinions> minions;

        void addMinion(const MinionId&);
        bool isSeenOnSeveralMinions() const { return !minions.back().value().empty(); }
        /// @param alone the evidence of runs without any company, for a kind that has come up only lately.
        std::optional<double> slowdown(const Evidence& alone) const;
    };

    std::optional<Kind> findKind(const RouteName&) const;
    std::optional<Kind> kindOf(const RouteName&);
    double pairCost(Kind slowed, Kind beside) const;

    absl::flat_hash_map<RouteName, Kind> kinds_;
    std::vector<RouteName> names_;
    /// The run times of each kind without any company.
    std::array<Evidence, maxKinds> alone_;
    absl::flat_hash_map<std::pair<Kind, Kind>, PairEvidence> pairs_;
};

/// @return the model that the settings ask for.
std::unique_ptr<InterferenceModel> makeInterferenceModel(bool isLearned);

} // namespace trefoilwing
