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

/// The journals of a daemon's groups, each in a folder of its own below the data folder.
class GroupJournals {
public:
    /// Opens the journals of all groups; none on a VM without a disk.
    /// @param offered the incarnation of folders that are new.
    /// @return the journals, or the first error, which names file and cure.
    static Result<std::unique_ptr<GroupJournals>> open(const DaemonSettings&, const std::vector<GroupId>&, Incarnation offered);

    /// @return the group's journal, or null on a VM without a disk.
    DiskJournal* find(const GroupId&) const;

    /// Syncs what has come and ends the journals' threads.
    void stop();

private:
    GroupJournals() = default;

    PosixFileSystem files_;
    std::map<GroupId, std::unique_ptr<DiskJournal>> journals_;
};

} // namespace trefoilwing
