#include "Adapters/LineLog/LineLog.h"

#include <array>
#include <cerrno>
#include <unistd.h>
#include <utility>

namespace trefoilwing {

namespace {

    constexpr std::array<std::string_view, 3> severityNames { "info", "warning", "error" };

    /// Time during which lines are collected for one system call.
    constexpr absl::Duration batchTime = absl::Milliseconds(250);

} // namespace

LineLog::LineLog(std::string node, int descriptor, const Clock& clock)
    : node_(std::move(node))
    , descriptor_(descriptor)
    , clock_(clock)
    , thread_([this] { run(); })
{
}

LineLog::~LineLog()
{
    {
        MutexLock lock(mutex_);
        isStopping_ = true;
        changed_.Signal();
    }
    stopSignal_.raise();
    thread_.join();
}

void LineLog::write(Severity severity, std::string_view event, std::initializer_list<LogField> fields)
{
    Line line { absl::ToUnixMillis(clock_.now()), severity, formatEvent(event, fields) };
    MutexLock lock(mutex_);
    if (lines_.size() >= maxQueuedLines) {
        ++dropped_;
        return;
    }
    if (lines_.empty())
        changed_.Signal();
    lines_.push_back(std::move(line));
}

uint64_t LineLog::dropped() const
{
    MutexLock lock(mutex_);
    return dropped_;
}

void LineLog::run()
{
    bool isLast = false;
    while (!isLast) {
        std::vector<Line> lines;
        uint64_t dropped = 0;
        {
            MutexLock lock(mutex_);
            while (lines_.empty() && !isStopping_)
                changed_.Wait(&mutex_);
        }
        stopSignal_.wait(batchTime);
        {
            MutexLock lock(mutex_);
            lines = std::exchange(lines_, {});
            dropped = dropped_ - droppedReported_;
            isLast = isStopping_;
        }
        std::string text;
        for (const Line& line : lines)
            text += format(line);
        if (dropped > 0) {
            droppedReported_ += dropped;
            text += format({ absl::ToUnixMillis(clock_.now()), Severity::Warning, formatEvent("log_lines_dropped", { { "lines", dropped } }) });
        }
        writeAll(text);
    }
}

std::string LineLog::format(const Line& line) const
{
    return absl::StrCat("time=", line.milliseconds, " level=", absl::string_view(severityNames.at(static_cast<size_t>(line.severity)).data()), " node=", node_, " ", line.text, "\n");
}

void LineLog::writeAll(const std::string& text)
{
    size_t done = 0;
    while (done < text.size()) {
        const ssize_t count = ::write(descriptor_, text.data() + done, text.size() - done);
        if (count < 0 && errno == EINTR)
            continue;
        // The output can't be written any more, and there is no other place to report that.
        if (count <= 0)
            return;
        done += static_cast<size_t>(count);
    }
}

} // namespace trefoilwing
