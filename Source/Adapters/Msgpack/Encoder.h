#pragma once

#include "Adapters/Msgpack/FieldList.h"
#include "Base/StrongId.h"

#include <absl/time/time.h>
#include <msgpack/adaptor/bool.hpp>
#include <msgpack/adaptor/float.hpp>
#include <msgpack/adaptor/int.hpp>
#include <msgpack/pack.hpp>

#include <concepts>
#include <map>
#include <optional>
#include <string>
#include <type_traits>
#include <variant>
#include <vector>

namespace trefoilwing {

/// Appends values to a string as msgpack.
///
/// A struct is an array of its fields, a variant an array of the alternative's index and its value,
/// an empty optional nil, and a time or duration a number of microseconds.
class Encoder {
public:
    explicit Encoder(std::string& bytes)
        : sink_ { bytes }
        , packer_(sink_)
    {
    }

    void put(bool value) { packer_.pack(value); }
    void put(double value) { packer_.pack(value); }
    void put(std::integral auto value) { packer_.pack(value); }
    void put(std::monostate) { packer_.pack_nil(); }
    void put(absl::Time value) { packer_.pack(absl::ToUnixMicros(value)); }
    void put(absl::Duration value) { packer_.pack(absl::ToInt64Microseconds(value)); }

    void put(const std::string& value)
    {
        packer_.pack_str(static_cast<uint32_t>(value.size()));
        packer_.pack_str_body(value.data(), static_cast<uint32_t>(value.size()));
    }

    template <typename Enum>
    requires std::is_enum_v<Enum>
    void put(Enum value)
    {
        packer_.pack(static_cast<uint32_t>(value));
    }

    template <typename Tag, typename Rep>
    void put(const StrongId<Tag, Rep>& value)
    {
        put(value.value());
    }

    template <typename T>
    void put(const std::vector<T>& values)
    {
        packer_.pack_array(static_cast<uint32_t>(values.size()));
        for (const T& value : values)
            put(value);
    }

    template <typename Key, typename T>
    void put(const std::map<Key, T>& values)
    {
        packer_.pack_map(static_cast<uint32_t>(values.size()));
        for (const auto& [key, value] : values) {
            put(key);
            put(value);
        }
    }

    template <typename T>
    void put(const std::optional<T>& value)
    {
        if (value)
            put(*value);
        else
            packer_.pack_nil();
    }

    template <typename... Alternatives>
    void put(const std::variant<Alternatives...>& value)
    {
        packer_.pack_array(2);
        put(static_cast<uint32_t>(value.index()));
        std::visit([this](const auto& alternative) { this->put(alternative); }, value);
    }

    template <HasFieldList Struct>
    void put(const Struct& value)
    {
        visitFields([&](const auto&... fields) {
            requireFieldCount<sizeof...(fields)>(value);
            this->putFields(fields...);
        },
            value);
    }

private:
    /// The output stream of msgpack's packer.
    struct Sink {
        std::string& bytes;

        void write(const char* data, size_t size) { bytes.append(data, size); }
    };

    template <typename... Values>
    void putFields(const Values&... values)
    {
        packer_.pack_array(sizeof...(Values));
        (put(values), ...);
    }

    Sink sink_;
    msgpack::packer<Sink> packer_;
};

} // namespace trefoilwing
