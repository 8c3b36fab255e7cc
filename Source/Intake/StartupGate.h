#pragma once

#include <absl/time/time.h>

namespace trefoilwing {

/// Decides whether requests are held back while an entry starts up.
///
/// An entry that has just started knows neither the routes nor the owners of the cells; the keepers send both within a
/// few hundred milliseconds. For callers that short wait is better than a rejection. Once the entry has been ready, or
/// the startup limit has passed, it rejects at once what it can't serve.
class StartupGate {
public:
    explicit StartupGate(absl::Time startedAt)
        : startedAt_(startedAt)
    {
    }

    /// @param isServing whether the entry is ready to serve callers.
    /// @return whether callers should wait; once false, it stays false.
    bool shouldWait(bool isServing, absl::Time now);

private:
    const absl::Time startedAt_;
    bool isOpen_ = false;
};

} // namespace trefoilwing
