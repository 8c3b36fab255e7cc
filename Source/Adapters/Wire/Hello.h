#pragma once

#include "Adapters/Msgpack/FieldList.h"
#include "Model/Identifiers.h"

#include <cstdint>

namespace trefoilwing {

/// The oldest version of the protocol between daemons that this one still speaks.
inline constexpr uint32_t oldestProtocolVersion = 1;
/// The version of the protocol between daemons that this one speaks.
inline constexpr uint32_t protocolVersion = 1;

/// The first frame of a connection, in both directions.
struct Hello {
    uint32_t version = protocolVersion;
    DaemonRun sender;
    /// Who the sender takes the other side for; a connection to another daemon is closed.
    DaemonId receiver;

    friend bool operator==(const Hello&, const Hello&) = default;
};

void visitFields(auto&& visit, Fields<Hello> auto& value)
{
    visit(value.version, value.sender, value.receiver);
}

} // namespace trefoilwing
