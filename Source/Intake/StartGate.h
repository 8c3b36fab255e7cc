#pragma once

#include <absl/time/time.h>

namespace trefoilwing {

/// Says whether callers should wait for an entry that has just started.
///
/// In its first moments an entry knows neither the routes nor who owns the cells, which the keepers tell it within
/// some hundred milliseconds. A caller is served better by that wait than by a refusal. An entry that has served
/// once, or is up for longer, refuses at once what it can't serve.
class StartGate {
public:
    explicit StartGate(absl::Time startedAt)
        : startedAt_(startedAt)
    {
    }

    /// @param isServing whether the entry could serve callers now.
    /// @return whether callers should wait; once false it stays so.
    bool isClosed(bool isServing, absl::Time now);

private:
    const absl::Time startedAt_;
    bool isOpen_ = false;
};

} // namespace trefoilwing
