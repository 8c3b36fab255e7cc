#include "platform/MinionReportCodec.h"

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

using namespace trefoilwing;

namespace {

const std::string reportBody = R"({"service":"huvo11a","address":"10.128.0.9:8080","zone":"ub-sukhbaatar","version":"v1","slots":8,)"
                               R"("state":"ready","cold_remaining_ms":0,"capacity":{"cpu":16000,"mem_mb":32768,"gpu":0},"labels":["a","r1-3"],)"
                               R"("clock_ms":482113,"sequence":4,"born":1791244542000})";

std::string with(const std::string& from, const std::string& to)
{
    std::string text = reportBody;
    return text.replace(text.find(from), from.size(), to);
}

} // namespace

TEST_GROUP(MinionReportCodec) {};

TEST(MinionReportCodec, AReportIsDecoded)
{
    const Result<MinionReport> report = platform::decodeMinionReport("i-7f3a91c2", reportBody);
    CHECK(valueOf(report));
    const MinionReport& minion = *valueOf(report);
    STRCMP_EQUAL("i-7f3a91c2", minion.instance.minion.value().c_str());
    LONGS_EQUAL(4, minion.sequence);
    STRCMP_EQUAL("10.128.0.9", minion.endpoint.address.c_str());
    LONGS_EQUAL(8080, minion.endpoint.port);
    STRCMP_EQUAL("ub-sukhbaatar", minion.pool.dataCentre.value().c_str());
    LONGS_EQUAL(16000, minion.capacity.milliCores);
    CHECK(minion.state == MinionState::Serving);
    CHECK(minion.instance.startTime == MinionStartTime(1791244542000));
}

TEST(MinionReportCodec, ADrainingMinionIsLeaving)
{
    CHECK(valueOf(platform::decodeMinionReport("i", with("\"ready\"", "\"draining\"")))->state == MinionState::Leaving);
}

TEST(MinionReportCodec, InvalidReportsAreRejected)
{
    for (const std::string& bad : { with("\"ready\"", "\"asleep\""), with("\"sequence\":4", "\"sequence\":\"4\""), with("10.128.0.9:8080", "10.128.0.9"),
             with("10.128.0.9:8080", "10.128.0.9:99999"), with("\"capacity\"", "\"room\""), std::string("[]"), std::string("\xff\xfe"), reportBody.substr(0, 40) })
        CHECK(errorOf(platform::decodeMinionReport("i", bad)));
    CHECK(errorOf(platform::decodeMinionReport("", reportBody)));
}

// Guards against entries of other writers that end the processes that read them: each is rejected with an error.
TEST(MinionReportCodec, OddEntriesOfOtherWritersAreRejected)
{
    const std::string deep = std::string(100000, '[') + std::string(100000, ']');
    for (const std::string& odd : { with("[\"a\",\"r1-3\"]", deep), with("\"service\":\"huvo11a\"", "\"service\":" + deep), deep, std::string(1000000, '{'),
             with("\"sequence\":4", "\"sequence\":18446744073709551615"), with("\"sequence\":4", "\"sequence\":1e400"),
             with("\"sequence\":4", "\"sequence\":99999999999999999999999999"), with("\"cpu\":16000", "\"cpu\":9223372036854775807"), with("\"cpu\":16000", "\"cpu\":-1"),
             with("1791244542000", "-5"), with("1791244542000", "1.5"), with(":8080", ":65536"), with(":8080", ":0"), with(":8080", ":-1"), with(":8080", ":4294967376"),
             with("10.128.0.9", "10.128.0.999"), with("10.128.0.9", "0.0.0.0"), with("10.128.0.9", "minion\\r\\nX: y"), with("10.128.0.9", ""), with("\"zone\":\"ub-sukhbaatar\"", "\"zone\":null"),
             with("huvo11a", std::string(100000, 'x')) })
        CHECK(errorOf(platform::decodeMinionReport("i", odd)));
}

// Guards against a copy of a minion's report that another writer has sent with a field missing or of another type, and that
// changed the minion since the product doesn't use the field.
TEST(MinionReportCodec, EachFieldOfAReportIsCheckedAlsoThoseThatArentUsed)
{
    using nlohmann::json;
    const json whole = json::parse(reportBody);
    for (const char* name : { "service", "address", "zone", "version", "slots", "state", "cold_remaining_ms", "capacity", "labels", "sequence" }) {
        json odd = whole;
        odd.erase(name);
        CHECK_TEXT(errorOf(platform::decodeMinionReport("i", odd.dump())), name);
    }
    for (const auto& item : whole.items()) {
        for (const json& other : { json(nullptr), json(true), json::object(), json::array({ 1 }), item.value().is_string() ? json(7) : json("text") }) {
            json odd = whole;
            odd[item.key()] = other;
            CHECK_TEXT(errorOf(platform::decodeMinionReport("i", odd.dump())), (item.key() + " " + other.dump()).c_str());
        }
    }
    for (const char* name : { "cpu", "mem_mb", "gpu" }) {
        json odd = whole;
        odd["capacity"][name] = "16000";
        CHECK_TEXT(errorOf(platform::decodeMinionReport("i", odd.dump())), name);
    }
    for (const json& odd : { json::array({ "a", nullptr }), json::array({ "a", json::array() }), json(std::vector<std::string>(1000, "a")), json::array({ std::string(1000, 'a') }) }) {
        json report = whole;
        report["labels"] = odd;
        CHECK_TEXT(errorOf(platform::decodeMinionReport("i", report.dump())), odd.dump().c_str());
    }
}

// Minions of the fleet differ in what they add to the fields that all of them report.
TEST(MinionReportCodec, ReportsOfTheFleetAreTaken)
{
    using nlohmann::json;
    const json whole = json::parse(reportBody);
    for (const char* name : { "born", "clock_ms" }) {
        json report = whole;
        report.erase(name);
        CHECK_TEXT(valueOf(platform::decodeMinionReport("i", report.dump())), name);
    }
    json report = whole;
    report["capacity"].erase("gpu");
    report["cold_remaining_ms"] = 812.5;
    report["labels"] = json::array();
    report["remaining_ms"] = 2000;
    report["added_later"] = json::object();
    CHECK(valueOf(platform::decodeMinionReport("i", report.dump())));
}
