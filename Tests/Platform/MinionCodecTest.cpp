#include "platform/MinionCodec.h"

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

using namespace trefoilwing;
using nlohmann::json;

namespace {

const OrderHeader header { { MinionId("i-7f3a91c2"), MinionStartTime(77) }, { "10.128.0.9", 8080 }, OwnerEpoch(7) };
const RunId startedRun { JobKey("5c0e7a21d94b36f8"), TaskIndex(17), RunNumber(2) };

std::shared_ptr<const std::string> specification(const char* text)
{
    return std::make_shared<const std::string>(text);
}

RenewResult decodeRenewal(const std::string& body, unsigned status = 200)
{
    return platform::decodeResult(RenewOrder { header, 0, 0, {} }, HttpResult(WebResponse { status, {}, body }));
}

OrderFailure startFailure(unsigned status, const std::string& body)
{
    return platform::decodeResult(StartOrder { header, startedRun, specification("s"), 1 }, HttpResult(WebResponse { status, {}, body })).failure;
}

} // namespace

TEST_GROUP(MinionCodec) {};

TEST(MinionCodec, OrdersNameTheRunTheEpochAndTheMinion)
{
    const WebRequest request = platform::encodeOrder(StartOrder { header, startedRun, specification("(text)"), 486000 });
    STRCMP_EQUAL("/run-start", request.target.c_str());
    const json body = json::parse(request.body);
    STRCMP_EQUAL("5c0e7a21d94b36f8.0.0.17", body["task"].get<std::string>().c_str());
    LONGS_EQUAL(2, body["run_id"].get<int>());
    LONGS_EQUAL(7, body["fencing_token"].get<int>());
    LONGS_EQUAL(486000, body["expires_ms"].get<int>());
    STRCMP_EQUAL("i-7f3a91c2", findHeader(request.headers, "X-Trefoilwing-Expected-Instance")->c_str());
    const json hold = json::parse(platform::encodeOrder(RenewOrder { header, 486000, 57, absl::Milliseconds(250) }).body);
    LONGS_EQUAL(57, hold["last_seen"].get<int>());
    LONGS_EQUAL(250, hold["wait_ms"].get<int>());
}

TEST(MinionCodec, ARenewalListsRunsAndEnds)
{
    const RenewResult result = decodeRenewal(R"({"clock_ms":482113,"born":77,"running":[["5c0e7a21d94b36f8.0.0.17",2,"",41,6800]],"finished":[[58,"5c0e7a21d94b36f8.0.0.9",1,"done",""]]})");
    CHECK(result.failure == OrderFailure::None);
    LONGS_EQUAL(482113, result.clockMs);
    CHECK(result.running.front().run == startedRun);
    LONGS_EQUAL(41, result.running.front().progress);
    LONGS_EQUAL(58, result.ended.front().number);
    CHECK(result.ended.front().end == RunEnd::Done);
}

TEST(MinionCodec, AnAnswerOfAnotherInstanceIsRecognisedByItsStartTime)
{
    CHECK(decodeRenewal(R"({"clock_ms":1,"born":78,"running":[],"finished":[]})").failure == OrderFailure::OtherInstance);
    CHECK(decodeRenewal(R"({"clock_ms":1,"born":78,"running":[],"finished":[]})").answeredBy == MinionStartTime(78));
    CHECK(decodeRenewal("", 421).failure == OrderFailure::OtherInstance);
    CHECK(decodeRenewal("", 421).answeredBy == MinionStartTime(0));
}

TEST(MinionCodec, RefusalsAreDecodedByReason)
{
    CHECK(startFailure(409, R"({"clock_ms":1,"reason":"fence"})") == OrderFailure::Fenced);
    CHECK(startFailure(409, R"({"clock_ms":1,"reason":"old"})") == OrderFailure::OldRun);
    CHECK(startFailure(409, R"({"clock_ms":1,"reason":"late"})") == OrderFailure::LeaseEnded);
    CHECK(startFailure(409, R"({"clock_ms":1,"reason":"room"})") == OrderFailure::NoRoom);
    CHECK(startFailure(503, "") == OrderFailure::Unhealthy);
    CHECK(startFailure(400, "") == OrderFailure::Refused);
    CHECK(startFailure(200, "not json") == OrderFailure::NoAnswer);
    CHECK(platform::decodeResult(StartOrder { header, startedRun, specification("s"), 1 }, HttpResult(HttpFailure::NotSent)).failure == OrderFailure::NotSent);
}
