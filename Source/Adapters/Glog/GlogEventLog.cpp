#include "Adapters/Glog/GlogEventLog.h"

#include <array>

#include <glog/logging.h>

namespace trefoilwing {

namespace {

    constexpr std::array<google::LogSeverity, 3> severities { google::GLOG_INFO, google::GLOG_WARNING, google::GLOG_ERROR };

    constexpr int flushSeconds = 1;

} // namespace

GlogEventLog::GlogEventLog(const std::string& program, const std::string& folder)
    : program_(program)
{
    FLAGS_logtostderr = folder.empty();
    FLAGS_log_dir = folder;
    FLAGS_logbufsecs = flushSeconds;
    // Errors go to the log files; standard error is reserved for failures at startup.
    FLAGS_stderrthreshold = google::GLOG_FATAL;
    google::InitGoogleLogging(program_.c_str());
}

GlogEventLog::~GlogEventLog()
{
    google::ShutdownGoogleLogging();
}

void GlogEventLog::write(Severity severity, std::string_view event, std::initializer_list<LogField> fields)
{
    const google::LogSeverity level = severities.at(static_cast<size_t>(severity));
    google::LogMessage(__FILE__, __LINE__, level).stream() << formatEvent(event, fields);
}

} // namespace trefoilwing
