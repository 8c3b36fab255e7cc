#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace trefoilwing {

/// Frames bytes as one block: a mark, the length, a checksum and the bytes.
std::string makeBlock(std::string_view content);

/// Walks the blocks of a file's bytes.
class BlockReader {
public:
    explicit BlockReader(std::string_view bytes);

    /// @return whether a whole block came; content() then holds it.
    bool next();

    std::string_view content() const { return content_; }
    /// Where the first bytes lie that are no whole block; the end, if all are.
    uint64_t offset() const { return offset_; }
    bool isAtEnd() const { return offset_ == bytes_.size(); }
    /// Whether a whole block follows the bytes that are none: then they aren't the end of an
    /// unfinished write, since a block is only written once the one before it is synced.
    bool hasLaterBlock() const;

private:
    std::string_view bytes_;
    uint64_t offset_ = 0;
    std::string_view content_;
};

} // namespace trefoilwing
