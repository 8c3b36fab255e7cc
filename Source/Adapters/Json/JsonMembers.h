#pragma once

#include "Base/Error.h"
#include "Base/StrongId.h"

#include <absl/time/time.h>
#include <nlohmann/json.hpp>

#include <string>
#include <tuple>

// nlohmann/json finds to_json and from_json by these names.
// NOLINTBEGIN(readability-identifier-naming)

namespace nlohmann {

/// Serialises a strong id as its plain value.
template <typename Tag, typename Rep>
struct adl_serializer<trefoilwing::StrongId<Tag, Rep>> {
    static void to_json(json& out, const trefoilwing::StrongId<Tag, Rep>& id) { out = id.value(); }
    static void from_json(const json& in, trefoilwing::StrongId<Tag, Rep>& id) { id = trefoilwing::StrongId<Tag, Rep>(in.get<Rep>()); }
};

/// Serialises a duration in microseconds; an infinite one as null.
template <>
struct adl_serializer<absl::Duration> {
    static void to_json(json& out, absl::Duration duration)
    {
        out = duration == absl::InfiniteDuration() ? json() : json(absl::ToInt64Microseconds(duration));
    }
    static void from_json(const json& in, absl::Duration& duration)
    {
        duration = in.is_null() ? absl::InfiniteDuration() : absl::Microseconds(in.get<int64_t>());
    }
};

/// Serialises a time in microseconds since the Unix epoch.
template <>
struct adl_serializer<absl::Time> {
    static void to_json(json& out, absl::Time time) { out = absl::ToUnixMicros(time); }
    static void from_json(const json& in, absl::Time& time) { time = absl::FromUnixMicros(in.get<int64_t>()); }
};

} // namespace nlohmann

namespace trefoilwing {

/// A member of a struct and its name in JSON.
template <typename T, typename V>
struct JsonMember {
    const char* name;
    V T::*member;
};

template <typename T, typename V>
constexpr JsonMember<T, V> jsonMember(const char* name, V T::*member)
{
    return { name, member };
}

/// Satisfied by a struct that has a table of its members: a function jsonMembers(const T*) that returns a tuple of
/// JsonMember.
template <typename T>
concept HasJsonMembers = requires(const T* none)
{
    jsonMembers(none);
};

template <HasJsonMembers T>
void to_json(nlohmann::json& out, const T& value)
{
    out = nlohmann::json::object();
    std::apply([&](const auto&... each) { ((out[each.name] = value.*each.member), ...); }, jsonMembers(&value));
}

/// Members missing from the object keep their value, for compatibility between daemons of different versions.
template <HasJsonMembers T>
void from_json(const nlohmann::json& in, T& value)
{
    const auto read = [&](const auto& each) {
        if (const auto found = in.find(each.name); found != in.end())
            found->get_to(value.*each.member);
    };
    std::apply([&](const auto&... each) { (read(each), ...); }, jsonMembers(&value));
}

// NOLINTEND(readability-identifier-naming)

/// Parses a body whose nesting depth is limited to 16 levels.
/// @return the document, or a Malformed error.
Result<nlohmann::json> parseJson(const std::string& body);

/// @return the document as JSON text; invalid UTF-8 bytes are replaced.
std::string jsonText(const nlohmann::json&);

} // namespace trefoilwing
