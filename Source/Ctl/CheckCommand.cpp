#include "Ctl/CheckCommand.h"

#include "Adapters/Yaml/DeclarationLoader.h"
#include "Adapters/Yaml/FleetSettingsLoader.h"
#include "Adapters/Yaml/SettingsLoader.h"
#include "Adapters/Yaml/YamlDocument.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <filesystem>
#include <map>
#include <set>

namespace trefoilwing {

namespace {

    /// The files of one deployment and the faults found in them.
    class Deployment {
    public:
        void addFile(const std::string& path)
        {
            switch (kindOfYamlFile(path)) {
            case YamlFileKind::Settings:
                addSettings(path);
                break;
            case YamlFileKind::FleetSettings:
                addFleetSettings(path);
                break;
            default:
                declarationFiles_.push_back(path);
            }
        }

        void addFault(const std::string& message) { faults_.push_back(message); }

        /// Checks the declarations, alone and against the settings.
        /// @return one message for each fault found so far.
        const std::vector<std::string>& check()
        {
            const Result<std::vector<ServiceDeclaration>> declarations = loadDeclarationFiles(declarationFiles_);
            if (const Error* error = errorOf(declarations))
                addFault(error->message);
            else
                checkHomeDataCentres();
            return faults_;
        }

        size_t settingsCount() const { return settings_.size() + fleetSettings_.size(); }
        size_t declarationCount() const { return declarationFiles_.size(); }

    private:
        void addSettings(const std::string& path)
        {
            Result<DaemonSettings> loaded = loadSettings(path);
            if (const Error* error = errorOf(loaded)) {
                addFault(error->message);
                return;
            }
            const DaemonSettings& settings = *valueOf(loaded);
            const auto duplicate = std::find_if(settings_.begin(), settings_.end(), [&](const auto& other) { return other.second.daemon == settings.daemon; });
            if (duplicate != settings_.end())
                addFault(absl::StrCat(path, ":1: daemon: '", settings.daemon.value(), "' has settings already in ", duplicate->first, "; keep one of the two or rename one"));
            if (!settings_.empty() && settings_.begin()->second.peers != settings.peers)
                addFault(absl::StrCat(path, ":1: peers: they differ from those in ", settings_.begin()->first, "; list the same daemons in every file"));
            settings_.emplace(path, settings);
        }

        void addFleetSettings(const std::string& path)
        {
            const Result<FleetSettings> loaded = loadFleetSettings(path);
            if (const Error* error = errorOf(loaded)) {
                addFault(error->message);
                return;
            }
            const FleetSettings& settings = *valueOf(loaded);
            // The address identifies the process, and all processes of a fleet use the same port for peer connections.
            const auto duplicate = std::find_if(fleetSettings_.begin(), fleetSettings_.end(), [&](const auto& other) { return other.second.address == settings.address; });
            if (duplicate != fleetSettings_.end())
                addFault(absl::StrCat(path, ":1: address: '", settings.address, "' is that of ", duplicate->first, " already; give each process its own"));
            if (!fleetSettings_.empty() && fleetSettings_.begin()->second.peerPort != settings.peerPort)
                addFault(absl::StrCat(path, ":1: peer_port: it differs from that in ", fleetSettings_.begin()->first, "; give all processes of a fleet the same"));
            fleetSettings_.emplace(path, settings);
        }

        void checkHomeDataCentres()
        {
            std::set<DataCentreId> dataCentres;
            for (const auto& [path, settings] : settings_) {
                for (const PeerSettings& peer : settings.peers)
                    dataCentres.insert(peer.dataCentre);
            }
            if (dataCentres.empty())
                return;
            for (const std::string& path : declarationFiles_) {
                const Result<Done> checked = checkHomes(path, dataCentres);
                if (const Error* error = errorOf(checked))
                    addFault(error->message);
            }
        }

        std::map<std::string, DaemonSettings> settings_;
        std::map<std::string, FleetSettings> fleetSettings_;
        std::vector<std::string> declarationFiles_;
        std::vector<std::string> faults_;
    };

    void addPath(Deployment& deployment, const std::string& path)
    {
        std::error_code ignored;
        if (!std::filesystem::is_directory(path, ignored)) {
            deployment.addFile(path);
            return;
        }
        const Result<std::vector<std::string>> files = yamlFilesIn(path, true);
        if (const Error* error = errorOf(files)) {
            deployment.addFault(error->message);
            return;
        }
        for (const std::string& file : *valueOf(files))
            deployment.addFile(file);
    }

} // namespace

ExitCode CheckCommand::run(const CommandLine& line, Console& console)
{
    if (line.arguments().empty())
        return reportUsage(console, "name at least one file or folder");
    Deployment deployment;
    for (const std::string& path : line.arguments())
        addPath(deployment, path);
    const std::vector<std::string>& messages = deployment.check();
    for (const std::string& message : messages)
        console.err << message << "\n";
    if (!messages.empty())
        return ExitCode::Failed;
    console.out << "no faults in " << deployment.settingsCount() << " settings and " << deployment.declarationCount() << " declarations\n";
    return ExitCode::Ok;
}

} // namespace trefoilwing
