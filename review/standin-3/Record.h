#pragma once

#include "Http.h"

#include <fstream>
#include <mutex>
#include <string>

namespace review {

/// The file that tells what was sent, answered and run, each line with the milliseconds since the start.
class Record {
public:
    explicit Record(const std::string& file)
        : stream_(file)
        , start_(Clock::now())
    {
    }

    void write(const std::string& line)
    {
        const std::lock_guard lock(mutex_);
        stream_ << std::chrono::duration_cast<Millis>(Clock::now() - start_).count() << " " << line << std::endl;
    }

private:
    std::mutex mutex_;
    std::ofstream stream_;
    const Clock::time_point start_;
};

} // namespace review
