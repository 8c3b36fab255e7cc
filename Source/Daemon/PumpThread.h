#pragma once

#include "Dispatch/Pumped.h"
#include "Ports/Clock.h"

#include <atomic>
#include <thread>

namespace trefoilwing {

/// Runs one pump in a dedicated thread until stopped. Between its runs the thread sleeps until the next one is due or
/// the pump is woken.
class PumpThread {
public:
    PumpThread(Pumped&, const Clock&);
    ~PumpThread();

    PumpThread(const PumpThread&) = delete;
    PumpThread& operator=(const PumpThread&) = delete;

    /// Runs the pump a last time to deliver pending effects, and ends the thread.
    void stop();

private:
    void run();

    Pumped& pumped_;
    const Clock& clock_;
    std::atomic<bool> isStopping_ { false };
    std::thread thread_;
};

} // namespace trefoilwing
