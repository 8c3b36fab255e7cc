#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

namespace trefoilwing {

/// A typed identifier: identifiers with different tags can be neither compared with each other nor converted.
///
/// @tparam Tag an empty type that distinguishes this kind of identifier from others.
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

    /// @return the underlying value, for codecs and log lines.
    const Rep& value() const { return value_; }

    // The linter mistakes the 0 that the compiler generates in a defaulted comparison for a null pointer.
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
