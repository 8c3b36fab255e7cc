#pragma once

#include "Base/Error.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace trefoilwing {

/// A file opened for appending.
class AppendFile {
public:
    virtual ~AppendFile() = default;

    virtual Result<Done> append(std::string_view bytes) = 0;

    /// Makes the appended bytes durable: they survive a crash once this succeeds.
    virtual Result<Done> sync() = 0;
};

/// The file operations that a journal needs. Tests replace them to make each one fail.
class FileSystem {
public:
    virtual ~FileSystem() = default;

    /// Creates a folder and its parents, and makes its name durable; a folder that exists already is no error.
    virtual Result<Done> makeFolder(const std::string& folder) = 0;
    /// @return the names of a folder's files, sorted.
    virtual Result<std::vector<std::string>> list(const std::string& folder) = 0;
    virtual Result<std::string> read(const std::string& path) = 0;
    /// Opens a file for appending, and creates it if it is missing.
    virtual Result<std::unique_ptr<AppendFile>> open(const std::string& path) = 0;
    /// Truncates a file and syncs it.
    virtual Result<Done> truncate(const std::string& path, uint64_t size) = 0;
    virtual Result<Done> rename(const std::string& from, const std::string& to) = 0;
    virtual Result<Done> remove(const std::string& path) = 0;
    /// Makes the creation, renaming and removal of a folder's files durable.
    virtual Result<Done> syncFolder(const std::string& folder) = 0;
};

} // namespace trefoilwing
