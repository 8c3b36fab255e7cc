#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <optional>
#include <vector>

namespace trefoilwing {

/// Assigns a small integer to each distinct value, to save memory where a few values occur very often.
///
/// Values are never removed, so use it only where a daemon meets few distinct values in its lifetime.
template <typename T>
class InternTable {
public:
    using Index = uint32_t;

    /// @return the value's number, which is assigned on the first call for the value.
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
