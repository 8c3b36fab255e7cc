#include "Daemon/FleetMain.h"

#include "Adapters/Clock/SystemClock.h"
#include "Adapters/LineLog/LineLog.h"
#include "Adapters/Yaml/FleetSettingsLoader.h"
#include "Daemon/ExitStatus.h"
#include "Daemon/FleetEntry.h"
#include "Daemon/FleetKeeper.h"
#include "Daemon/Signals.h"
#include "platform/RoutingCodec.h"

#include <absl/synchronization/mutex.h>

#include <ctime>
#include <fstream>
#include <iostream>
#include <sstream>
#include <unistd.h>

namespace trefoilwing {

namespace {

    /// Interval at which the settings file is read, as it may change without a SIGHUP.
    constexpr timespec settingsPollInterval { 2, 0 };

    Result<std::unique_ptr<FleetDaemon>> makeDaemon(const FleetSettings& settings, const RoutingReader& reader, EventLog& log, HistogramMetrics& metrics)
    {
        if (settings.callers)
            return std::unique_ptr<FleetDaemon>(std::make_unique<FleetEntry>(settings, reader, log, metrics));
        auto keeper = FleetKeeper::create(settings, reader, log, metrics);
        if (const Error* error = errorOf(keeper))
            return *error;
        return std::unique_ptr<FleetDaemon>(std::get<std::unique_ptr<FleetKeeper>>(std::move(keeper)));
    }

    /// @return the file's bytes, or an empty text if it can't be read; the loader then reports the reason.
    std::string readBytes(const std::string& file)
    {
        const std::ifstream stream(file);
        std::stringstream bytes;
        bytes << stream.rdbuf();
        return bytes.str();
    }

    /// Applies changes of the settings file until a signal requests the process's end.
    /// @return the number of that signal.
    int waitForTermination(const sigset_t& signals, const std::string& file, FleetSettings settings, FleetDaemon& daemon, EventLog& log)
    {
        std::string lastBytes = readBytes(file);
        while (true) {
            const int signal = sigtimedwait(&signals, nullptr, &settingsPollInterval);
            if (signal == SIGTERM || signal == SIGINT)
                return signal;
            // Compare bytes first: parsing costs far more, and the file hardly ever changes.
            std::string bytes = readBytes(file);
            if (signal != SIGHUP && bytes == lastBytes)
                continue;
            lastBytes = std::move(bytes);
            const Result<FleetSettings> read = loadFleetSettings(file);
            if (const Error* error = errorOf(read)) {
                log.write(Severity::Error, "settings_unreadable", { { "reason", error->message } });
            } else if (signal == SIGHUP || *valueOf(read) != settings) {
                settings = *valueOf(read);
                daemon.reload(settings);
                log.write(Severity::Info, "settings_reloaded", { { "signal", signal == SIGHUP ? std::string("yes") : std::string("no") }, { "seeds", uint64_t { settings.seeds.size() } } });
            }
        }
    }

} // namespace

int runFleet(const std::string& settingsFile)
{
    // A signal that comes during the start waits until the daemon handles it; unblocked, it would end the process.
    const sigset_t signals = blockSignals({ SIGTERM, SIGINT, SIGHUP });
    const Result<FleetSettings> loaded = loadFleetSettings(settingsFile);
    if (const Error* error = errorOf(loaded)) {
        std::cerr << error->message << "\n";
        return exitSettings;
    }
    const FleetSettings& settings = *valueOf(loaded);
    // Debian builds Abseil with deadlock detection at each lock. The tests use it; a serving process avoids its cost.
    absl::SetMutexDeadlockDetectionMode(absl::OnDeadlockCycle::kIgnore);
    const SystemClock clock;
    LineLog log(settings.node, STDOUT_FILENO, clock);
    HistogramMetrics metrics(clock);
    const platform::RoutingCodec reader;
    const Result<std::unique_ptr<FleetDaemon>> made = makeDaemon(settings, reader, log, metrics);
    if (const Error* error = errorOf(made)) {
        log.write(Severity::Error, "start_failed", { { "reason", error->message } });
        return exitDataFolder;
    }
    FleetDaemon& daemon = **valueOf(made);
    const Result<Done> started = daemon.start();
    if (const Error* error = errorOf(started)) {
        log.write(Severity::Error, "start_failed", { { "reason", error->message } });
        return exitAddress;
    }
    log.write(Severity::Info, "started", { { "address", settings.address }, { "data_centre", settings.dataCentre.value() }, { "role", settings.callers ? std::string("entry") : std::string("keeper") }, { "founding", settings.isFounding ? std::string("yes") : std::string("no") } });
    const int signal = waitForTermination(signals, settingsFile, settings, daemon, log);
    log.write(Severity::Info, "signal", { { "number", static_cast<uint64_t>(signal) } });
    daemon.drain();
    daemon.stop();
    log.write(Severity::Info, "stopped", {});
    return exitDrained;
}

} // namespace trefoilwing
