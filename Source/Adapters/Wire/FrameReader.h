#pragma once

#include "Model/Units.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace trefoilwing {

/// The bytes of a frame's length, which go before its content in network order.
inline constexpr size_t frameHeaderSize = 4;

/// @return the content with its length before it.
std::string makeFrame(std::string_view content);

/// Cuts a stream of bytes into frames.
class FrameReader {
public:
    explicit FrameReader(Bytes maxFrame);

    /// Changes the bound for the frames to come.
    void setMaxFrame(Bytes);

    /// Takes bytes as they come. Memory grows only with bytes that did come, never with a claimed length.
    void append(std::string_view);

    /// @return the next whole frame's content, valid until the next call; nothing where more bytes are needed
    ///     or the stream is broken.
    std::optional<std::string_view> next();

    /// @return whether a frame longer than the bound was announced; the stream is useless from there.
    bool isBroken() const { return isBroken_; }

private:
    uint64_t maxFrame_;
    std::string bytes_;
    size_t consumed_ = 0;
    bool isBroken_ = false;
};

} // namespace trefoilwing
