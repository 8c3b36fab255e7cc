#include "Handover/ModelNetwork.h"

#include <utility>

namespace trefoilwing {

namespace {

    /// TCP repeats what a cut stopped at intervals that grow up to the length of the cut.
    constexpr uint64_t maxRepeatDelayMs = 2500;

} // namespace

void ModelNetwork::stopAtCut(const std::string& from, const std::string& to, Action action)
{
    if (cutMessages_ == CutMessages::Late && below(2) == 0)
        stopped_[{ from, to }].push_back(std::move(action));
}

void ModelNetwork::heal(const std::string& a, const std::string& b)
{
    cuts_.erase({ std::min(a, b), std::max(a, b) });
    for (const auto& [from, to] : { std::pair(a, b), std::pair(b, a) }) {
        auto node = stopped_.extract({ from, to });
        if (node.empty())
            continue;
        after(absl::Milliseconds(static_cast<int64_t>(below(maxRepeatDelayMs))), [this, from = from, to = to, actions = std::move(node.mapped())] {
            for (const Action& action : actions) {
                if (!isCut(from, to))
                    action();
            }
        });
    }
}

void ModelNetwork::sendInOrder(const std::string& from, const std::string& to, Action action)
{
    if (isCut(from, to)) {
        stopAtCut(from, to, std::move(action));
        return;
    }
    absl::Time& arrival = channels_[{ from, to }];
    arrival = std::max(arrival, now_ + absl::Milliseconds(static_cast<int64_t>(below(50) == 0 ? below(200) : 1 + below(3))));
    at(arrival, [this, from, to, action = std::move(action)] {
        if (isCut(from, to))
            stopAtCut(from, to, action);
        else
            action();
    });
}

void ModelNetwork::sendCall(const std::string& from, const std::string& to, const Action& action)
{
    for (uint64_t copies = 1 + (below(40) == 0 ? 1 : 0); copies > 0; --copies) {
        const auto delay = absl::Milliseconds(static_cast<int64_t>(below(50) == 0 ? below(120) : 1 + below(3)));
        after(delay, [this, from, to, action] {
            if (isCut(from, to))
                stopAtCut(from, to, action);
            else
                action();
        });
    }
}

void ModelNetwork::run(absl::Duration duration)
{
    const absl::Time end = now_ + duration;
    while (!actions_.empty() && actions_.begin()->first <= end) {
        auto node = actions_.extract(actions_.begin());
        now_ = std::max(now_, node.key());
        node.mapped()();
    }
    now_ = end;
}

} // namespace trefoilwing
