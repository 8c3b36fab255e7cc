#pragma once

#include <absl/time/time.h>

#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

namespace trefoilwing {

/// A process that a test starts, and signals by its process id. The destructor kills it.
class ChildProcess {
public:
    /// @param outputFile the process's standard output and error are appended to it.
    ChildProcess(const std::vector<std::string>& command, const std::string& outputFile);
    ~ChildProcess();

    ChildProcess(const ChildProcess&) = delete;
    ChildProcess& operator=(const ChildProcess&) = delete;

    pid_t id() const { return id_; }

    void signal(int number) const;

    /// Waits until the process ends, or the time is over.
    /// @return its exit status, or the negated number of the signal that ended it; nothing if it still runs.
    std::optional<int> await(absl::Duration timeout);

    /// Waits until the process blocks a signal, which it does when it starts to handle it.
    void awaitBlocked(int number) const;

    /// Sends SIGKILL and waits for the process's end.
    void kill();

private:
    pid_t id_ = 0;
    std::optional<int> status_;
};

} // namespace trefoilwing
