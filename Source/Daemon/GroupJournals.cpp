#include "Daemon/GroupJournals.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_replace.h>

#include <utility>

namespace trefoilwing {

Result<std::unique_ptr<GroupJournals>> GroupJournals::open(const DaemonSettings& settings, const std::vector<GroupId>& groups, Incarnation offered)
{
    std::unique_ptr<GroupJournals> journals(new GroupJournals);
    if (settings.dataFolder.empty())
        return journals;
    for (const GroupId& group : groups) {
        const std::string folder = absl::StrCat(settings.dataFolder, "/", absl::StrReplaceAll(group.value(), { { "/", "-" } }));
        auto opened = DiskJournal::open(journals->files_, folder, offered);
        if (const Error* error = errorOf(opened))
            return *error;
        journals->journals_.emplace(group, std::get<std::unique_ptr<DiskJournal>>(std::move(opened)));
    }
    return journals;
}

DiskJournal* GroupJournals::find(const GroupId& group) const
{
    const auto found = journals_.find(group);
    return found == journals_.end() ? nullptr : found->second.get();
}

void GroupJournals::stop()
{
    for (const auto& [group, journal] : journals_)
        journal->stop();
}

} // namespace trefoilwing
