#include "Disk/ModelDisk.h"

#include <algorithm>
#include <set>
#include <utility>

namespace trefoilwing {

class ModelDisk::File final : public AppendFile {
public:
    File(ModelDisk& owner, ContentPtr content)
        : owner_(owner)
        , content_(std::move(content))
    {
    }

    Result<Done> append(std::string_view bytes) override { return owner_.append(*content_, bytes); }
    Result<Done> sync() override { return owner_.sync(content_); }

private:
    ModelDisk& owner_;
    ContentPtr content_;
};

Result<Done> ModelDisk::step()
{
    if (steps_ >= lastStep_)
        return Error { ErrorCode::Unavailable, "the process was killed", Verdict::MayHaveRun };
    ++steps_;
    return Done {};
}

void ModelDisk::restartProcess()
{
    steps_ = 0;
    lastStep_ = std::numeric_limits<uint64_t>::max();
}

void ModelDisk::losePower(const Chooser& choose)
{
    restartProcess();
    std::set<std::string> all;
    for (const auto& names : { names_, durableNames_ }) {
        for (const auto& [name, content] : names)
            all.insert(name);
    }
    std::set<ContentPtr> lost;
    std::map<std::string, ContentPtr> kept;
    for (const std::string& name : all) {
        const auto before = durableNames_.find(name);
        const auto after = names_.find(name);
        const ContentPtr older = before == durableNames_.end() ? nullptr : before->second;
        const ContentPtr newer = after == names_.end() ? nullptr : after->second;
        const ContentPtr& chosen = older == newer || choose(2) == 0 ? older : newer;
        if (chosen)
            kept[name] = chosen;
    }
    for (const auto& [name, content] : kept) {
        if (lost.insert(content).second)
            loseUnsynced(*content, choose);
    }
    names_ = durableNames_ = kept;
}

void ModelDisk::loseUnsynced(Content& content, const Chooser& choose)
{
    for (const Write& write : content.unsynced) {
        const uint64_t outcome = choose(3);
        const uint64_t length = outcome == 0 ? 0 : outcome == 1 ? write.bytes.size()
                                                                : write.bytes.size() / 2;
        if (length == 0)
            continue;
        content.durable.resize(std::max<uint64_t>(content.durable.size(), write.offset + length), '\0');
        content.durable.replace(write.offset, length, write.bytes, 0, length);
    }
    content.unsynced.clear();
    content.cached = content.durable;
}

Result<std::vector<std::string>> ModelDisk::list(const std::string& folder)
{
    if (auto killed = step(); errorOf(killed))
        return *errorOf(killed);
    std::vector<std::string> names;
    for (const auto& [path, content] : names_)
        names.push_back(path.substr(folder.size() + 1));
    return names;
}

Result<std::string> ModelDisk::read(const std::string& path)
{
    if (auto killed = step(); errorOf(killed))
        return *errorOf(killed);
    return names_.at(path)->cached;
}

Result<std::unique_ptr<AppendFile>> ModelDisk::open(const std::string& path)
{
    if (auto killed = step(); errorOf(killed))
        return *errorOf(killed);
    ContentPtr& content = names_[path];
    if (!content)
        content = std::make_shared<Content>();
    return std::make_unique<File>(*this, content);
}

Result<Done> ModelDisk::append(Content& content, std::string_view bytes)
{
    const size_t half = bytes.size() / 2;
    for (const std::string_view part : { bytes.substr(0, half), bytes.substr(half) }) {
        if (auto killed = step(); errorOf(killed))
            return killed;
        content.unsynced.push_back({ content.cached.size(), std::string(part) });
        content.cached += part;
    }
    return Done {};
}

Result<Done> ModelDisk::sync(const ContentPtr& content)
{
    if (auto killed = step(); errorOf(killed))
        return killed;
    content->durable = content->cached;
    content->unsynced.clear();
    if (!std::exchange(content->wasSynced, true)) {
        for (const auto& [name, named] : names_) {
            if (named == content)
                durableNames_[name] = content;
        }
    }
    return Done {};
}

Result<Done> ModelDisk::truncate(const std::string& path, uint64_t size)
{
    const ContentPtr& content = names_.at(path);
    if (auto killed = step(); errorOf(killed))
        return killed;
    // A power loss before the sync keeps the longer file.
    content->cached.resize(size);
    std::erase_if(content->unsynced, [&](const Write& write) { return write.offset >= size; });
    for (Write& write : content->unsynced)
        write.bytes.resize(std::min<uint64_t>(write.bytes.size(), size - write.offset));
    return sync(content);
}

Result<Done> ModelDisk::rename(const std::string& from, const std::string& to)
{
    auto killed = step();
    if (!errorOf(killed)) {
        names_[to] = names_.at(from);
        names_.erase(from);
    }
    return killed;
}

Result<Done> ModelDisk::remove(const std::string& path)
{
    auto killed = step();
    if (!errorOf(killed))
        names_.erase(path);
    return killed;
}

Result<Done> ModelDisk::syncFolder(const std::string&)
{
    auto killed = step();
    if (!errorOf(killed))
        durableNames_ = names_;
    return killed;
}

} // namespace trefoilwing
