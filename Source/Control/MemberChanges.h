#pragma once

#include "Model/LogRecord.h"

#include <cstddef>
#include <string_view>
#include <vector>

namespace trefoilwing {

enum class MemberChangeKind {
    /// A daemon that had no member was added as a learner.
    LearnerAdded,
    /// A daemon that had no member is a voter at once: the group was founded, or this member read its log at the start.
    VoterAdded,
    /// A member was replaced, as a learner, by a newer member of the same daemon, which lost its storage.
    Succeeded,
    Promoted,
    /// A voter or learner was removed without a successor: it was silent, or an operator removed it.
    Removed,
};

/// One difference between two lists of a group's members.
struct MemberChange {
    MemberChangeKind kind;
    /// The member concerned; for Succeeded the new one.
    MemberId member;
    /// Whether the member, or its predecessor, was a voter before the change.
    bool wasVoter = false;

    friend bool operator==(const MemberChange&, const MemberChange&) = default;
};

/// The number of voters of a group, and how many of them may be lost before no majority is left.
struct QuorumMargin {
    size_t voters = 0;
    size_t losses = 0;

    friend bool operator==(const QuorumMargin&, const QuorumMargin&) = default;
};

/// @return the changes that lead from one list of members to the next one.
std::vector<MemberChange> changesBetween(const std::vector<Member>& earlier, const std::vector<Member>& later);

QuorumMargin quorumMargin(const std::vector<Member>&);

/// @return the name of the change in logs and metrics.
std::string_view nameOf(MemberChangeKind);

} // namespace trefoilwing
