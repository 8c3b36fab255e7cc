#pragma once

// Encodes and decodes the structs that are sent between daemons or stored. ModelFields.h describes how
// to add one.

#include "Adapters/Msgpack/Decoder.h"
#include "Adapters/Msgpack/Encoder.h"
#include "Adapters/Msgpack/LogFields.h"
#include "Adapters/Msgpack/MembershipFields.h"
#include "Adapters/Msgpack/ModelFields.h"

#include <string>
#include <string_view>

namespace trefoilwing {

/// @return the value as msgpack bytes.
template <typename T>
std::string encode(const T& value)
{
    std::string bytes;
    Encoder(bytes).put(value);
    return bytes;
}

/// @param bytes untrusted input; it needn't come from encode().
/// @return the value, or an error with code Malformed.
template <typename T>
Result<T> decode(std::string_view bytes)
{
    return Decoder(bytes).take<T>();
}

} // namespace trefoilwing
