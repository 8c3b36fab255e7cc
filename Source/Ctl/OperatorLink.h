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

/// A client of one daemon's operator API.
///
/// Connection errors have the code Lost; their verdict says whether the daemon may have run the call.
class OperatorLink {
public:
    virtual ~OperatorLink() = default;

    /// @return the daemon's address, for error messages.
    virtual std::string address() const = 0;

    virtual Result<DaemonStatus> status() = 0;
    virtual Result<Configuration> configuration() = 0;
    virtual Result<MetricsSnapshot> metrics() = 0;
    virtual Result<ConfigurationVersion> publish(const PublishRecord&) = 0;
    virtual Result<DaemonStatus> drain() = 0;
    virtual Result<Done> removeMember(const MemberRemoval&) = 0;
};

/// Creates links to daemons. Tests pass a factory of fakes.
using OperatorLinkFactory = std::function<std::unique_ptr<OperatorLink>(const Endpoint&)>;

} // namespace trefoilwing
