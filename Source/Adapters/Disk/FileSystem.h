#pragma once

#include "Base/Error.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace trefoilwing {

/// A file that only grows.
class AppendFile {
public:
    virtual ~AppendFile() = default;

    virtual Result<Done> append(std::string_view bytes) = 0;

    /// What was appended outlasts a crash once this succeeds.
    virtual Result<Done> sync() = 0;
};

/// The calls on files that a journal needs, so that tests can make each of them fail.
class FileSystem {
public:
    virtual ~FileSystem() = default;

    /// Makes a folder and those above it; one that exists is no error.
    virtual Result<Done> makeFolder(const std::string& folder) = 0;
    /// @return the names of a folder's files, sorted.
    virtual Result<std::vector<std::string>> list(const std::string& folder) = 0;
    virtual Result<std::string> read(const std::string& path) = 0;
    /// Opens a file for appending; it is made if it isn't there.
    virtual Result<std::unique_ptr<AppendFile>> open(const std::string& path) = 0;
    /// Shortens a file, and syncs it.
    virtual Result<Done> truncate(const std::string& path, uint64_t size) = 0;
    virtual Result<Done> rename(const std::string& from, const std::string& to) = 0;
    virtual Result<Done> remove(const std::string& path) = 0;
    /// Makes the coming and going of a folder's files outlast a crash.
    virtual Result<Done> syncFolder(const std::string& folder) = 0;
};

} // namespace trefoilwing
