#pragma once

#include "Dispatch/Pumped.h"
#include "Ports/Clock.h"

#include <atomic>
#include <thread>

namespace trefoilwing {

/// Drives one pump from a thread of its own until stopped.
class PumpThread {
public:
    PumpThread(Pumped&, const Clock&);
    ~PumpThread();

    PumpThread(const PumpThread&) = delete;
    PumpThread& operator=(const PumpThread&) = delete;

    /// Delivers what is left once more, and ends the thread.
    void stop();

private:
    void run();

    Pumped& pumped_;
    const Clock& clock_;
    std::atomic<bool> isStopping_ { false };
    std::thread thread_;
};

} // namespace trefoilwing
