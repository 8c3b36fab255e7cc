#include "Daemon/Signals.h"

namespace trefoilwing {

sigset_t blockSignals(std::initializer_list<int> numbers)
{
    sigset_t signals;
    sigemptyset(&signals);
    for (const int number : numbers)
        sigaddset(&signals, number);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    // Writing to a connection that a peer or a minion has closed must not end the process.
    std::signal(SIGPIPE, SIG_IGN); // NOLINT(bugprone-signal-handler,cert-err33-c): setting SIG_IGN can't fail.
    return signals;
}

} // namespace trefoilwing
