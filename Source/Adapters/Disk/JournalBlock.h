#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace trefoilwing {

/// Encodes bytes as one block: magic number, length, checksum, and the bytes themselves.
std::string makeBlock(std::string_view content);

/// Iterates over the blocks in the bytes of a file.
class BlockReader {
public:
    explicit BlockReader(std::string_view bytes);

    /// Reads the next block.
    /// @return whether the block is complete and its checksum matches; content() then holds it.
    bool next();

    std::string_view content() const { return content_; }
    /// Offset after the last valid block that was read.
    uint64_t offset() const { return offset_; }
    bool isAtEnd() const { return offset_ == bytes_.size(); }
    /// Whether a valid block follows the invalid bytes. They are corrupt then, not an unfinished
    /// write, since a block is written only after the one before it is synced.
    bool hasLaterBlock() const;

private:
    std::string_view bytes_;
    uint64_t offset_ = 0;
    std::string_view content_;
};

} // namespace trefoilwing
