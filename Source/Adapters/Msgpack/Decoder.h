#pragma once

#include "Adapters/Msgpack/FieldList.h"
#include "Base/Error.h"
#include "Base/StrongId.h"

#include <absl/time/time.h>
#include <msgpack/unpack.hpp>

#include <array>
#include <concepts>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

namespace trefoilwing {

/// Decodes values from untrusted msgpack bytes: malformed bytes give an error, never an exception.
///
/// The bytes are first validated without allocating, so that memory for an array is taken only once all
/// its elements are known to be present, and the nesting depth is limited.
class Decoder {
public:
    /// Maximum nesting depth of a value; messages stay far below it.
    static constexpr size_t maxDepth = 32;

    /// @param bytes should hold exactly one value; they must outlive the decoder.
    explicit Decoder(std::string_view bytes);

    /// @return the value, or an error that says why the bytes don't hold one.
    template <typename T>
    Result<T> take()
    {
        T value {};
        if (reason_.empty() && get(root_.get(), value))
            return value;
        return Error { ErrorCode::Malformed, "undecodable message: " + reason_ };
    }

    /// @return the index of the alternative if the bytes hold the array of a variant, else nothing.
    std::optional<uint64_t> alternativeNumber() const;

private:
    using Object = msgpack::object;

    bool fail(std::string_view reason);

    bool get(const Object&, bool&);
    bool get(const Object&, double&);
    bool get(const Object&, std::string&);
    bool get(const Object&, std::monostate&);
    bool get(const Object&, absl::Time&);
    bool get(const Object&, absl::Duration&);

    template <std::integral Integer>
    bool get(const Object& object, Integer& value)
    {
        if (object.type == msgpack::type::POSITIVE_INTEGER && std::in_range<Integer>(object.via.u64))
            value = static_cast<Integer>(object.via.u64);
        else if (object.type == msgpack::type::NEGATIVE_INTEGER && std::in_range<Integer>(object.via.i64))
            value = static_cast<Integer>(object.via.i64);
        else
            return fail("expected an integer in range");
        return true;
    }

    template <typename Enum>
    requires std::is_enum_v<Enum>
    bool get(const Object& object, Enum& value)
    {
        uint32_t number = 0;
        if (!get(object, number))
            return false;
        if (number > static_cast<uint32_t>(lastEnumerator<Enum>))
            return fail("unknown enumerator");
        value = static_cast<Enum>(number);
        return true;
    }

    template <typename Tag, typename Rep>
    bool get(const Object& object, StrongId<Tag, Rep>& value)
    {
        Rep bare {};
        if (!get(object, bare))
            return false;
        value = StrongId<Tag, Rep>(std::move(bare));
        return true;
    }

    template <typename T>
    bool get(const Object& object, std::vector<T>& values)
    {
        if (object.type != msgpack::type::ARRAY)
            return fail("expected an array");
        values.resize(object.via.array.size);
        for (uint32_t i = 0; i < object.via.array.size; ++i) {
            if (!get(object.via.array.ptr[i], values[i]))
                return false;
        }
        return true;
    }

    template <typename Key, typename T>
    bool get(const Object& object, std::map<Key, T>& values)
    {
        if (object.type != msgpack::type::MAP)
            return fail("expected a map");
        for (uint32_t i = 0; i < object.via.map.size; ++i) {
            Key key {};
            if (!get(object.via.map.ptr[i].key, key) || !get(object.via.map.ptr[i].val, values[std::move(key)]))
                return false;
        }
        return true;
    }

    template <typename T>
    bool get(const Object& object, std::optional<T>& value)
    {
        if (object.type == msgpack::type::NIL) {
            value.reset();
            return true;
        }
        return get(object, value.emplace());
    }

    template <typename... Alternatives>
    bool get(const Object& object, std::variant<Alternatives...>& value)
    {
        using Variant = std::variant<Alternatives...>;
        using Getter = bool (Decoder::*)(const Object&, Variant&);
        static constexpr std::array<Getter, sizeof...(Alternatives)> getters { &Decoder::getAlternative<Variant, Alternatives>... };

        if (object.type != msgpack::type::ARRAY || object.via.array.size != 2)
            return fail("expected an array of the index and value of an alternative");
        size_t number = 0;
        if (!get(object.via.array.ptr[0], number))
            return false;
        if (number >= getters.size())
            return fail("unknown alternative of a variant");
        return (this->*getters[number])(object.via.array.ptr[1], value);
    }

    template <typename Variant, typename Alternative>
    bool getAlternative(const Object& object, Variant& value)
    {
        return get(object, value.template emplace<Alternative>());
    }

    template <HasFieldList Struct>
    bool get(const Object& object, Struct& value)
    {
        if (object.type != msgpack::type::ARRAY)
            return fail("expected an array of the fields of a struct");
        bool isGood = true;
        visitFields([&](auto&... fields) { isGood = this->getFields(object.via.array, fields...); }, value);
        return isGood;
    }

    /// Fields missing from an older sender keep their defaults; additional fields of a newer one are ignored.
    template <typename... Values>
    bool getFields(const msgpack::object_array& array, Values&... values)
    {
        [[maybe_unused]] uint32_t next = 0;
        return (getField(array, next, values) && ...);
    }

    bool getField(const msgpack::object_array& array, uint32_t& next, auto& value)
    {
        if (next >= array.size)
            return true;
        return get(array.ptr[next++], value);
    }

    msgpack::object_handle root_;
    std::string reason_;
};

} // namespace trefoilwing
