#pragma once

#include "Base/Error.h"
#include "Model/Declaration.h"
#include "Model/LogRecord.h"
#include "Model/MetricsSnapshot.h"
#include "Model/OperatorMessages.h"

#include <string>

namespace trefoilwing {

/// Encodes and decodes the JSON bodies between trefoilctl and daemons, which docs/PROTOCOLS.md describes.
/// Decoders return a Malformed error for an invalid body.

std::string encodeStatus(const DaemonStatus&);
Result<DaemonStatus> decodeStatus(const std::string& body);

std::string encodeSnapshot(const MetricsSnapshot&);
Result<MetricsSnapshot> decodeSnapshot(const std::string& body);

std::string encodeConfiguration(const Configuration&);
Result<Configuration> decodeConfiguration(const std::string& body);

/// The digest isn't sent; the decoder computes it from the content.
std::string encodePublish(const PublishRecord&);
Result<PublishRecord> decodePublish(const std::string& body);

std::string encodeVersion(ConfigurationVersion);
Result<ConfigurationVersion> decodeVersion(const std::string& body);

std::string encodeRemoval(const MemberRemoval&);
Result<MemberRemoval> decodeRemoval(const std::string& body);

/// @return the error in a response whose status isn't 200.
Error decodeError(int status, const std::string& body);

/// @return a digest of the services that a change declares and removes; it doesn't depend on their order.
Digest digestOf(const PublishRecord&);

} // namespace trefoilwing
