#pragma once

#include "Adapters/Disk/FileSystem.h"

#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace trefoilwing {

/// A disk with a cache: what was written is seen at once, but is durable only once it is synced.
///
/// When the process is killed, the cache stays. When power is lost, each write since a file's last sync is present,
/// missing or torn, and each name that was created, renamed or removed since the folder's last sync is kept or lost, all
/// independently. A new file is durable with its own sync. The disk holds one folder.
class ModelDisk final : public FileSystem {
public:
    /// Chooses one of several outcomes, numbered from 0.
    using Chooser = std::function<uint64_t(uint64_t outcomes)>;

    /// Ends the process at the given step: that call and all later ones fail, and change nothing. Each change, and each
    /// half of a write, is a step.
    void killAt(uint64_t step) { lastStep_ = step; }
    uint64_t steps() const { return steps_; }
    /// Starts another process. Files that the earlier one had open can't be used any more.
    void restartProcess();
    /// Loses power and starts another process.
    void losePower(const Chooser&);

    Result<Done> makeFolder(const std::string&) override { return step(); }
    Result<std::vector<std::string>> list(const std::string& folder) override;
    Result<std::string> read(const std::string& path) override;
    Result<std::unique_ptr<AppendFile>> open(const std::string& path) override;
    Result<Done> truncate(const std::string& path, uint64_t size) override;
    Result<Done> rename(const std::string& from, const std::string& to) override;
    Result<Done> remove(const std::string& path) override;
    Result<Done> syncFolder(const std::string& folder) override;

private:
    class File;

    struct Write {
        uint64_t offset = 0;
        std::string bytes;
    };

    struct Content {
        std::string cached;
        std::string durable;
        /// What was written since the last sync.
        std::vector<Write> unsynced;
        bool wasSynced = false;
    };
    using ContentPtr = std::shared_ptr<Content>;

    Result<Done> step();
    Result<Done> append(Content&, std::string_view);
    Result<Done> sync(const ContentPtr&);
    static void loseUnsynced(Content&, const Chooser&);

    std::map<std::string, ContentPtr> names_;
    std::map<std::string, ContentPtr> durableNames_;
    uint64_t steps_ = 0;
    uint64_t lastStep_ = std::numeric_limits<uint64_t>::max();
};

} // namespace trefoilwing
