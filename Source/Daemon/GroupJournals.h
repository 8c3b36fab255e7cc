#pragma once

#include "Adapters/Disk/DiskJournal.h"
#include "Adapters/Disk/PosixFileSystem.h"
#include "Base/Error.h"
#include "Model/Identifiers.h"
#include "Model/Settings.h"

#include <map>
#include <memory>
#include <vector>

namespace trefoilwing {

/// The journals of the replicated groups that a daemon belongs to, each in its own subfolder of the data folder.
class GroupJournals {
public:
    /// Opens the journals of all groups. A daemon without a data folder has none.
    /// @param offered the incarnation that is stored in new folders.
    /// @return the journals, or the first error, which names the file and the remedy.
    static Result<std::unique_ptr<GroupJournals>> open(const DaemonSettings&, const std::vector<GroupId>&, Incarnation offered);

    /// @return the group's journal, or null if there is none.
    DiskJournal* find(const GroupId&) const;

    /// Syncs pending writes and stops the journals' threads.
    void stop();

private:
    GroupJournals() = default;

    PosixFileSystem files_;
    std::map<GroupId, std::unique_ptr<DiskJournal>> journals_;
};

} // namespace trefoilwing
