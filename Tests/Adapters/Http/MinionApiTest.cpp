#include "Adapters/Http/MinionApi.h"
#include "Adapters/Http/MinionCodec.h"

#include <httplib.h>

#include <CppUTest/TestHarness.h>

using namespace trefoilwing;

namespace {

class RecordingSink : public MinionSink {
public:
    Result<absl::Duration> announced(const MinionAnnouncement& announcement) override
    {
        minion = announcement.minion;
        return absl::Seconds(3);
    }
    void resultsPosted(ResultBatch) override { }

    MinionId minion;
};

} // namespace

TEST_GROUP(MinionApi)
{
    RecordingSink sink;
    MinionApi api { sink };
    HttpServer server { { 4, Bytes { 65536 } } };

    void setup() override
    {
        api.addRoutes(server);
        CHECK(valueOf(server.start({ "127.0.0.1", 0 })));
    }
};

TEST(MinionApi, AnAnnouncementIsAcceptedAndItsConnectionClosed)
{
    const MinionAnnouncement announcement { MinionId("m1"), Incarnation(3), 9, { "127.0.0.1", 8000 }, ServiceId("follow-up"),
        DataCentreId("bole"), WorkerId("w1"), RackId("r1"), SlotCount(8), SlotCount(2), {}, MinionState::Serving };
    httplib::Client client("127.0.0.1", server.port());
    client.set_keep_alive(true);
    const auto answer = client.Post("/v1/minions/announce", MinionCodec::encodeAnnouncement(announcement), "application/json");
    CHECK(answer);
    LONGS_EQUAL(200, answer->status);
    CHECK(sink.minion == announcement.minion);
    CHECK(answer->get_header_value("Connection") == "close");
}

TEST(MinionApi, AMalformedAnnouncementGivesAnErrorThatNamesTheField)
{
    httplib::Client client("127.0.0.1", server.port());
    const auto answer = client.Post("/v1/minions/announce", "{}", "application/json");
    CHECK(answer);
    LONGS_EQUAL(400, answer->status);
    CHECK(answer->body.find("minion") != std::string::npos);
}
