#pragma once

#include "Base/Error.h"
#include "Model/Declaration.h"
#include "Model/LogRecord.h"
#include "Model/MetricsSnapshot.h"
#include "Model/OperatorMessages.h"

#include <functional>
#include <memory>
#include <string>

namespace trefoilwing {

/// One daemon, as an operator's command sees it.
///
/// Errors of the link itself have code Lost; their verdict tells whether the call may have been taken.
class OperatorLink {
public:
    virtual ~OperatorLink() = default;

    /// @return the daemon's address, for messages.
    virtual std::string address() const = 0;

    virtual Result<DaemonStatus> status() = 0;
    virtual Result<Configuration> configuration() = 0;
    virtual Result<MetricsSnapshot> metrics() = 0;
    virtual Result<ConfigurationVersion> publish(const PublishRecord&) = 0;
    virtual Result<DaemonStatus> drain() = 0;
    virtual Result<Done> removeMember(const MemberRemoval&) = 0;
};

/// Makes links to daemons; tests put fakes in its place.
using OperatorLinkFactory = std::function<std::unique_ptr<OperatorLink>(const Endpoint&)>;

} // namespace trefoilwing
