#pragma once

#include "Base/MutexLock.h"
#include "Ports/EventLog.h"

#include <string>
#include <vector>

namespace trefoilwing {

/// Records the logged lines. Thread-safe.
class RecordingEventLog : public EventLog {
public:
    void write(Severity, std::string_view event, std::initializer_list<LogField> fields) override
    {
        MutexLock lock(mutex_);
        lines_.push_back(formatEvent(event, fields));
    }

    /// @return the number of lines that contain a text.
    size_t count(std::string_view text) const
    {
        MutexLock lock(mutex_);
        size_t found = 0;
        for (const std::string& line : lines_)
            found += line.find(text) == std::string::npos ? 0 : 1;
        return found;
    }

private:
    mutable absl::Mutex mutex_;
    std::vector<std::string> lines_ ABSL_GUARDED_BY(mutex_);
};

} // namespace trefoilwing
