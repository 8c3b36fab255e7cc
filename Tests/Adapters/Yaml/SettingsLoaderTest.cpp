#include "Adapters/Yaml/SettingsLoader.h"
#include "Adapters/Yaml/FleetSettingsLoader.h"

#include <CppUTest/TestHarness.h>

using namespace trefoilwing;

namespace {

const std::string goodSettings = "daemon: bole-1\n"
                                 "data_folder: data\n"
                                 "max_request_body: 2MiB\n"
                                 "peers:\n"
                                 "  - daemon: bole-1\n"
                                 "    data_centre: bole\n"
                                 "    peer_endpoint: 127.0.0.1:7101\n"
                                 "    http_endpoint: '[::1]:8101'\n"
                                 "    roles: [entry, keeper]\n"
                                 "  - daemon: merkato-1\n"
                                 "    data_centre: merkato\n"
                                 "    peer_endpoint: 127.0.0.1:7201\n"
                                 "    http_endpoint: 127.0.0.1:8201\n";

std::string faultsOf(const std::string& text)
{
    const Result<DaemonSettings> result = parseSettings(text, "a.yaml");
    const Error* error = errorOf(result);
    return error ? error->message : "";
}

void checkHolds(const std::string& text, const std::string& part)
{
    if (text.find(part) == std::string::npos)
        FAIL(("no '" + part + "' in: " + text).c_str());
}

std::string replaced(const std::string& part, const std::string& by)
{
    std::string text = goodSettings;
    return text.replace(text.find(part), part.size(), by);
}

} // namespace

TEST_GROUP(SettingsLoader) {};

TEST(SettingsLoader, TakesItsOwnSettingsFromThePeers)
{
    const Result<DaemonSettings> result = parseSettings(goodSettings, "a.yaml");
    const DaemonSettings* settings = valueOf(result);
    CHECK_TRUE(settings);
    CHECK_TRUE(settings->dataCentre == DataCentreId("bole"));
    CHECK_TRUE((settings->httpEndpoint == Endpoint { "::1", 8101 }));
    CHECK_TRUE(settings->isKeeper);
    CHECK_TRUE(settings->maxRequestBody == Bytes(2U << 20U));
    CHECK_FALSE(settings->peers[1].isKeeper);
    CHECK_TRUE(settings->peers[1].isEntry);
}

TEST(SettingsLoader, ReportsEveryFaultWithLineKeyAndCure)
{
    const std::string faults = faultsOf("daemon: bole 1\n"
                                        "max_conections: 9\n"
                                        "max_connections: 1\n"
                                        "max_connections: 9\n"
                                        "max_request_body: 5\n"
                                        "peers:\n"
                                        "  - daemon: b\n"
                                        "    peer_endpoint: localhost:1\n"
                                        "    http_endpoint: 127.0.0.1:99999\n"
                                        "    roles: [kepper]\n");
    checkHolds(faults, "a.yaml:1: daemon: 'bole 1' isn't a valid name; write 1 to 64 letters");
    checkHolds(faults, "a.yaml:2: max_conections: this key is unknown; did you mean 'max_connections'?");
    checkHolds(faults, "a.yaml:3: max_connections: '1' isn't a whole number in range; write a whole number from 8 to 100000");
    checkHolds(faults, "a.yaml:4: max_connections: this key is already given at line 3; keep one of the two");
    checkHolds(faults, "a.yaml:5: max_request_body: '5' isn't a size in range");
    checkHolds(faults, "a.yaml:7: peers[0].data_centre: this key is missing; add it");
    checkHolds(faults, "a.yaml:8: peers[0].peer_endpoint: 'localhost:1' isn't an IP address and a port");
    checkHolds(faults, "a.yaml:9: peers[0].http_endpoint: '127.0.0.1:99999'");
    checkHolds(faults, "a.yaml:10: peers[0].roles: 'kepper' isn't a role; did you mean 'keeper'?");
}

TEST(SettingsLoader, RefusesSettingsThatContradictEachOther)
{
    checkHolds(faultsOf(replaced("daemon: bole-1", "daemon: piassa-1")), "a.yaml:1: daemon: 'piassa-1' isn't among the peers");
    checkHolds(faultsOf(replaced("data_folder: data\n", "")), "data_folder: a keeper has no data folder");
    checkHolds(faultsOf(replaced("127.0.0.1:8201", "127.0.0.1:7101")), "'127.0.0.1:7101' is used twice, the second time by daemon 'merkato-1'");
    checkHolds(faultsOf(replaced("daemon: merkato-1", "daemon: bole-1")), "a.yaml:10: peers[1]: 'bole-1' is already listed at line 5");
}

TEST(SettingsLoader, NamesTheFileThatHoldsNoSettings)
{
    checkHolds(faultsOf(""), "a.yaml:1: this isn't a mapping");
    checkHolds(faultsOf("a: [1\nb: 2\n"), "a.yaml:2: this isn't valid YAML");
    const Result<DaemonSettings> missing = loadSettings("no-such-file.yaml");
    CHECK_TRUE(errorOf(missing));
    checkHolds(errorOf(missing)->message, "no-such-file.yaml:1: the file can't be opened (No such file or directory)");
}

TEST_GROUP(FleetAdmissionSetting)
{
    const std::string entrySettings = "node: a\naddress: 127.0.0.1\ndata_centre: bole\npeer_port: 7000\nseeds: []\ncallers: 127.0.0.1:8000\n";
};

// A missing key must not change which jobs an entry accepts.
TEST(FleetAdmissionSetting, IsTheAverageWaitUnlessCapacityIsNamed)
{
    const Result<FleetSettings> missing = parseFleetSettings(entrySettings, "a.yaml");
    const Result<FleetSettings> named = parseFleetSettings(entrySettings + "admission: capacity\n", "a.yaml");
    CHECK(std::get<FleetSettings>(missing).admission == AdmissionRule::AverageWait);
    CHECK(std::get<FleetSettings>(named).admission == AdmissionRule::Capacity);
}

TEST(FleetAdmissionSetting, AnUnknownRuleIsRefusedWithItsLine)
{
    const Result<FleetSettings> result = parseFleetSettings(entrySettings + "admission: best\n", "a.yaml");
    checkHolds(errorOf(result)->message, "a.yaml:7");
    checkHolds(errorOf(result)->message, "admission");
    checkHolds(errorOf(result)->message, "write capacity");
}
