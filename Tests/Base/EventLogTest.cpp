#include "Ports/EventLog.h"

#include <CppUTest/TestHarness.h>

using namespace trefoilwing;

TEST_GROUP(EventLog) {};

TEST(EventLog, FormatsOneLineOfKeyValuePairs)
{
    STRCMP_EQUAL("event=started port=8080 note=\"two words\\n\"",
        formatEvent("started", { { "port", uint64_t { 8080 } }, { "note", "two words\n" } }).c_str());
}
