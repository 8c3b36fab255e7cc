#pragma once

#include "Model/Units.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace trefoilwing {

/// Number of bytes of the length that precedes a frame's content, in network byte order.
inline constexpr size_t frameHeaderSize = 4;

/// @return a frame: the content preceded by its length.
std::string makeFrame(std::string_view content);

/// Splits a stream of bytes into frames.
class FrameReader {
public:
    explicit FrameReader(Bytes maxFrame);

    /// Changes the maximum size of later frames.
    void setMaxFrame(Bytes);

    /// Appends received bytes. Memory is taken only for bytes actually received, never for an announced length.
    void append(std::string_view);

    /// @return the content of the next complete frame, valid until the next call; nothing if more bytes are needed
    ///     or the stream is broken.
    std::optional<std::string_view> next();

    /// @return whether a frame longer than the maximum was announced; the rest of the stream can't be parsed then.
    bool isBroken() const { return isBroken_; }

    /// Releases the memory of large frames that were taken. Call this when next() has returned nothing.
    void releaseUnused();

    /// @return the number of bytes of the frame that is incomplete.
    size_t heldBytes() const { return bytes_.size() - consumed_; }

private:
    uint64_t maxFrame_;
    std::string bytes_;
    size_t consumed_ = 0;
    bool isBroken_ = false;
};

} // namespace trefoilwing
