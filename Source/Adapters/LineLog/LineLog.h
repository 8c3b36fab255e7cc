#pragma once

#include "Base/MutexLock.h"
#include "Base/WorkSignal.h"
#include "Ports/Clock.h"
#include "Ports/EventLog.h"

#include <string>
#include <thread>
#include <vector>

namespace trefoilwing {

/// Writes events as lines of key=value pairs to standard output, from a thread of its own.
///
/// Callers never wait for the output: lines beyond the bound of the queue are dropped, counted, and the
/// count is written as soon as there is room.
class LineLog : public EventLog {
public:
    static constexpr size_t maxQueued = 4000;

    /// @param node names this process in each line.
    /// @param descriptor where the lines go.
    /// @param clock the time of day; outlives the log.
    LineLog(std::string node, int descriptor, const Clock& clock);
    /// Writes what waits.
    ~LineLog() override;
    LineLog(const LineLog&) = delete;
    LineLog& operator=(const LineLog&) = delete;

    void write(Severity, std::string_view event, std::initializer_list<LogField> fields) override;

    uint64_t dropped() const override;

private:
    struct Line {
        int64_t milliseconds;
        Severity severity;
        std::string text;
    };

    void run();
    std::string format(const Line&) const;
    void writeAll(const std::string& text);

    const std::string node_;
    const int descriptor_;
    const Clock& clock_;
    mutable absl::Mutex mutex_;
    absl::CondVar changed_;
    std::vector<Line> lines_ ABSL_GUARDED_BY(mutex_);
    uint64_t dropped_ ABSL_GUARDED_BY(mutex_) = 0;
    uint64_t droppedTold_ = 0;
    bool isStopping_ ABSL_GUARDED_BY(mutex_) = false;
    /// Ends the wait for more lines of a batch.
    WorkSignal ending_;
    std::thread thread_;
};

} // namespace trefoilwing
