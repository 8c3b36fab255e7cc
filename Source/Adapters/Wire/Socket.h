#pragma once

#include "Base/Error.h"
#include "Model/MinionMessages.h"

#include <absl/time/time.h>

#include <optional>
#include <string>
#include <string_view>

namespace trefoilwing {

/// Owns a file descriptor of a non-blocking TCP socket.
class Socket {
public:
    Socket() = default;
    explicit Socket(int descriptor)
        : descriptor_(descriptor)
    {
    }
    ~Socket() { close(); }
    Socket(Socket&& other) noexcept
        : descriptor_(other.release())
    {
    }
    Socket& operator=(Socket&&) noexcept;

    /// @return a listening socket, or an error with the reason.
    static Result<Socket> listenAt(const Endpoint&);

    /// @return a socket that is connecting asynchronously, or an error with the reason.
    static Result<Socket> connectTo(const Endpoint&);

    /// @return the next pending connection, if any.
    std::optional<Socket> accept();

    /// Disables Nagle's algorithm, and closes the connection when sent bytes aren't acknowledged in time.
    void setPeerOptions(absl::Duration sendTimeout);

    /// @return the error of an asynchronous connect; empty if it succeeded.
    std::string connectError() const;

    /// @return the number of bytes sent, which may be 0; nothing if the connection is broken.
    std::optional<size_t> send(std::string_view);

    /// @return the bytes received, up to the size of the buffer; empty if there is nothing to read yet;
    ///     nothing if the connection has ended.
    std::optional<std::string_view> receive(std::string& buffer);

    void close();
    bool isOpen() const { return descriptor_ >= 0; }
    int descriptor() const { return descriptor_; }

    /// @return the port that the socket is bound to.
    uint16_t port() const;

private:
    int release();

    int descriptor_ = -1;
};

} // namespace trefoilwing
