#pragma once

#include "Adapters/Msgpack/FieldList.h"
#include "Model/Identifiers.h"

#include <cstdint>

namespace trefoilwing {

/// Oldest version of the protocol between daemons that this version still supports.
inline constexpr uint32_t oldestProtocolVersion = 1;
/// Version of the protocol between daemons that this version sends.
inline constexpr uint32_t protocolVersion = 1;

/// The first frame of a connection, sent in both directions.
struct Hello {
    uint32_t version = protocolVersion;
    DaemonRun sender;
    /// The daemon that the sender expects at the other end; the connection is closed if it is another one.
    DaemonId receiver;

    friend bool operator==(const Hello&, const Hello&) = default;
};

void visitFields(auto&& visit, Fields<Hello> auto& value)
{
    visit(value.version, value.sender, value.receiver);
}

} // namespace trefoilwing
