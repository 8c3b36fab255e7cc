#include "Control/MemberChanges.h"

#include <algorithm>
#include <array>

namespace trefoilwing {

namespace {

    const Member* memberOf(const std::vector<Member>& members, const DaemonId& daemon)
    {
        const auto found = std::find_if(members.begin(), members.end(), [&](const Member& member) { return member.id.daemon == daemon; });
        return found == members.end() ? nullptr : &*found;
    }

} // namespace

std::vector<MemberChange> changesBetween(const std::vector<Member>& earlier, const std::vector<Member>& later)
{
    std::vector<MemberChange> changes;
    for (const Member& member : later) {
        const Member* before = memberOf(earlier, member.id.daemon);
        if (!before)
            changes.push_back({ member.isVoter ? MemberChangeKind::VoterAdded : MemberChangeKind::LearnerAdded, member.id, false });
        else if (before->id != member.id)
            changes.push_back({ MemberChangeKind::Succeeded, member.id, before->isVoter });
        else if (member.isVoter && !before->isVoter)
            changes.push_back({ MemberChangeKind::Promoted, member.id, false });
    }
    for (const Member& member : earlier) {
        if (!memberOf(later, member.id.daemon))
            changes.push_back({ MemberChangeKind::Removed, member.id, member.isVoter });
    }
    return changes;
}

QuorumMargin quorumMargin(const std::vector<Member>& members)
{
    const auto voters = static_cast<size_t>(std::count_if(members.begin(), members.end(), [](const Member& member) { return member.isVoter; }));
    return { voters, voters == 0 ? 0 : (voters - 1) / 2 };
}

std::string_view nameOf(MemberChangeKind kind)
{
    static constexpr std::array<std::string_view, 5> names { "learner_added", "voter_added", "succeeded", "promoted", "removed" };
    return names.at(static_cast<size_t>(kind));
}

} // namespace trefoilwing
