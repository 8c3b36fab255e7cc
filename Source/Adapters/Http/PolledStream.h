#pragma once

#include <absl/time/time.h>
#include <httplib.h>

#include <array>

namespace trefoilwing {

/// One connection's bytes for the HTTP library, read through a buffer. Waits sleep in poll().
class PolledStream : public httplib::Stream {
public:
    /// @param socket stays the caller's.
    /// @param timeout how long one read or write may wait.
    PolledStream(socket_t socket, absl::Duration timeout);

    /// Waits for the first byte of the next request.
    /// @return whether there is one; not so after the time given or at the connection's end.
    bool waitForRequest(absl::Duration limit);

    bool is_readable() const override;
    bool is_writable() const override;
    ssize_t read(char* target, size_t size) override;
    ssize_t write(const char* source, size_t size) override;
    void get_remote_ip_and_port(std::string& ip, int& port) const override;
    void get_local_ip_and_port(std::string& ip, int& port) const override;
    socket_t socket() const override { return socket_; }

private:
    bool wait(short events, absl::Duration limit) const;
    bool isBuffered() const { return begin_ < end_; }

    socket_t socket_;
    absl::Duration timeout_;
    std::array<char, 8192> buffer_;
    size_t begin_ = 0;
    size_t end_ = 0;
};

} // namespace trefoilwing
