#pragma once

#include <absl/time/time.h>

#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

namespace trefoilwing {

/// A process that a test started, and ends by its id.
class ChildProcess {
public:
    /// @param outputFile takes the process's standard output and error.
    ChildProcess(const std::vector<std::string>& command, const std::string& outputFile);
    ~ChildProcess();

    ChildProcess(const ChildProcess&) = delete;
    ChildProcess& operator=(const ChildProcess&) = delete;

    void signal(int number) const;

    /// Waits for the process's end.
    /// @return its exit status, negative for the signal that ended it; nothing where it goes on.
    std::optional<int> await(absl::Duration patience);

    /// Ends the process at once, as kill -9 does.
    void kill();

private:
    pid_t id_ = 0;
    std::optional<int> status_;
};

} // namespace trefoilwing
