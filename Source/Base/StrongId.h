#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

namespace trefoilwing {

/// An identifier that only compares with, and converts to, its own kind.
///
/// @tparam Tag an empty type that names the kind of identifier.
/// @tparam Rep the representation: a string for names, an integer for numbers.
template <typename Tag, typename Rep>
class StrongId {
public:
    using Representation = Rep;

    StrongId() = default;
    explicit StrongId(Rep value)
        : value_(std::move(value))
    {
    }

    /// @return the bare value, for codecs and log lines.
    const Rep& value() const { return value_; }

    // The check takes the 0 that the compiler puts into a defaulted comparison for a null pointer.
    friend auto operator<=>(const StrongId&, const StrongId&) = default; // NOLINT(modernize-use-nullptr)
    friend bool operator==(const StrongId&, const StrongId&) = default;

    template <typename H>
    friend H AbslHashValue(H state, const StrongId& id)
    {
        return H::combine(std::move(state), id.value_);
    }

private:
    Rep value_ {};
};

} // namespace trefoilwing
