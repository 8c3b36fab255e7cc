#include "Handover/ModelNetwork.h"

namespace trefoilwing {

void ModelNetwork::sendInOrder(const std::string& from, const std::string& to, Action action)
{
    if (isCut(from, to))
        return;
    absl::Time& arrival = channels_[{ from, to }];
    arrival = std::max(arrival, now_ + absl::Milliseconds(static_cast<int64_t>(below(50) == 0 ? below(200) : 1 + below(3))));
    at(arrival, [this, from, to, action = std::move(action)] {
        if (!isCut(from, to))
            action();
    });
}

void ModelNetwork::sendCall(const std::string& from, const std::string& to, const Action& action)
{
    for (uint64_t copies = 1 + (below(40) == 0 ? 1 : 0); copies > 0; --copies) {
        const auto delay = absl::Milliseconds(static_cast<int64_t>(below(50) == 0 ? below(120) : 1 + below(3)));
        after(delay, [this, from, to, action] {
            if (!isCut(from, to))
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
