#include "Adapters/Yaml/FleetSettingsLoader.h"

#include <CppUTest/TestHarness.h>

using namespace trefoilwing;

TEST_GROUP(FleetSettingsLoader) {
    static Result<FleetSettings> parse(const std::string& line) {
        return parseFleetSettings("node: n\naddress: 10.0.0.1\ndata_centre: bole\npeer_port: 7000\nseeds: []\ncallers: 10.0.0.1:80\n" + line, "fleet.yaml");
}
}
;

// Guards against second choices in a fleet whose settings don't ask for them.
TEST(FleetSettingsLoader, SecondChoicesAreOffUnlessSet)
{
    LONGS_EQUAL(0, valueOf(parse(""))->secondChoices);
    LONGS_EQUAL(2, valueOf(parse("second_choices: 2\n"))->secondChoices);
}

TEST(FleetSettingsLoader, TooManySecondChoicesAreRefusedWithTheirLine)
{
    const Result<FleetSettings> refused = parse("second_choices: 4\n");
    CHECK(errorOf(refused));
    STRCMP_CONTAINS("fleet.yaml:7", errorOf(refused)->message.c_str());
    STRCMP_CONTAINS("second_choices", errorOf(refused)->message.c_str());
}
