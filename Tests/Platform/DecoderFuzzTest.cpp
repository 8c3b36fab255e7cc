#include "platform/JobCodec.h"
#include "platform/MinionCodec.h"
#include "platform/MinionReportCodec.h"
#include "platform/RoutingCodec.h"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace trefoilwing;

namespace {

/// @return a well-formed body with up to five bytes changed, so that most cases reach deep into the decoders.
std::string mutated(const std::string& body)
{
    std::string text = body;
    const int changes = *rc::gen::inRange(0, 6);
    for (int i = 0; i < changes; ++i) {
        const auto place = static_cast<size_t>(*rc::gen::inRange<int>(0, static_cast<int>(text.size())));
        text[place] = *rc::gen::elementOf(std::string("0129{}[]\",:xe-.\\\xff"));
    }
    return text.substr(0, static_cast<size_t>(*rc::gen::inRange<int>(0, static_cast<int>(text.size()) + 1)));
}

} // namespace

TEST_GROUP(PlatformFuzz) {};

// Decoders must accept or reject every body; an exception or a crash would end the process.
TEST(PlatformFuzz, EveryBodyIsDecodedOrRejected)
{
    const std::string job = R"({"spec":"s","best_effort":true,"steps":[{"count":4,"cpu":500,"mem_mb":256,"gpu":1,"estimated_ms":900}]})";
    const std::string report = R"({"service":"a","address":"10.0.0.9:80","zone":"z","state":"ready","capacity":{"cpu":1,"mem_mb":2,"gpu":0},"sequence":4,"born":9})";
    const std::string hold = R"({"clock_ms":4,"born":77,"running":[["5c0e.0.0.17",2,"",41,6]],"finished":[[58,"5c0e.0.0.9",1,"done",""]]})";
    const std::string table = R"({"version":7,"routes":[{"name":"r","host":"h","path_prefix":"/p/","timeout_ms":1,"service":"s","stretch":1.5}],"services":[{"name":"s"}]})";
    const bool isSound = rc::check("bodies", [&] {
        static_cast<void>(platform::decodeJob({ "POST", "/", "h", {}, mutated(job) }, "5c0e7a21d94b36f8", 1300));
        static_cast<void>(platform::decodeMinionReport("i", mutated(report)));
        const OrderHeader header { { MinionId("i"), MinionStartTime(77) }, { "10.0.0.9", 80 }, OwnerEpoch(7) };
        const auto status = *rc::gen::elementOf(std::vector<unsigned> { 200, 409, 421, 500 });
        static_cast<void>(platform::decodeResult(RenewOrder { header, 0, 0, {} }, HttpResult(WebResponse { status, {}, mutated(hold) })));
        static_cast<void>(platform::RoutingCodec().read(mutated(table)));
    });
    CHECK(isSound);
}
