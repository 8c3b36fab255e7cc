#pragma once

#include "Base/Error.h"
#include "Model/Declaration.h"
#include "Model/LogRecord.h"
#include "Model/MetricsSnapshot.h"
#include "Model/OperatorMessages.h"

#include <string>

namespace trefoilwing {

/// The JSON bodies between trefoilctl and daemons. docs/PROTOCOLS.md describes them.
/// A decoder returns Malformed for a body that it can't read.

std::string encodeStatus(const DaemonStatus&);
Result<DaemonStatus> decodeStatus(const std::string& body);

std::string encodeSnapshot(const MetricsSnapshot&);
Result<MetricsSnapshot> decodeSnapshot(const std::string& body);

std::string encodeConfiguration(const Configuration&);
Result<Configuration> decodeConfiguration(const std::string& body);

/// The digest isn't sent: whoever decodes the change works it out from the content.
std::string encodePublish(const PublishRecord&);
Result<PublishRecord> decodePublish(const std::string& body);

std::string encodeVersion(ConfigurationVersion);
Result<ConfigurationVersion> decodeVersion(const std::string& body);

std::string encodeRemoval(const MemberRemoval&);
Result<MemberRemoval> decodeRemoval(const std::string& body);

/// @return the error of an answer whose status isn't 200.
Error decodeError(int status, const std::string& body);

/// @return a digest of what a change declares and removes, whatever the order of its services.
Digest digestOf(const PublishRecord&);

} // namespace trefoilwing
