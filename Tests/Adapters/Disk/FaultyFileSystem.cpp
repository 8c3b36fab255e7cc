#include "Disk/FaultyFileSystem.h"

#include <algorithm>

namespace trefoilwing {

class FaultyFileSystem::File final : public AppendFile {
public:
    File(FaultyFileSystem& owner, std::string path)
        : owner_(owner)
        , path_(std::move(path))
    {
    }

    Result<Done> append(std::string_view bytes) override { return owner_.append(path_, bytes); }
    Result<Done> sync() override { return owner_.sync(path_); }

private:
    FaultyFileSystem& owner_;
    std::string path_;
};

Result<Done> FaultyFileSystem::spend(uint64_t cost)
{
    const uint64_t before = used_;
    used_ += cost;
    if (before >= budget_ || used_ > budget_)
        return Error { ErrorCode::Unavailable, "the disk is full", Verdict::MayHaveRun };
    return Done {};
}

Result<Done> FaultyFileSystem::append(const std::string& path, std::string_view bytes)
{
    const uint64_t room = budget_ > used_ ? budget_ - used_ : 0;
    files_[path].bytes += bytes.substr(0, std::min<uint64_t>(room, bytes.size()));
    return spend(bytes.size());
}

Result<Done> FaultyFileSystem::sync(const std::string& path)
{
    if (std::atomic_ref(failsSyncs_).load())
        return Error { ErrorCode::Unavailable, "can't sync", Verdict::MayHaveRun };
    auto spent = spend(1);
    if (errorOf(spent))
        return spent;
    Content& content = files_[path];
    content.synced = content.bytes.size();
    if (durable_.contains(path))
        durable_[path] = content;
    return spent;
}

void FaultyFileSystem::crash(Unsynced unsynced)
{
    budget_ = std::numeric_limits<uint64_t>::max();
    failsSyncs_ = false;
    if (unsynced == Unsynced::Lost)
        files_ = durable_;
    for (auto& [path, content] : files_) {
        const uint64_t tail = content.bytes.size() - content.synced;
        if (unsynced == Unsynced::Lost)
            content.bytes.resize(content.synced);
        else if (unsynced == Unsynced::HalfKept)
            content.bytes.resize(content.synced + tail / 2);
        content.synced = content.bytes.size();
    }
    durable_ = files_;
}

Result<std::vector<std::string>> FaultyFileSystem::list(const std::string& folder)
{
    if (auto spent = spend(1); errorOf(spent))
        return *errorOf(spent);
    std::vector<std::string> names;
    for (const auto& [path, content] : files_)
        names.push_back(path.substr(folder.size() + 1));
    return names;
}

Result<std::string> FaultyFileSystem::read(const std::string& path)
{
    if (auto spent = spend(1); errorOf(spent))
        return *errorOf(spent);
    return files_.at(path).bytes;
}

Result<std::unique_ptr<AppendFile>> FaultyFileSystem::open(const std::string& path)
{
    if (auto spent = spend(1); errorOf(spent))
        return *errorOf(spent);
    files_[path];
    return std::make_unique<File>(*this, path);
}

Result<Done> FaultyFileSystem::truncate(const std::string& path, uint64_t size)
{
    auto spent = spend(1);
    if (errorOf(spent))
        return spent;
    files_.at(path).bytes.resize(size);
    return sync(path);
}

Result<Done> FaultyFileSystem::rename(const std::string& from, const std::string& to)
{
    auto spent = spend(1);
    if (!errorOf(spent)) {
        files_[to] = files_.at(from);
        files_.erase(from);
    }
    return spent;
}

Result<Done> FaultyFileSystem::remove(const std::string& path)
{
    auto spent = spend(1);
    if (!errorOf(spent))
        files_.erase(path);
    return spent;
}

Result<Done> FaultyFileSystem::syncFolder(const std::string&)
{
    if (std::atomic_ref(failsSyncs_).load())
        return Error { ErrorCode::Unavailable, "can't sync", Verdict::MayHaveRun };
    auto spent = spend(1);
    if (errorOf(spent))
        return spent;
    // The names are durable now, but of the bytes only those that were synced.
    durable_ = files_;
    for (auto& [path, content] : durable_)
        content.bytes.resize(content.synced);
    return spent;
}

} // namespace trefoilwing
