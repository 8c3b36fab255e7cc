#include "Adapters/Yaml/FleetSettingsLoader.h"

#include "Adapters/Yaml/YamlDocument.h"
#include "Adapters/Yaml/YamlMapping.h"

namespace trefoilwing {

namespace {

    constexpr uint32_t maxPort = 65535;
    constexpr uint32_t maxLostDisks = 2;
    constexpr uint32_t maxSecondChoices = 3;
    constexpr uint32_t minMaxJobTasks = 1;
    constexpr uint32_t maxMaxJobTasks = 100000;
    constexpr double minResubmitMs = 1;
    constexpr double maxResubmitMs = 3600.0 * 1000;
    constexpr double minMinionReportMs = 1;
    constexpr double maxMinionReportMs = 3600.0 * 1000;
    constexpr double minCatchUpSeconds = 0.001;
    constexpr double maxCatchUpSeconds = 3600;
    constexpr double minEvacuationMs = 1000;
    constexpr double maxEvacuationMs = 3600.0 * 1000;
    constexpr double minCores = 0.001;
    constexpr double maxCores = 1024;
    constexpr uint32_t minDescriptors = 64;
    constexpr uint32_t maxDescriptors = 1U << 20U;
    constexpr uint32_t minMemoryMb = 16;
    constexpr uint32_t maxMemoryMb = 1U << 24U;

    YamlParser<std::vector<Endpoint>> endpointsValue()
    {
        return [parse = endpointValue()](const YAML::Node& node, const std::string& path, YamlFaults& faults) -> std::optional<std::vector<Endpoint>> {
            if (!node.IsSequence()) {
                faults.add(node, path, "this isn't a list", "write [ADDRESS:PORT, ...]");
                return std::nullopt;
            }
            std::vector<Endpoint> endpoints;
            for (const auto& item : node) {
                if (std::optional<Endpoint> endpoint = parse(item, path, faults))
                    endpoints.push_back(*std::move(endpoint));
            }
            return endpoints;
        };
    }

    YamlParser<std::vector<DataCentreId>> dataCentresValue()
    {
        return [parse = idValue<DataCentreId>()](const YAML::Node& node, const std::string& path, YamlFaults& faults) -> std::optional<std::vector<DataCentreId>> {
            if (!node.IsSequence()) {
                faults.add(node, path, "this isn't a list", "write [NAME, ...]");
                return std::nullopt;
            }
            std::vector<DataCentreId> dataCentres;
            for (const auto& item : node) {
                if (std::optional<DataCentreId> dataCentre = parse(item, path, faults))
                    dataCentres.push_back(*std::move(dataCentre));
            }
            return dataCentres;
        };
    }

    YamlParser<std::optional<Endpoint>> optionalEndpointValue()
    {
        return [parse = endpointValue()](const YAML::Node& node, const std::string& path, YamlFaults& faults) -> std::optional<std::optional<Endpoint>> {
            return std::optional<std::optional<Endpoint>>(parse(node, path, faults));
        };
    }

    const YamlKeys<FleetSettings>& settingsKeys()
    {
        static const YamlKeys<FleetSettings> keys {
            requiredKey("node", &FleetSettings::node, textValue()),
            requiredKey("address", &FleetSettings::address, textValue()),
            requiredKey("data_centre", &FleetSettings::dataCentre, idValue<DataCentreId>()),
            requiredKey("peer_port", &FleetSettings::peerPort, numberValue(1, maxPort)),
            requiredKey("seeds", &FleetSettings::seeds, endpointsValue()),
            optionalKey("callers", &FleetSettings::callers, optionalEndpointValue()),
            optionalKey("readiness", &FleetSettings::readiness, optionalEndpointValue()),
            optionalKey("control", &FleetSettings::control, optionalEndpointValue()),
            optionalKey("cores", &FleetSettings::cores, fractionValue(minCores, maxCores)),
            optionalKey("memory_mb", &FleetSettings::memoryMb, numberValue(minMemoryMb, maxMemoryMb)),
            optionalKey("max_descriptors", &FleetSettings::maxDescriptors, numberValue(minDescriptors, maxDescriptors)),
            optionalKey("metrics_port", &FleetSettings::metricsPort, numberValue(0, maxPort)),
            optionalKey("data_folder", &FleetSettings::dataFolder, textValue()),
            optionalKey("founding", &FleetSettings::isFounding, flagValue()),
            optionalKey("resubmit_ms", &FleetSettings::resubmitMs, fractionValue(minResubmitMs, maxResubmitMs)),
            optionalKey("minion_report_ms", &FleetSettings::minionReportMs, fractionValue(minMinionReportMs, maxMinionReportMs)),
            optionalKey("catch_up_s", &FleetSettings::catchUpSeconds, fractionValue(minCatchUpSeconds, maxCatchUpSeconds)),
            optionalKey("lost_disks", &FleetSettings::lostDisks, numberValue(0, maxLostDisks)),
            optionalKey("interference", &FleetSettings::avoidsInterference, flagValue()),
            optionalKey("evacuation_ms", &FleetSettings::evacuationMs, fractionValue(minEvacuationMs, maxEvacuationMs)),
            optionalKey("data_centres", &FleetSettings::dataCentres, dataCentresValue()),
            optionalKey("second_choices", &FleetSettings::secondChoices, numberValue(0, maxSecondChoices)),
            optionalKey("max_job_tasks", &FleetSettings::maxJobTasks, numberValue(minMaxJobTasks, maxMaxJobTasks)),
        };
        return keys;
    }

    void checkRoles(const YAML::Node& document, const FleetSettings& settings, YamlFaults& faults)
    {
        if (!settings.callers && !settings.control)
            faults.add(document, "callers", "neither callers nor control is set, so the process has no role", "set callers for an entry or control for a keeper");
        if (settings.callers && settings.control)
            faults.add(document, "control", "a process can't be both an entry and a keeper", "run them as separate processes");
        if (settings.control && settings.dataFolder.empty())
            faults.add(document, "data_folder", "a keeper has no data folder", "set it to a folder on a persistent disk");
        if (settings.evacuationMs > 0 && settings.dataCentres.empty())
            faults.add(document, "data_centres", "evacuation_ms is set, but no data centre is named that may be evacuated", "list all data centres of the fleet");
    }

} // namespace

Result<FleetSettings> loadFleetSettings(const std::string& path)
{
    YamlFaults faults(path);
    const std::optional<std::string> text = readYamlFile(path, faults);
    if (!text)
        return faults.error();
    return parseFleetSettings(*text, path);
}

Result<FleetSettings> parseFleetSettings(const std::string& text, const std::string& file)
{
    YamlFaults faults(file);
    const std::optional<YAML::Node> document = parseYaml(text, faults);
    if (!document)
        return faults.error();
    FleetSettings settings = readMapping(*document, "", settingsKeys(), faults);
    if (faults.empty())
        checkRoles(*document, settings, faults);
    if (!faults.empty())
        return faults.error();
    return settings;
}

} // namespace trefoilwing
