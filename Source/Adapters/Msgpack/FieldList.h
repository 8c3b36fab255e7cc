#pragma once

#include <concepts>
#include <cstddef>
#include <type_traits>

namespace trefoilwing {

/// Matches a struct and its const form, so that one field list serves encoding and decoding.
template <typename T, typename Struct>
concept Fields = std::same_as<std::remove_const_t<T>, Struct>;

/// A struct that has a field list.
///
/// A field list is an overload of visitFields in namespace trefoilwing that calls the visitor once
/// with all fields. Their order is the order on the wire: a new field is appended and needs a default
/// value, and a field is never removed, since daemons of two versions exchange messages during an
/// upgrade.
template <typename T>
concept HasFieldList = requires(T& value)
{
    visitFields([](auto&...) {}, value);
};

/// Fails to compile unless the struct has exactly `count` fields, which detects a field missing from its list.
template <size_t count, typename Struct>
constexpr void requireFieldCount(const Struct& value)
{
    // A structured binding must name every field of the struct.
    // clang-format off
    if constexpr (count == 0)
        static_assert(std::is_empty_v<Struct>);
    else if constexpr (count == 1)
        [[maybe_unused]] auto& [f1] = value;
    else if constexpr (count == 2)
        [[maybe_unused]] auto& [f1, f2] = value;
    else if constexpr (count == 3)
        [[maybe_unused]] auto& [f1, f2, f3] = value;
    else if constexpr (count == 4)
        [[maybe_unused]] auto& [f1, f2, f3, f4] = value;
    else if constexpr (count == 5)
        [[maybe_unused]] auto& [f1, f2, f3, f4, f5] = value;
    else if constexpr (count == 6)
        [[maybe_unused]] auto& [f1, f2, f3, f4, f5, f6] = value;
    else if constexpr (count == 7)
        [[maybe_unused]] auto& [f1, f2, f3, f4, f5, f6, f7] = value;
    else if constexpr (count == 8)
        [[maybe_unused]] auto& [f1, f2, f3, f4, f5, f6, f7, f8] = value;
    else if constexpr (count == 9)
        [[maybe_unused]] auto& [f1, f2, f3, f4, f5, f6, f7, f8, f9] = value;
    else if constexpr (count == 10)
        [[maybe_unused]] auto& [f1, f2, f3, f4, f5, f6, f7, f8, f9, f10] = value;
    else if constexpr (count == 11)
        [[maybe_unused]] auto& [f1, f2, f3, f4, f5, f6, f7, f8, f9, f10, f11] = value;
    else if constexpr (count == 12)
        [[maybe_unused]] auto& [f1, f2, f3, f4, f5, f6, f7, f8, f9, f10, f11, f12] = value;
    else if constexpr (count == 13)
        [[maybe_unused]] auto& [f1, f2, f3, f4, f5, f6, f7, f8, f9, f10, f11, f12, f13] = value;
    else if constexpr (count == 14)
        [[maybe_unused]] auto& [f1, f2, f3, f4, f5, f6, f7, f8, f9, f10, f11, f12, f13, f14] = value;
    else if constexpr (count == 15)
        [[maybe_unused]] auto& [f1, f2, f3, f4, f5, f6, f7, f8, f9, f10, f11, f12, f13, f14, f15] = value;
    else if constexpr (count == 16)
        [[maybe_unused]] auto& [f1, f2, f3, f4, f5, f6, f7, f8, f9, f10, f11, f12, f13, f14, f15, f16] = value;
    else if constexpr (count == 17)
        [[maybe_unused]] auto& [f1, f2, f3, f4, f5, f6, f7, f8, f9, f10, f11, f12, f13, f14, f15, f16, f17] = value;
    else
        static_assert(count <= 17, "extend the list above");
    // clang-format on
}

/// The last enumerator of an enum that is sent or stored; a decoder refuses larger numbers.
template <typename Enum>
inline constexpr Enum lastEnumerator = Enum::LastEnumeratorIsNotDeclared;

} // namespace trefoilwing
