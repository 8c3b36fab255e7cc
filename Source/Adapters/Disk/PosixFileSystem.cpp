#include "Adapters/Disk/PosixFileSystem.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <fcntl.h>
#include <filesystem>
#include <system_error>
#include <unistd.h>

namespace trefoilwing {

namespace {

    constexpr mode_t fileMode = 0640;

    Error failure(std::string_view action, const std::string& path, int code)
    {
        const std::string cure = code == ENOSPC ? "; free space on the disk" : "";
        return { ErrorCode::Unavailable, absl::StrCat(std::string(action), " ", path, ": ", std::generic_category().message(code), cure), Verdict::MayHaveRun };
    }

    Error failure(std::string_view action, const std::string& path)
    {
        return failure(action, path, errno);
    }

    Result<Done> check(const std::error_code& code, std::string_view action, const std::string& path)
    {
        if (code)
            return failure(action, path, code.value());
        return Done {};
    }

    /// Closes a descriptor at the end of a scope.
    class Descriptor {
    public:
        explicit Descriptor(int value)
            : value_(value)
        {
        }
        ~Descriptor()
        {
            if (value_ >= 0)
                ::close(value_);
        }
        Descriptor(const Descriptor&) = delete;
        Descriptor& operator=(const Descriptor&) = delete;

        int value() const { return value_; }
        bool isOpen() const { return value_ >= 0; }

    private:
        int value_;
    };

    class PosixAppendFile final : public AppendFile {
    public:
        PosixAppendFile(std::string path, int descriptor)
            : path_(std::move(path))
            , descriptor_(descriptor)
        {
        }

        Result<Done> append(std::string_view bytes) override
        {
            while (!bytes.empty()) {
                const ssize_t written = ::write(descriptor_.value(), bytes.data(), bytes.size());
                if (written < 0 && errno == EINTR)
                    continue;
                if (written < 0)
                    return failure("can't write", path_);
                bytes.remove_prefix(static_cast<size_t>(written));
            }
            return Done {};
        }

        Result<Done> sync() override
        {
            if (::fdatasync(descriptor_.value()) != 0)
                return failure("can't sync", path_);
            return Done {};
        }

    private:
        std::string path_;
        Descriptor descriptor_;
    };

} // namespace

Result<Done> PosixFileSystem::makeFolder(const std::string& folder)
{
    std::error_code code;
    const bool isNew = std::filesystem::create_directories(folder, code);
    const std::string parent = std::filesystem::path(folder).parent_path().string();
    if (!code && isNew && !parent.empty())
        return syncFolder(parent);
    return check(code, "can't create folder", folder);
}

Result<std::vector<std::string>> PosixFileSystem::list(const std::string& folder)
{
    std::error_code code;
    std::vector<std::string> names;
    for (std::filesystem::directory_iterator entry(folder, code), end; !code && entry != end; entry.increment(code))
        names.push_back(entry->path().filename().string());
    if (code)
        return failure("can't list", folder, code.value());
    std::sort(names.begin(), names.end());
    return names;
}

Result<std::string> PosixFileSystem::read(const std::string& path)
{
    const Descriptor file(::open(path.c_str(), O_RDONLY | O_CLOEXEC));
    if (!file.isOpen())
        return failure("can't open", path);
    std::string content;
    std::array<char, 65536> buffer {};
    while (true) {
        const ssize_t count = ::read(file.value(), buffer.data(), buffer.size());
        if (count < 0 && errno == EINTR)
            continue;
        if (count < 0)
            return failure("can't read", path);
        if (count == 0)
            return content;
        content.append(buffer.data(), static_cast<size_t>(count));
    }
}

Result<std::unique_ptr<AppendFile>> PosixFileSystem::open(const std::string& path)
{
    const int descriptor = ::open(path.c_str(), O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, fileMode);
    if (descriptor < 0)
        return failure("can't open", path);
    return std::make_unique<PosixAppendFile>(path, descriptor);
}

Result<Done> PosixFileSystem::truncate(const std::string& path, uint64_t size)
{
    const Descriptor file(::open(path.c_str(), O_WRONLY | O_CLOEXEC));
    if (!file.isOpen() || ::ftruncate(file.value(), static_cast<off_t>(size)) != 0 || ::fsync(file.value()) != 0)
        return failure("can't truncate", path);
    return Done {};
}

Result<Done> PosixFileSystem::rename(const std::string& from, const std::string& to)
{
    std::error_code code;
    std::filesystem::rename(from, to, code);
    return check(code, "can't rename", from);
}

Result<Done> PosixFileSystem::remove(const std::string& path)
{
    std::error_code code;
    std::filesystem::remove(path, code);
    return check(code, "can't remove", path);
}

Result<Done> PosixFileSystem::syncFolder(const std::string& folder)
{
    const Descriptor file(::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
    if (!file.isOpen())
        return failure("can't open folder", folder);
    if (::fsync(file.value()) != 0)
        return failure("can't sync folder", folder);
    return Done {};
}

} // namespace trefoilwing
