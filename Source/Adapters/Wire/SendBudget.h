#pragma once

#include "Model/Units.h"

#include <atomic>
#include <cstdint>

namespace trefoilwing {

/// The number of bytes that the send queues of all peers of a process hold together, with its maximum. Any thread may
/// use it.
class SendBudget {
public:
    explicit SendBudget(Bytes maxBytes)
        : maxBytes_(maxBytes.value())
    {
    }

    void add(uint64_t bytes) { used_ += bytes; }
    void remove(uint64_t bytes) { used_ -= bytes; }
    bool isExceeded() const { return used_ > maxBytes_; }
    Bytes used() const { return Bytes(used_); }

private:
    const uint64_t maxBytes_;
    std::atomic<uint64_t> used_ { 0 };
};

} // namespace trefoilwing
