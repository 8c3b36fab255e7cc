#pragma once

#include "Base/Error.h"
#include "Model/Declaration.h"
#include "Model/LogRecord.h"
#include "Model/OperatorMessages.h"

#include <functional>

namespace trefoilwing {

/// The operations that a daemon offers to its operators. They are called on the server's threads and must not block.
class Operations {
public:
    virtual ~Operations() = default;

    virtual DaemonStatus status() const = 0;

    /// @return the configuration that is in force at this daemon.
    virtual Configuration configuration() const = 0;

    /// Publishes a configuration change.
    /// @param done receives the version that contains the change, also if the same change was published before; or
    /// Conflict, with the name of the other operator, if a different change got that version; or an error whose verdict
    /// says whether the change may still come into force. It may be called
    /// on any thread, also before this call returns.
    virtual void publish(PublishRecord, std::function<void(Result<ConfigurationVersion>)> done) = 0;

    /// Starts draining: the daemon refuses new work and completes its work in progress.
    virtual void drain() = 0;

    /// Removes a lost daemon from a group.
    /// @param done as in publish().
    virtual void removeMember(const MemberRemoval&, std::function<void(Result<Done>)> done) = 0;
};

} // namespace trefoilwing
