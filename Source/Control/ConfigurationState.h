#pragma once

#include "Base/Error.h"
#include "Model/LogMessages.h"
#include "Model/LogRecord.h"

#include <cstddef>
#include <deque>
#include <vector>

namespace trefoilwing {

/// The configuration in force and the latest changes that led to it.
class ConfigurationState {
public:
    /// Changes kept for peers that are behind; older ones get the whole.
    static constexpr size_t defaultHistory = 2000;

    explicit ConfigurationState(size_t maxHistory = defaultHistory);

    const Configuration& configuration() const { return configuration_; }

    /// Makes the next version of the change, if its base is the version in force.
    ///
    /// @return the version that holds the change, also when the same change comes again;
    /// or Conflict, naming the change that took the version.
    Result<ConfigurationVersion> publish(const PublishRecord&);

    /// @return what leads a peer from the version to the one in force.
    ConfigurationDelta deltaSince(ConfigurationVersion) const;

    /// Takes in a peer's changes; the version only rises.
    /// @return whether the version rose.
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
