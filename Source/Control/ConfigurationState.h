#pragma once

#include "Base/Error.h"
#include "Model/LogMessages.h"
#include "Model/LogRecord.h"

#include <cstddef>
#include <deque>
#include <vector>

namespace trefoilwing {

/// The configuration in force and the most recent changes that led to it.
class ConfigurationState {
public:
    /// Maximum number of changes kept for peers that are behind; a peer that lacks older ones gets the full configuration.
    static constexpr size_t defaultHistory = 2000;

    explicit ConfigurationState(size_t maxHistory = defaultHistory);

    const Configuration& configuration() const { return configuration_; }

    /// Applies the change as the next version, if its base is the version in force.
    ///
    /// Publishing the same change again is idempotent.
    /// @return the version that holds the change; or Conflict, naming the change that took that version.
    Result<ConfigurationVersion> publish(const PublishRecord&);

    /// @return the changes that bring a peer from the given version to the one in force.
    ConfigurationDelta deltaSince(ConfigurationVersion) const;

    /// Applies a peer's changes; the version never decreases.
    /// @return whether the version increased.
    bool adopt(const ConfigurationDelta&);

    std::vector<SnapshotChunk> snapshot() const;
    void restore(const std::vector<SnapshotChunk>&);

private:
    const ConfigurationChange* findChange(ConfigurationVersion) const;
    void apply(const PublishRecord&);
    Result<ConfigurationVersion> compareWithWinner(const PublishRecord&) const;

    size_t maxHistory_;
    Configuration configuration_;
    std::deque<ConfigurationChange> history_;
};

} // namespace trefoilwing
