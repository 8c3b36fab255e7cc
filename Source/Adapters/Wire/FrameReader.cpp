#include "Adapters/Wire/FrameReader.h"

namespace trefoilwing {

namespace {

    /// Memory up to this size is kept for the next frames.
    constexpr size_t maxKeptBytes = 16U << 10U;

    uint32_t readLength(std::string_view header)
    {
        uint32_t length = 0;
        for (const char byte : header)
            length = (length << 8U) | static_cast<unsigned char>(byte);
        return length;
    }

} // namespace

std::string makeFrame(std::string_view content)
{
    std::string frame;
    frame.reserve(frameHeaderSize + content.size());
    for (unsigned shift : { 24U, 16U, 8U, 0U })
        frame.push_back(static_cast<char>((content.size() >> shift) & 0xffU));
    frame.append(content);
    return frame;
}

FrameReader::FrameReader(Bytes maxFrame)
    : maxFrame_(maxFrame.value())
{
}

void FrameReader::setMaxFrame(Bytes maxFrame)
{
    maxFrame_ = maxFrame.value();
}

void FrameReader::append(std::string_view bytes)
{
    bytes_.erase(0, consumed_);
    consumed_ = 0;
    bytes_.append(bytes);
}

void FrameReader::releaseUnused()
{
    if (bytes_.capacity() <= maxKeptBytes || bytes_.size() - consumed_ > maxKeptBytes)
        return;
    bytes_ = bytes_.substr(consumed_);
    consumed_ = 0;
}

std::optional<std::string_view> FrameReader::next()
{
    const std::string_view rest = std::string_view(bytes_).substr(consumed_);
    if (isBroken_ || rest.size() < frameHeaderSize)
        return std::nullopt;
    const uint32_t length = readLength(rest.substr(0, frameHeaderSize));
    if (length > maxFrame_) {
        isBroken_ = true;
        return std::nullopt;
    }
    if (rest.size() - frameHeaderSize < length)
        return std::nullopt;
    consumed_ += frameHeaderSize + length;
    return rest.substr(frameHeaderSize, length);
}

} // namespace trefoilwing
