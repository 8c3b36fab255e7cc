#include "Ctl/StatusCommand.h"

#include "Ctl/EntryOptions.h"
#include "Ctl/TextTable.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <map>

namespace trefoilwing {

namespace {

    std::string rolesOf(const DaemonStatus& status)
    {
        if (status.isEntry && status.isKeeper)
            return "entry, keeper";
        return status.isKeeper ? "keeper" : "entry";
    }

    std::string stateOf(const DaemonStatus& status)
    {
        if (status.isDrained)
            return "drained";
        return status.isDraining ? "draining" : "serving";
    }

    std::string peersOf(const DaemonStatus& status)
    {
        const auto reachable = std::count_if(status.peers.begin(), status.peers.end(), [](const PeerStatus& peer) { return peer.isReachable; });
        return absl::StrCat(reachable, " of ", status.peers.size());
    }

    void showDaemons(const std::vector<DaemonStatus>& statuses, Console& console)
    {
        TextTable table({ "DAEMON", "DATA CENTRE", "ROLES", "STATE", "VERSION", "PEERS REACHED" });
        for (const DaemonStatus& status : statuses)
            table.add({ status.daemon.value(), status.dataCentre.value(), rolesOf(status), stateOf(status), absl::StrCat(status.configuration.value()), peersOf(status) });
        console.out << table;
    }

    /// Daemons may report different states of a group. The one with the latest term and, within it, the highest commit
    /// index is shown.
    void showGroups(const std::vector<DaemonStatus>& statuses, Console& console)
    {
        std::map<GroupId, GroupStatus> latest;
        for (const DaemonStatus& status : statuses) {
            for (const GroupStatus& group : status.groups) {
                GroupStatus& known = latest[group.group];
                if (std::tie(group.term, group.committed) >= std::tie(known.term, known.committed))
                    known = group;
            }
        }
        TextTable table({ "GROUP", "LEADER", "TERM", "COMMITTED", "VOTERS", "LEARNERS" });
        for (const auto& [id, group] : latest) {
            std::string voters;
            std::string learners;
            for (const MemberStatus& member : group.members) {
                std::string& list = member.isVoter ? voters : learners;
                absl::StrAppend(&list, list.empty() ? "" : " ", member.daemon.value(), member.hasDisk ? "*" : "");
            }
            table.add({ id.value(), group.leader.value().empty() ? "none" : group.leader.value(), absl::StrCat(group.term.value()), absl::StrCat(group.committed.value()), voters, learners });
        }
        if (!latest.empty())
            console.out << "\n"
                        << table << "* has a disk\n";
    }

    /// The daemons of a data centre report the same minions, so the largest count is shown instead of a sum.
    void showMinions(const std::vector<DaemonStatus>& statuses, Console& console)
    {
        const auto total = [](const MinionCounts& counts) { return counts.serving + counts.leaving + counts.ejected; };
        std::map<std::pair<DataCentreId, ServiceId>, MinionCounts> largest;
        for (const DaemonStatus& status : statuses) {
            for (const MinionCounts& counts : status.minions) {
                MinionCounts& known = largest[{ status.dataCentre, counts.service }];
                if (total(counts) >= total(known))
                    known = counts;
            }
        }
        TextTable table({ "DATA CENTRE", "SERVICE", "SERVING", "LEAVING", "EJECTED", "SLOTS", "BUSY" });
        for (const auto& [key, counts] : largest)
            table.add({ key.first.value(), key.second.value(), absl::StrCat(counts.serving), absl::StrCat(counts.leaving), absl::StrCat(counts.ejected), absl::StrCat(counts.slots.value()), absl::StrCat(counts.busySlots.value()) });
        if (!largest.empty())
            console.out << "\n"
                        << table;
    }

    void showQueues(const std::vector<DaemonStatus>& statuses, Console& console)
    {
        std::map<std::pair<ServiceId, BackerId>, QueueStatus> sums;
        for (const DaemonStatus& status : statuses) {
            for (const QueueStatus& queue : status.queues) {
                QueueStatus& sum = sums[{ queue.service, queue.backer }];
                sum.jobs += queue.jobs;
                sum.waitingTasks += queue.waitingTasks;
                sum.runningTasks += queue.runningTasks;
            }
        }
        TextTable table({ "SERVICE", "BACKER", "JOBS", "TASKS WAITING", "TASKS RUNNING" });
        for (const auto& [key, sum] : sums)
            table.add({ key.first.value(), key.second.value(), absl::StrCat(sum.jobs), absl::StrCat(sum.waitingTasks), absl::StrCat(sum.runningTasks) });
        if (!sums.empty())
            console.out << "\n"
                        << table;
    }

} // namespace

StatusCommand::StatusCommand(OperatorLinkFactory factory)
    : factory_(std::move(factory))
{
}

std::vector<Option> StatusCommand::options() const
{
    return entryOptions();
}

ExitCode StatusCommand::run(const CommandLine& line, Console& console)
{
    const auto links = entryLinks(line, factory_);
    if (const Error* error = errorOf(links))
        return reportUsage(console, error->message);
    std::vector<DaemonStatus> statuses;
    for (const std::unique_ptr<OperatorLink>& link : *valueOf(links)) {
        const Result<DaemonStatus> status = link->status();
        if (const Error* error = errorOf(status))
            console.err << error->message << "\n";
        else
            statuses.push_back(*valueOf(status));
    }
    if (statuses.empty())
        return ExitCode::Unreachable;
    showDaemons(statuses, console);
    showGroups(statuses, console);
    showMinions(statuses, console);
    showQueues(statuses, console);
    return statuses.size() == valueOf(links)->size() ? ExitCode::Ok : ExitCode::Failed;
}

} // namespace trefoilwing
