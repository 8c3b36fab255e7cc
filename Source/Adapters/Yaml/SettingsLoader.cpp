#include "Adapters/Yaml/SettingsLoader.h"

#include "Adapters/Yaml/YamlDocument.h"
#include "Adapters/Yaml/YamlMapping.h"

#include <algorithm>
#include <array>
#include <set>

namespace trefoilwing {

namespace {

    struct Role {
        const char* name;
        bool PeerSettings::*member;
    };

    constexpr std::array<Role, 2> roles { {
        { "entry", &PeerSettings::isEntry },
        { "keeper", &PeerSettings::isKeeper },
    } };

    void readRole(const YAML::Node& node, const std::string& path, YamlFaults& faults, PeerSettings& out)
    {
        const std::string name = node.IsScalar() ? node.Scalar() : "";
        const auto* role = std::find_if(roles.begin(), roles.end(), [&](const Role& r) { return name == r.name; });
        if (role == roles.end())
            faults.add(node, path, absl::StrCat("'", name, "' isn't a role"), suggestName(name, { "entry", "keeper" }));
        else if (out.*role->member)
            faults.add(node, path, absl::StrCat("the role '", name, "' is listed twice"), "keep one of the two");
        else
            out.*role->member = true;
    }

    void readRoles(const YAML::Node& node, const std::string& path, YamlFaults& faults, PeerSettings& out)
    {
        if (!node.IsSequence() || node.size() == 0) {
            faults.add(node, path, "this isn't a list of roles", "write [entry], [keeper] or [entry, keeper]");
            return;
        }
        out.isEntry = false;
        out.isKeeper = false;
        for (const auto& item : node)
            readRole(item, path, faults, out);
    }

    const YamlKeys<PeerSettings>& peerKeys()
    {
        static const YamlKeys<PeerSettings> keys {
            requiredKey("daemon", &PeerSettings::daemon, idValue<DaemonId>()),
            requiredKey("data_centre", &PeerSettings::dataCentre, idValue<DataCentreId>()),
            requiredKey("peer_endpoint", &PeerSettings::peerEndpoint, endpointValue()),
            requiredKey("http_endpoint", &PeerSettings::httpEndpoint, endpointValue()),
            { "roles", false, readRoles },
        };
        return keys;
    }

    const YamlKeys<DaemonSettings>& settingsKeys()
    {
        static const YamlKeys<DaemonSettings> keys {
            requiredKey("daemon", &DaemonSettings::daemon, idValue<DaemonId>()),
            optionalKey("data_folder", &DaemonSettings::dataFolder, textValue()),
            optionalKey("log_folder", &DaemonSettings::logFolder, textValue()),
            optionalKey("claim_guard", &DaemonSettings::claimGuard, durationValue(absl::ZeroDuration(), absl::Hours(24 * 30))),
            optionalKey("max_connections", &DaemonSettings::maxConnections, numberValue(8, 100000)),
            optionalKey("max_request_body", &DaemonSettings::maxRequestBody, sizeValue(Bytes(1024), Bytes(uint64_t { 1 } << 30U))),
            requiredKey("peers", &DaemonSettings::peers, listValue(peerKeys(), &PeerSettings::daemon)),
        };
        return keys;
    }

    void checkEndpointsDiffer(const YAML::Node& document, const DaemonSettings& settings, YamlFaults& faults)
    {
        std::set<Endpoint> seen;
        for (const PeerSettings& peer : settings.peers) {
            for (const Endpoint& endpoint : { peer.peerEndpoint, peer.httpEndpoint }) {
                if (endpoint.port != 0 && !seen.insert(endpoint).second)
                    faults.add(document["peers"], "peers", absl::StrCat("'", formatEndpoint(endpoint), "' is used twice, the second time by daemon '", peer.daemon.value(), "'"), "give each daemon its own addresses or ports");
            }
        }
    }

    void copyOwnSettings(const YAML::Node& document, DaemonSettings& settings, YamlFaults& faults)
    {
        const auto own = std::find_if(settings.peers.begin(), settings.peers.end(), [&](const PeerSettings& peer) { return peer.daemon == settings.daemon; });
        if (own == settings.peers.end()) {
            faults.add(document["daemon"], "daemon", absl::StrCat("'", settings.daemon.value(), "' isn't among the peers"), "add it to the peers or correct the name");
            return;
        }
        settings.dataCentre = own->dataCentre;
        settings.peerEndpoint = own->peerEndpoint;
        settings.httpEndpoint = own->httpEndpoint;
        settings.isEntry = own->isEntry;
        settings.isKeeper = own->isKeeper;
        if (settings.isKeeper && settings.dataFolder.empty())
            faults.add(document, "data_folder", "a keeper has no data folder", "set it to a folder on a persistent disk, or remove the role");
    }

} // namespace

Result<DaemonSettings> loadSettings(const std::string& path)
{
    YamlFaults faults(path);
    const std::optional<std::string> text = readYamlFile(path, faults);
    if (!text)
        return faults.error();
    return parseSettings(*text, path);
}

Result<DaemonSettings> parseSettings(const std::string& text, const std::string& file)
{
    YamlFaults faults(file);
    const std::optional<YAML::Node> document = parseYaml(text, faults);
    if (!document)
        return faults.error();
    DaemonSettings settings = readMapping(*document, "", settingsKeys(), faults);
    // The members can be compared only once each of them is valid.
    if (faults.empty()) {
        copyOwnSettings(*document, settings, faults);
        checkEndpointsDiffer(*document, settings, faults);
    }
    if (!faults.empty())
        return faults.error();
    return settings;
}

} // namespace trefoilwing
