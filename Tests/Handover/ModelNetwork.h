#pragma once

#include "Ports/Clock.h"

#include <absl/time/time.h>

#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace trefoilwing {

/// What becomes of the messages that a cut stops.
enum class CutMessages {
    Lost,
    /// Some are lost with the queue of their sender. The others arrive up to some seconds after the cut, in order, as TCP repeats
    /// them, although their sender may have opened another connection meanwhile, whose messages come first.
    Late,
};

/// The network and the clock of a model: actions are carried out in the order of their times, and messages between two
/// nodes may be late, lost or doubled.
class ModelNetwork final : public Clock {
public:
    using Action = std::function<void()>;

    ModelNetwork(uint64_t seed, CutMessages cutMessages)
        : random(seed)
        , cutMessages_(cutMessages)
    {
    }

    CutMessages cutMessages() const { return cutMessages_; }

    absl::Time now() const override { return now_; }
    uint64_t below(uint64_t bound) { return random() % bound; }

    /// Carries out an action later.
    void at(absl::Time time, Action action) { actions_.emplace(time, std::move(action)); }
    void after(absl::Duration delay, Action action) { at(now_ + delay, std::move(action)); }

    /// Sends a message on the channel between two daemons, which keeps the order; it is lost if they are cut.
    void sendInOrder(const std::string& from, const std::string& to, Action);
    /// Sends a call to a minion, or its answer. Calls may overtake each other and be carried out twice.
    void sendCall(const std::string& from, const std::string& to, const Action&);

    /// Cuts two nodes off from each other.
    void cut(const std::string& a, const std::string& b) { cuts_.insert({ std::min(a, b), std::max(a, b) }); }
    void heal(const std::string& a, const std::string& b);
    bool isCut(const std::string& a, const std::string& b) const { return cuts_.contains({ std::min(a, b), std::max(a, b) }); }

    /// Runs all actions of the given period.
    void run(absl::Duration);

    std::mt19937_64 random;

private:
    void stopAtCut(const std::string& from, const std::string& to, Action);

    const CutMessages cutMessages_;
    absl::Time now_ = absl::FromUnixSeconds(1000);
    std::multimap<absl::Time, Action> actions_;
    std::set<std::pair<std::string, std::string>> cuts_;
    /// The messages that a cut stopped, by sender and receiver, if they arrive late.
    std::map<std::pair<std::string, std::string>, std::vector<Action>> stopped_;
    /// When the last message on each channel arrives.
    std::map<std::pair<std::string, std::string>, absl::Time> channels_;
};

} // namespace trefoilwing
