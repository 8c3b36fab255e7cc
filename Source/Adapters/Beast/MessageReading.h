#pragma once

#include <boost/asio/error.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>

namespace trefoilwing {

/// Maximum size of a message's header in bytes.
constexpr uint32_t maxHeaderBytes = 16384;
/// Maximum number of bytes that are read from a connection but not parsed yet. The parser needs a header, a chunk's size with
/// its extensions, or all trailers at once.
constexpr size_t maxUnparsedBytes = 32768;
/// Maximum number of bytes read from a connection at once.
constexpr size_t maxReadBytes = 16384;

/// Parses what the buffer holds, until the message is whole or needs more.
/// @return an error if the message is malformed or exceeds a limit of the parser.
template <bool isRequest>
boost::system::error_code parseReceived(boost::beast::flat_buffer& buffer, boost::beast::http::basic_parser<isRequest>& parser)
{
    boost::system::error_code error;
    size_t parsed = 1;
    while (!error && parsed > 0 && buffer.size() > 0 && !parser.is_done()) {
        parsed = parser.put(buffer.data(), error);
        buffer.consume(parsed);
    }
    return error == boost::beast::http::error::need_more ? boost::system::error_code() : error;
}

/// Tells a parser that the peer has closed the connection.
/// @return an error unless that ends the message.
template <bool isRequest>
boost::system::error_code parseEnd(boost::beast::http::basic_parser<isRequest>& parser)
{
    boost::system::error_code error = boost::beast::http::error::end_of_stream;
    if (parser.got_some())
        parser.put_eof(error);
    return error;
}

} // namespace trefoilwing
