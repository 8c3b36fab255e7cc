#include "Daemon/StandAloneMain.h"

#include "Adapters/Glog/GlogEventLog.h"
#include "Adapters/Yaml/SettingsLoader.h"
#include "Daemon/Daemon.h"
#include "Daemon/ExitStatus.h"
#include "Daemon/Signals.h"

#include <iostream>

namespace trefoilwing {

namespace {

    constexpr absl::Duration drainLimit = absl::Minutes(5);

    int runDaemon(const DaemonSettings& settings)
    {
        const sigset_t signals = blockSignals({ SIGTERM, SIGINT });
        GlogEventLog log("trefoilwing", settings.logFolder);
        const SystemClock clock;
        HistogramMetrics metrics(clock);
        const auto created = Daemon::create(settings, metrics, log);
        if (const Error* error = errorOf(created)) {
            std::cerr << "trefoilwing: " << error->message << "\n";
            return exitDataFolder;
        }
        Daemon& daemon = **valueOf(created);
        const Result<Done> started = daemon.start();
        if (const Error* error = errorOf(started)) {
            std::cerr << "trefoilwing: " << error->message << "\n";
            return exitAddress;
        }
        int signal = 0;
        sigwait(&signals, &signal);
        log.write(Severity::Info, "signal", { { "number", static_cast<uint64_t>(signal) } });
        const bool isDrained = daemon.drain(drainLimit);
        daemon.stop();
        return isDrained ? 0 : exitUndrained;
    }

} // namespace

int runStandAlone(const std::string& settingsFile)
{
    const Result<DaemonSettings> settings = loadSettings(settingsFile);
    if (const Error* error = errorOf(settings)) {
        std::cerr << error->message << "\n";
        return exitSettings;
    }
    return runDaemon(*valueOf(settings));
}

} // namespace trefoilwing
