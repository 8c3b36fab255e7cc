#pragma once

#include "Adapters/Disk/FileSystem.h"

namespace trefoilwing {

/// The files of the operating system, through POSIX calls.
class PosixFileSystem final : public FileSystem {
public:
    Result<Done> makeFolder(const std::string& folder) override;
    Result<std::vector<std::string>> list(const std::string& folder) override;
    Result<std::string> read(const std::string& path) override;
    Result<std::unique_ptr<AppendFile>> open(const std::string& path) override;
    Result<Done> truncate(const std::string& path, uint64_t size) override;
    Result<Done> rename(const std::string& from, const std::string& to) override;
    Result<Done> remove(const std::string& path) override;
    Result<Done> syncFolder(const std::string& folder) override;
};

} // namespace trefoilwing
