#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <optional>
#include <vector>

namespace trefoilwing {

/// Gives each distinct value a small number, for state that repeats few values very often.
///
/// Values are never dropped, so it suits those that are few over a daemon's life.
template <typename T>
class InternTable {
public:
    using Index = uint32_t;

    /// @return the value's number, a new one where it hasn't come before.
    Index add(const T& value)
    {
        auto [place, isNew] = numbers_.try_emplace(value, static_cast<Index>(values_.size()));
        if (isNew)
            values_.push_back(value);
        return place->second;
    }

    /// @return the value's number, if it has one.
    std::optional<Index> find(const T& value) const
    {
        auto found = numbers_.find(value);
        if (found == numbers_.end())
            return std::nullopt;
        return found->second;
    }

    const T& operator[](Index index) const { return values_[index]; }

private:
    std::vector<T> values_;
    absl::flat_hash_map<T, Index> numbers_;
};

} // namespace trefoilwing
