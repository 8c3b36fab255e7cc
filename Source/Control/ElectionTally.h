#pragma once

#include <cstddef>
#include <string_view>

namespace trefoilwing {

/// The answers of the voters in one election or pre-vote.
struct ElectionTally {
    /// Number of votes, including the candidate's own.
    size_t granted = 0;
    /// Number of voters that refused. Voters that know a live leader don't answer at all.
    size_t refused = 0;

    friend bool operator==(const ElectionTally&, const ElectionTally&) = default;
};

/// @return why an election without a majority for the candidate failed, for logs.
std::string_view failureReason(const ElectionTally&, size_t voters);

} // namespace trefoilwing
