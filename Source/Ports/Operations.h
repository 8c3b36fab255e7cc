#pragma once

#include "Base/Error.h"
#include "Model/Declaration.h"
#include "Model/LogRecord.h"
#include "Model/OperatorMessages.h"

#include <functional>

namespace trefoilwing {

/// What a daemon offers to its operators. Calls come from the server's threads and must not wait.
class Operations {
public:
    virtual ~Operations() = default;

    virtual DaemonStatus status() const = 0;

    /// @return the configuration that is in force here.
    virtual Configuration configuration() const = 0;

    /// Publishes a change of the configuration.
    /// @param done gets the version that holds the change, also where the same change came before; Conflict,
    /// naming the winner, where another change took the version; or an error whose verdict tells whether the
    /// change may still come into force. It may be called from any thread, also before the call returns.
    virtual void publish(PublishRecord, std::function<void(Result<ConfigurationVersion>)> done) = 0;

    /// Begins to drain: new work is refused, work in progress goes on to its end.
    virtual void drain() = 0;

    /// Takes a lost daemon out of a group.
    /// @param done as in publish().
    virtual void removeMember(const MemberRemoval&, std::function<void(Result<Done>)> done) = 0;
};

} // namespace trefoilwing
