#pragma once

#include "Base/MutexLock.h"
#include "Base/WorkSignal.h"
#include "Ports/Clock.h"
#include "Ports/EventLog.h"

#include <string>
#include <thread>
#include <vector>

namespace trefoilwing {

/// Writes events as lines of key=value pairs to a file descriptor, from a thread of its own.
///
/// Callers never wait for the output: lines that exceed the queue's limit are dropped and counted, and
/// the count is written with the next batch.
class LineLog : public EventLog {
public:
    /// Maximum number of lines in the queue.
    static constexpr size_t maxQueuedLines = 4000;

    /// @param node the name of this process in each line.
    /// @param descriptor the file descriptor to write to.
    /// @param clock the wall clock; must outlive the log.
    LineLog(std::string node, int descriptor, const Clock& clock);
    /// Writes the queued lines.
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
    uint64_t droppedReported_ = 0;
    bool isStopping_ ABSL_GUARDED_BY(mutex_) = false;
    /// Ends the wait for more lines of a batch when the log is destroyed.
    WorkSignal stopSignal_;
    std::thread thread_;
};

} // namespace trefoilwing
