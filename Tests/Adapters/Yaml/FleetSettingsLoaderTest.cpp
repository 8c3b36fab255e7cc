#include "Adapters/Yaml/FleetSettingsLoader.h"

#include <CppUTest/TestHarness.h>

using namespace trefoilwing;

namespace {

const std::string keeperSettings = "node: keeper-1\n"
                                   "address: 10.0.0.1\n"
                                   "data_centre: bole\n"
                                   "peer_port: 7720\n"
                                   "seeds: ['10.0.0.1:8166']\n"
                                   "control: 10.0.0.1:8166\n"
                                   "data_folder: data\n";

std::string faultsOf(const std::string& added)
{
    const Result<FleetSettings> result = parseFleetSettings(keeperSettings + added, "a.yaml");
    const Error* error = errorOf(result);
    return error ? error->message : "";
}

void checkHolds(const std::string& added, const std::string& part)
{
    STRCMP_CONTAINS(part.c_str(), faultsOf(added).c_str());
}

} // namespace

TEST_GROUP(FleetSettingsLoader) {};

TEST(FleetSettingsLoader, WithoutTheSettingOperatorsCantEvacuate)
{
    const Result<FleetSettings> settings = parseFleetSettings(keeperSettings, "a.yaml");
    CHECK(valueOf(settings));
    DOUBLES_EQUAL(0, valueOf(settings)->evacuationMs, 0);
    CHECK(valueOf(settings)->dataCentres.empty());
}

TEST(FleetSettingsLoader, TheDataCentresThatMayBeEvacuatedAreRead)
{
    const Result<FleetSettings> settings = parseFleetSettings(keeperSettings + "evacuation_ms: 5000\ndata_centres: [\"bole\",\"merkato\"]\n", "a.yaml");
    CHECK(valueOf(settings));
    DOUBLES_EQUAL(5000, valueOf(settings)->evacuationMs, 0);
    CHECK(valueOf(settings)->dataCentres == (std::vector<DataCentreId> { DataCentreId("bole"), DataCentreId("merkato") }));
}

// Guards against settings with which every order is refused although operators rely on them.
TEST(FleetSettingsLoader, FaultsOfEvacuationNameFileLineKeyAndRemedy)
{
    checkHolds("evacuation_ms: 5000\n", "data_centres");
    checkHolds("evacuation_ms: 5000\n", "list all data centres");
    checkHolds("evacuation_ms: 5000\ndata_centres: []\n", "data_centres");
    checkHolds("evacuation_ms: 5000\ndata_centres: bole\n", "a.yaml:9");
    checkHolds("evacuation_ms: 5000\ndata_centres: bole\n", "write [NAME, ...]");
    checkHolds("evacuation_ms: 5000\ndata_centres: [bole, '']\n", "a.yaml:9");
    checkHolds("evacuation_ms: soon\ndata_centres: [bole]\n", "evacuation_ms");
    checkHolds("evacuation_ms: 3\ndata_centres: [bole]\n", "evacuation_ms");
}

// Guards against second choices in a fleet whose settings don't ask for them.
TEST(FleetSettingsLoader, SecondChoicesAreOffUnlessSet)
{
    LONGS_EQUAL(0, valueOf(parseFleetSettings(keeperSettings, "fleet.yaml"))->secondChoices);
    LONGS_EQUAL(2, valueOf(parseFleetSettings(keeperSettings + "second_choices: 2\n", "fleet.yaml"))->secondChoices);
}

TEST(FleetSettingsLoader, TooManySecondChoicesAreRefusedWithTheirLine)
{
    const Result<FleetSettings> refused = parseFleetSettings(keeperSettings + "second_choices: 4\n", "fleet.yaml");
    CHECK(errorOf(refused));
    STRCMP_CONTAINS("fleet.yaml:8", errorOf(refused)->message.c_str());
    STRCMP_CONTAINS("second_choices", errorOf(refused)->message.c_str());
}

TEST(FleetSettingsLoader, TheLargestJobIsASettingAndChecked)
{
    LONGS_EQUAL(10000, valueOf(parseFleetSettings(keeperSettings, "fleet.yaml"))->maxJobTasks);
    LONGS_EQUAL(1300, valueOf(parseFleetSettings(keeperSettings + "max_job_tasks: 1300\n", "fleet.yaml"))->maxJobTasks);
    for (const char* bad : { "max_job_tasks: 0\n", "max_job_tasks: 100001\n" })
        STRCMP_CONTAINS("max_job_tasks", errorOf(parseFleetSettings(keeperSettings + bad, "fleet.yaml"))->message.c_str());
}

// Guards against a limit that is applied although it isn't set, and against one that leaves no connection.
TEST(FleetSettingsLoader, TheDescriptorLimitIsOptionalAndChecked)
{
    const Result<FleetSettings> unset = parseFleetSettings(keeperSettings, "a.yaml");
    CHECK(valueOf(unset));
    LONGS_EQUAL(0, valueOf(unset)->maxDescriptors);
    const Result<FleetSettings> set = parseFleetSettings(keeperSettings + "max_descriptors: 3075\n", "a.yaml");
    CHECK(valueOf(set));
    LONGS_EQUAL(3075, valueOf(set)->maxDescriptors);
    const Result<FleetSettings> low = parseFleetSettings(keeperSettings + "max_descriptors: 63\n", "a.yaml");
    CHECK(errorOf(low));
    STRCMP_CONTAINS("a.yaml:8: max_descriptors", errorOf(low)->message.c_str());
}
