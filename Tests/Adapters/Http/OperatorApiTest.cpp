#include "Adapters/Http/OperatorApi.h"

#include "Adapters/Http/HttpConnection.h"
#include "Adapters/Http/OperatorCodec.h"

#include <CppUTest/TestHarness.h>
#include <CppUTestExt/MockSupport.h>

using namespace trefoilwing;

namespace {

const ServiceDeclaration loans {
    ServiceId("loans"),
    { { BackerId("dealers"), 3, DataCentreId("songino") } },
    { { TaskKindId("check"), absl::Milliseconds(250), true, { { "accelerators", 1 } } }, { TaskKindId("review"), absl::Seconds(5), false, {} } },
    absl::Seconds(10), absl::Minutes(90), 1300, Bytes(32768), { 0.995, absl::Milliseconds(1500) }
};

const DaemonStatus busyStatus {
    DaemonId("songino-1"), Incarnation(UINT64_MAX), DataCentreId("songino"), true, true, true, false, ConfigurationVersion(8),
    { { GroupId("configuration"), "leader", Term(3), DaemonId("songino-1"), LogIndex(120), { { DaemonId("songino-1"), true, true } } } },
    { { ServiceId("loans"), 17, 1, 2, SlotCount(136), SlotCount(90) } },
    { { ServiceId("loans"), BackerId("dealers"), 3, 40, 12 } },
    { { DaemonId("songino-2"), false } }
};

class MockOperations : public Operations {
public:
    DaemonStatus status() const override { return busyStatus; }
    Configuration configuration() const override { return { ConfigurationVersion(8), { loans } }; }
    void publish(PublishRecord record, std::function<void(Result<ConfigurationVersion>)> done) override
    {
        mock().actualCall("publish").withParameter("base", static_cast<int>(record.base.value())).withParameter("operator", record.operatorName.c_str());
        CHECK_TRUE(record.changed == std::vector<ServiceDeclaration> { loans });
        CHECK_TRUE(record.digest == digestOf(record));
        done(answer);
    }
    void drain() override { mock().actualCall("drain"); }
    void removeMember(const MemberRemoval& removal, std::function<void(Result<Done>)> done) override
    {
        mock().actualCall("removeMember").withParameter("daemon", removal.daemon.value().c_str());
        done(Done {});
    }

    Result<ConfigurationVersion> answer = ConfigurationVersion(8);
};

class FixedSource : public MetricsSource {
public:
    MetricsSnapshot snapshot() const override { return value; }

    MetricsSnapshot value {
        absl::FromUnixMicros(1796382000000001),
        { { "task_starts", { ServiceId("loans"), BackerId("dealers"), TaskKindId("check") }, 9 } },
        { { "slots", {}, 0.5 } },
        { { "queue_wait", { ServiceId("loans"), {}, {} }, absl::Milliseconds(81), { { absl::Microseconds(11220), 8 }, { absl::InfiniteDuration(), 1 } } } },
        { { ServiceId("loans"), BackerId("dealers"), absl::Seconds(5), { { 359276400, 8, 9 } } } },
        4
    };
};

} // namespace

TEST_GROUP(OperatorApi)
{
    MockOperations operations;
    FixedSource source;
    OperatorApi api { operations, source, [](const MetricsSnapshot&) { return std::string("text"); } };
    HttpServer server { { 4, Bytes { 1U << 20U } } };

    void setup() override
    {
        api.addRoutes(server);
        CHECK_TRUE(valueOf(server.start({ "127.0.0.1", 0 })));
    }

    void teardown() override
    {
        server.stop();
        mock().checkExpectations();
        mock().clear();
    }

    HttpAnswer get(const std::string& path)
    {
        return std::get<HttpAnswer>(HttpConnection({ "127.0.0.1", server.port() }, {}).get(path));
    }

    HttpAnswer post(const std::string& path, const std::string& body)
    {
        return std::get<HttpAnswer>(HttpConnection({ "127.0.0.1", server.port() }, {}).post(path, body));
    }
};

TEST(OperatorApi, RoundTripsStatusConfigurationAndMetrics)
{
    CHECK_TRUE(decodeStatus(get("/v1/status").body) == Result<DaemonStatus>(busyStatus));
    CHECK_TRUE(decodeConfiguration(get("/v1/configuration").body) == Result<Configuration>(operations.configuration()));
    CHECK_TRUE(decodeSnapshot(get("/v1/metrics").body) == Result<MetricsSnapshot>(source.value));
    STRCMP_EQUAL("text", get("/metrics").body.c_str());
}

TEST(OperatorApi, PublishesAChangeAndReturnsAConflict)
{
    const std::string change = encodePublish({ ConfigurationVersion(7), {}, { loans }, {}, "abebe" });
    mock().expectNCalls(2, "publish").withParameter("base", 7).withParameter("operator", "abebe");
    CHECK_TRUE(decodeVersion(post("/v1/configuration", change).body) == Result<ConfigurationVersion>(ConfigurationVersion(8)));

    operations.answer = Error { ErrorCode::Conflict, "version 8 was published by bold", Verdict::NotRun };
    const HttpAnswer conflict = post("/v1/configuration", change);
    LONGS_EQUAL(409, conflict.status);
    CHECK_TRUE(decodeError(conflict.status, conflict.body) == *errorOf(operations.answer));
}

TEST(OperatorApi, RejectsInvalidBodies)
{
    const std::string deep(100000, '[');
    for (const std::string& body : { std::string(), std::string("[]"), std::string(R"({"base":"x","services":[],"operator":""})"), R"({"base":1,"operator":"a","services":[)" + deep, std::string(R"({"base":1,"operator":"a","services":[{"service":"a"}]})") })
        LONGS_EQUAL(400, post("/v1/configuration", body).status);
    LONGS_EQUAL(400, post("/v1/members", R"({"group":"configuration"})").status);
}

TEST(OperatorApi, DrainsAndRemovesMembers)
{
    mock().expectOneCall("drain");
    mock().expectOneCall("removeMember").withParameter("daemon", "bole-1");
    LONGS_EQUAL(200, post("/v1/drain", "").status);
    LONGS_EQUAL(200, post("/v1/members", encodeRemoval({ GroupId("configuration"), DaemonId("bole-1") })).status);
}

TEST(OperatorApi, DigestDoesNotDependOnTheOrderOfServices)
{
    ServiceDeclaration other = loans;
    other.service = ServiceId("other");
    PublishRecord record { ConfigurationVersion(1), {}, { loans, other }, {}, "a" };
    const Digest digest = digestOf(record);
    std::swap(record.changed[0], record.changed[1]);
    CHECK_TRUE(digestOf(record) == digest);
    record.changed[0].backers[0].quota++;
    CHECK_FALSE(digestOf(record) == digest);
}
