#include "platform/BeatCodec.h"

#include <CppUTest/TestHarness.h>

using namespace trefoilwing;

namespace {

const std::string beat = R"({"service":"huvo11a","address":"10.128.0.9:8080","zone":"ub-sukhbaatar","version":"v1","slots":8,)"
                         R"("state":"ready","cold_remaining_ms":0,"capacity":{"cpu":16000,"mem_mb":32768,"gpu":0},"labels":["a","r1-3"],)"
                         R"("clock_ms":482113,"sequence":4,"born":1791244542000})";

std::string with(const std::string& from, const std::string& to)
{
    std::string text = beat;
    return text.replace(text.find(from), from.size(), to);
}

} // namespace

TEST_GROUP(BeatCodec) {};

TEST(BeatCodec, AReportIsDecoded)
{
    const Result<MinionReport> report = platform::decodeBeat("i-7f3a91c2", beat);
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

TEST(BeatCodec, ALeavingMinionIsKnown)
{
    CHECK(valueOf(platform::decodeBeat("i", with("\"ready\"", "\"draining\"")))->state == MinionState::Leaving);
}

TEST(BeatCodec, WhatAnotherWriterSendsNamesNoMinion)
{
    for (const std::string& bad : { with("\"ready\"", "\"asleep\""), with("\"sequence\":4", "\"sequence\":\"4\""), with("10.128.0.9:8080", "10.128.0.9"),
             with("10.128.0.9:8080", "10.128.0.9:99999"), with("\"capacity\"", "\"room\""), std::string("[]"), std::string("\xff\xfe"), beat.substr(0, 40) })
        CHECK(errorOf(platform::decodeBeat("i", bad)));
    CHECK(errorOf(platform::decodeBeat("", beat)));
}
