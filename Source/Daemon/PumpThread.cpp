#include "Daemon/PumpThread.h"

namespace trefoilwing {

PumpThread::PumpThread(Pumped& pumped, const Clock& clock)
    : pumped_(pumped)
    , clock_(clock)
    , thread_([this] { run(); })
{
}

PumpThread::~PumpThread()
{
    stop();
}

void PumpThread::stop()
{
    if (!thread_.joinable())
        return;
    isStopping_ = true;
    pumped_.wake();
    thread_.join();
}

void PumpThread::run()
{
    while (!isStopping_) {
        const absl::Time due = pumped_.pump(clock_.now());
        pumped_.waitForWork(due - clock_.now());
    }
    pumped_.pump(clock_.now());
}

} // namespace trefoilwing
