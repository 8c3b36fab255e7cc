#pragma once

#include <absl/time/time.h>
#include <httplib.h>

#include <array>

namespace trefoilwing {

/// A connection's byte stream for cpp-httplib, with buffered reads. Threads that wait for it sleep in poll().
class PolledStream : public httplib::Stream {
public:
    /// @param socket remains owned by the caller.
    /// @param timeout maximum wait of one read or write.
    PolledStream(socket_t socket, absl::Duration timeout);

    /// Waits for the first byte of the next request.
    /// @return whether the socket became readable within the timeout; a close by the peer also counts.
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
