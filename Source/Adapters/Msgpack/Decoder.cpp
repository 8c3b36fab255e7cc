#include "Adapters/Msgpack/Decoder.h"

#include <msgpack/null_visitor.hpp>
#include <msgpack/parse.hpp>

#include <exception>

namespace trefoilwing {

namespace {

    /// Checks that the bytes are complete without allocating the sizes that they announce, and stops at maxDepth.
    class StructureCheck : public msgpack::null_visitor {
    public:
        bool start_array(uint32_t) { return enter(); } // NOLINT(readability-identifier-naming): msgpack's name.
        bool start_map(uint32_t) { return enter(); } // NOLINT(readability-identifier-naming): msgpack's name.
        bool end_array() { return leave(); } // NOLINT(readability-identifier-naming): msgpack's name.
        bool end_map() { return leave(); } // NOLINT(readability-identifier-naming): msgpack's name.

    private:
        bool enter() { return ++depth_ <= Decoder::maxDepth; }

        bool leave()
        {
            --depth_;
            return true;
        }

        size_t depth_ = 0;
    };

    bool holdsOneValue(std::string_view bytes)
    {
        StructureCheck check;
        size_t offset = 0;
        return msgpack::parse(bytes.data(), bytes.size(), offset, check) && offset == bytes.size();
    }

    /// Lets strings refer to the input instead of copying them, since the bytes outlive the decoder.
    bool referencesBytes(msgpack::type::object_type, size_t, void*)
    {
        return true;
    }

} // namespace

Decoder::Decoder(std::string_view bytes)
{
    try {
        if (!holdsOneValue(bytes))
            reason_ = "not exactly one complete value";
        else
            root_ = msgpack::unpack(bytes.data(), bytes.size(), referencesBytes);
    } catch (const std::exception&) {
        reason_ = "not valid msgpack";
    }
}

std::optional<uint64_t> Decoder::alternativeNumber() const
{
    const Object& root = root_.get();
    if (root.type != msgpack::type::ARRAY || root.via.array.size != 2)
        return std::nullopt;
    if (root.via.array.ptr[0].type != msgpack::type::POSITIVE_INTEGER)
        return std::nullopt;
    return root.via.array.ptr[0].via.u64;
}

bool Decoder::fail(std::string_view reason)
{
    reason_ = reason;
    return false;
}

bool Decoder::get(const Object& object, bool& value)
{
    if (object.type != msgpack::type::BOOLEAN)
        return fail("expected a boolean");
    value = object.via.boolean;
    return true;
}

bool Decoder::get(const Object& object, double& value)
{
    // The packer writes doubles without a fractional part as integers.
    switch (object.type) {
    case msgpack::type::FLOAT64:
    case msgpack::type::FLOAT32:
        value = object.via.f64;
        return true;
    case msgpack::type::POSITIVE_INTEGER:
        value = static_cast<double>(object.via.u64);
        return true;
    case msgpack::type::NEGATIVE_INTEGER:
        value = static_cast<double>(object.via.i64);
        return true;
    default:
        return fail("expected a number");
    }
}

bool Decoder::get(const Object& object, std::string& value)
{
    if (object.type != msgpack::type::STR)
        return fail("expected a string");
    value.assign(object.via.str.ptr, object.via.str.size);
    return true;
}

bool Decoder::get(const Object& object, std::monostate&)
{
    return object.type == msgpack::type::NIL || fail("expected nil");
}

bool Decoder::get(const Object& object, absl::Time& value)
{
    int64_t micros = 0;
    if (!get(object, micros))
        return false;
    // The encoder writes infinite times as the smallest and largest integers.
    if (micros == std::numeric_limits<int64_t>::max())
        value = absl::InfiniteFuture();
    else if (micros == std::numeric_limits<int64_t>::min())
        value = absl::InfinitePast();
    else
        value = absl::FromUnixMicros(micros);
    return true;
}

bool Decoder::get(const Object& object, absl::Duration& value)
{
    int64_t micros = 0;
    if (!get(object, micros))
        return false;
    if (micros == std::numeric_limits<int64_t>::max())
        value = absl::InfiniteDuration();
    else if (micros == std::numeric_limits<int64_t>::min())
        value = -absl::InfiniteDuration();
    else
        value = absl::Microseconds(micros);
    return true;
}

} // namespace trefoilwing
