#include "System/ChildProcess.h"

#include <absl/time/clock.h>

#include <csignal>
#include <fstream>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace trefoilwing {

namespace {

    constexpr absl::Duration pollInterval = absl::Milliseconds(10);
    constexpr absl::Duration killTimeout = absl::Seconds(30);
    constexpr mode_t fileMode = 0644;

} // namespace

ChildProcess::ChildProcess(const std::vector<std::string>& command, const std::string& outputFile)
{
    std::vector<char*> arguments;
    arguments.reserve(command.size() + 1);
    for (const std::string& argument : command)
        arguments.push_back(const_cast<char*>(argument.c_str()));
    arguments.push_back(nullptr);

    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, outputFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, fileMode);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    if (posix_spawn(&id_, arguments[0], &actions, nullptr, arguments.data(), environ) != 0)
        status_ = -1;
    posix_spawn_file_actions_destroy(&actions);
}

ChildProcess::~ChildProcess()
{
    kill();
}

void ChildProcess::signal(int number) const
{
    if (!status_)
        ::kill(id_, number);
}

std::optional<int> ChildProcess::await(absl::Duration timeout)
{
    const absl::Time end = absl::Now() + timeout;
    while (!status_ && absl::Now() < end) {
        int status = 0;
        if (waitpid(id_, &status, WNOHANG) == id_)
            status_ = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
        else
            absl::SleepFor(pollInterval);
    }
    return status_;
}

void ChildProcess::awaitBlocked(int number) const
{
    constexpr int hexadecimal = 16;
    const absl::Time end = absl::Now() + killTimeout;
    while (absl::Now() < end) {
        std::ifstream file("/proc/" + std::to_string(id_) + "/status");
        std::string key;
        std::string mask;
        while (file >> key && key != "SigBlk:")
            std::getline(file, mask);
        if (file >> mask && ((std::stoull(mask, nullptr, hexadecimal) >> static_cast<unsigned>(number - 1)) & 1U) != 0)
            return;
        absl::SleepFor(absl::Milliseconds(1));
    }
}

void ChildProcess::kill()
{
    signal(SIGKILL);
    await(killTimeout);
}

} // namespace trefoilwing
