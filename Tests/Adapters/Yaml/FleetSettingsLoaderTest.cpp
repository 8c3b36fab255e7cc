#include "Adapters/Yaml/FleetSettingsLoader.h"

#include <CppUTest/TestHarness.h>

using namespace trefoilwing;

namespace {

const std::string entrySettings = "node: a\naddress: 127.0.0.1\ndata_centre: bole\npeer_port: 7720\nseeds: []\ncallers: 127.0.0.1:8161\n";

} // namespace

TEST_GROUP(FleetSettingsLoader) {};

// Guards against a limit that is applied although it isn't set, and against one that leaves no connection.
TEST(FleetSettingsLoader, TheDescriptorLimitIsOptionalAndChecked)
{
    const Result<FleetSettings> unset = parseFleetSettings(entrySettings, "a.yaml");
    CHECK(valueOf(unset));
    LONGS_EQUAL(0, valueOf(unset)->maxDescriptors);
    const Result<FleetSettings> set = parseFleetSettings(entrySettings + "max_descriptors: 3075\n", "a.yaml");
    CHECK(valueOf(set));
    LONGS_EQUAL(3075, valueOf(set)->maxDescriptors);
    const Result<FleetSettings> low = parseFleetSettings(entrySettings + "max_descriptors: 63\n", "a.yaml");
    CHECK(errorOf(low));
    STRCMP_CONTAINS("a.yaml:7: max_descriptors", errorOf(low)->message.c_str());
}
