#include "platform/RoutingCodec.h"

#include <CppUTest/TestHarness.h>

using namespace trefoilwing;

namespace {

const std::string route = R"({"name":"r-1","host":"nony24.example","path_prefix":"/lohu930/","kind":"non_idempotent","timeout_ms":1500,"target_latency_ms":60,"priority":1,"service":"huvo11a","max_attempts":4,"stretch":1.6})";

std::string configuration(const std::string& routes, const std::string& services = R"([{"name":"huvo11a","admission_check":true}])")
{
    return R"({"version":7,"routes":[)" + routes + R"(],"services":)" + services + R"(,"limits":{"max_body_bytes":262144}})";
}

std::string changed(const std::string& from, const std::string& to)
{
    std::string text = route;
    return text.replace(text.find(from), from.size(), to);
}

} // namespace

TEST_GROUP(RoutingCodec)
{
    platform::RoutingCodec codec;
};

TEST(RoutingCodec, ATableIsDecoded)
{
    const Result<RoutingTable> table = codec.read(configuration(route));
    CHECK(valueOf(table));
    LONGS_EQUAL(7, valueOf(table)->version.value());
    const Route* found = valueOf(table)->find("nony24.example", "/lohu930/5c0e7a21d94b36f8");
    CHECK(found);
    CHECK(found->timeout == absl::Milliseconds(1500));
    DOUBLES_EQUAL(1.6, found->stretch, 1e-9);
    LONGS_EQUAL(4, found->maxAttempts);
    CHECK_FALSE(valueOf(table)->find("other.example", "/lohu930/x"));
}

TEST(RoutingCodec, TheLongestPrefixWins)
{
    const Result<RoutingTable> table = codec.read(configuration(route + "," + changed("/lohu930/", "/lohu930/deep/")));
    LONGS_EQUAL(14, valueOf(table)->find("nony24.example", "/lohu930/deep/x")->pathPrefix.size());
}

// Guards against a keeper that accepts an invalid configuration, which would replace the valid one.
TEST(RoutingCodec, InvalidTablesAreRefused)
{
    const std::string twice = route + "," + route;
    for (const std::string& bad : { configuration(route).substr(0, 60), configuration(changed("huvo11a", "unknown")), configuration(twice),
             configuration(changed("1500", "0")), configuration(changed("1500", "\"1500\"")), configuration(route, "{}"), std::string(R"({"routes":[],"services":[]})"),
             configuration(changed("1.6", "\"x\"")), std::string("null") })
        CHECK(errorOf(codec.read(bad)));
}
