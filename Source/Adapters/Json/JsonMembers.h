#pragma once

#include "Base/Error.h"
#include "Base/StrongId.h"

#include <absl/time/time.h>
#include <nlohmann/json.hpp>

#include <string>
#include <tuple>

// The library finds to_json and from_json by these names.
// NOLINTBEGIN(readability-identifier-naming)

namespace nlohmann {

/// A strong id is written as its bare value.
template <typename Tag, typename Rep>
struct adl_serializer<trefoilwing::StrongId<Tag, Rep>> {
    static void to_json(json& out, const trefoilwing::StrongId<Tag, Rep>& id) { out = id.value(); }
    static void from_json(const json& in, trefoilwing::StrongId<Tag, Rep>& id) { id = trefoilwing::StrongId<Tag, Rep>(in.get<Rep>()); }
};

/// A duration is written in microseconds, an infinite one as null.
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

/// A time is written in microseconds since 1970.
template <>
struct adl_serializer<absl::Time> {
    static void to_json(json& out, absl::Time time) { out = absl::ToUnixMicros(time); }
    static void from_json(const json& in, absl::Time& time) { time = absl::FromUnixMicros(in.get<int64_t>()); }
};

} // namespace nlohmann

namespace trefoilwing {

/// One member of a struct under its name in JSON.
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

/// A struct with a table of its members: a function jsonMembers(const T*) that returns a tuple of JsonMember.
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

/// Members that the object lacks keep their value, so that daemons of different versions understand each other.
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

/// Parses a body of bounded depth.
/// @return the document, or Malformed.
Result<nlohmann::json> parseJson(const std::string& body);

/// @return the text of a document; bytes that aren't UTF-8 are replaced.
std::string jsonText(const nlohmann::json&);

} // namespace trefoilwing
