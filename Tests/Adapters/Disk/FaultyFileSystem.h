#pragma once

#include "Adapters/Disk/FileSystem.h"

#include <atomic>
#include <limits>
#include <map>

namespace trefoilwing {

/// In-memory file system that can fail after a number of bytes, fail to sync, or lose unsynced data in a crash.
class FaultyFileSystem final : public FileSystem {
public:
    /// How much of the unsynced bytes a crash leaves.
    enum class Unsynced {
        Kept,
        Lost,
        HalfKept,
    };

    /// Makes all calls fail after a number of written bytes; a call without bytes counts as one.
    void stopAfter(uint64_t budget) { budget_ = budget; }
    /// Makes all calls succeed again, without a crash.
    void acceptAll() { budget_ = std::numeric_limits<uint64_t>::max(); }
    /// May be called while another thread uses the files.
    void failSyncs(bool isFailing) { std::atomic_ref(failsSyncs_).store(isFailing); }
    uint64_t used() const { return used_; }

    /// Simulates a crash and restart of the machine; calls succeed again afterwards.
    void crash(Unsynced);

    /// Corrupts one byte of a file.
    void damage(const std::string& path, uint64_t offset) { files_.at(path).bytes[offset] ^= 1; }
    uint64_t sizeOf(const std::string& path) const { return files_.at(path).bytes.size(); }

    Result<Done> makeFolder(const std::string&) override { return spend(1); }
    Result<std::vector<std::string>> list(const std::string& folder) override;
    Result<std::string> read(const std::string& path) override;
    Result<std::unique_ptr<AppendFile>> open(const std::string& path) override;
    Result<Done> truncate(const std::string& path, uint64_t size) override;
    Result<Done> rename(const std::string& from, const std::string& to) override;
    Result<Done> remove(const std::string& path) override;
    Result<Done> syncFolder(const std::string& folder) override;

private:
    class File;
    struct Content {
        std::string bytes;
        uint64_t synced = 0;
    };

    Result<Done> spend(uint64_t cost);
    Result<Done> append(const std::string& path, std::string_view);
    Result<Done> sync(const std::string& path);

    std::map<std::string, Content> files_;
    /// The files that are guaranteed to be there after a crash.
    std::map<std::string, Content> durable_;
    uint64_t budget_ = std::numeric_limits<uint64_t>::max();
    uint64_t used_ = 0;
    bool failsSyncs_ = false;
};

} // namespace trefoilwing
