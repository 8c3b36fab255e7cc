#include "Adapters/Disk/JournalBlock.h"

#include <cstring>
#include <optional>
#include <xxhash.h>

namespace trefoilwing {

namespace {

    constexpr std::string_view magic = "TWJ1";
    constexpr size_t lengthSize = 4;
    constexpr size_t checksumSize = 8;
    constexpr size_t headerSize = 4 + lengthSize + checksumSize;

    // Numbers are stored in little-endian order on every machine.
    std::string encodeNumber(uint64_t value, size_t size)
    {
        std::string bytes;
        for (size_t i = 0; i < size; ++i)
            bytes.push_back(static_cast<char>(value >> (8 * i)));
        return bytes;
    }

    uint64_t decodeNumber(std::string_view bytes)
    {
        uint64_t value = 0;
        for (size_t i = 0; i < bytes.size(); ++i)
            value |= static_cast<uint64_t>(static_cast<unsigned char>(bytes[i])) << (8 * i);
        return value;
    }

    uint64_t checksumOf(std::string_view bytes)
    {
        return XXH3_64bits(bytes.data(), bytes.size());
    }

    std::optional<std::string_view> blockAt(std::string_view bytes)
    {
        if (bytes.size() < headerSize || bytes.substr(0, magic.size()) != magic)
            return std::nullopt;
        const uint64_t length = decodeNumber(bytes.substr(magic.size(), lengthSize));
        const uint64_t checksum = decodeNumber(bytes.substr(magic.size() + lengthSize, checksumSize));
        if (bytes.size() - headerSize < length)
            return std::nullopt;
        const std::string_view content = bytes.substr(headerSize, length);
        if (checksumOf(content) != checksum)
            return std::nullopt;
        return content;
    }

} // namespace

std::string makeBlock(std::string_view content)
{
    std::string block(magic);
    block += encodeNumber(content.size(), lengthSize);
    block += encodeNumber(checksumOf(content), checksumSize);
    block += content;
    return block;
}

BlockReader::BlockReader(std::string_view bytes)
    : bytes_(bytes)
{
}

bool BlockReader::next()
{
    const std::optional<std::string_view> block = blockAt(bytes_.substr(offset_));
    if (!block)
        return false;
    content_ = *block;
    offset_ += headerSize + block->size();
    return true;
}

bool BlockReader::hasLaterBlock() const
{
    for (size_t at = bytes_.find(magic, offset_ + 1); at != std::string_view::npos; at = bytes_.find(magic, at + 1)) {
        if (blockAt(bytes_.substr(at)))
            return true;
    }
    return false;
}

} // namespace trefoilwing
