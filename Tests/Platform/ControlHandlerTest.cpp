#include "platform/ControlHandler.h"

#include "Adapters/Beast/HttpClient.h"
#include "Support/RecordingEventLog.h"
#include "platform/RoutingCodec.h"

#include <absl/synchronization/notification.h>

#include <future>
#include <optional>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace trefoilwing;

namespace {

constexpr absl::Duration callTimeout = absl::Seconds(20);

/// Records the orders to evacuate. It is used on the loop's thread and read when no call is open.
class RecordingOperations : public FleetOperations {
public:
    void minionReported(const MinionReport&) override { }
    void minionLeft(const MinionId&) override { }
    void publish(RoutingDocument, std::function<void(Result<RoutingVersion>)>) override { }
    void readNewest(std::function<void(Result<RoutingDocumentPtr>)>) override { }

    EvacuationOrderNumber evacuate(const DataCentreId& dataCentre, bool isEvacuated, std::function<void(Result<Done>)> done) override
    {
        orders.push_back((isEvacuated ? "+" : "-") + dataCentre.value());
        if (answer)
            done(*answer);
        else
            waiting = std::move(done);
        received.Notify();
        return EvacuationOrderNumber(orders.size());
    }

    void abandonEvacuation(EvacuationOrderNumber number) override
    {
        abandonedNumber = number;
        waiting = nullptr;
        abandoned.Notify();
    }

    std::vector<std::string> orders;
    std::optional<Result<Done>> answer = Result<Done>(Done {});
    std::function<void(Result<Done>)> waiting;
    absl::Notification received;
    absl::Notification abandoned;
    EvacuationOrderNumber abandonedNumber;
};

} // namespace

// Operators call a keeper, some with bad input. The connection is a real one on loopback.
TEST_GROUP(ControlHandler)
{
    HttpLoop loop;
    RecordingEventLog log;
    RecordingOperations operations;
    platform::RoutingCodec codec;
    std::unique_ptr<platform::ControlHandler> handler;
    std::unique_ptr<HttpListener> listener;
    std::unique_ptr<HttpClient> client;

    void begin(std::vector<DataCentreId> dataCentres)
    {
        handler = std::make_unique<platform::ControlHandler>(codec, log, std::move(dataCentres));
        handler->setOperations(operations);
        listener = std::make_unique<HttpListener>(
            loop, [this](const HttpExchangePtr& exchange) { handler->handle(exchange); }, HttpListenerOptions {});
        listener->listen({ "127.0.0.1", 0 });
        client = std::make_unique<HttpClient>(loop, HttpClientOptions {});
        loop.start();
    }

    void beginWithTwo()
    {
        begin({ DataCentreId("bole"), DataCentreId("merkato") });
    }

    void teardown() override
    {
        loop.stop();
        operations.waiting = nullptr;
        client.reset();
        listener.reset();
    }

    std::future<unsigned> start(const std::string& method, const std::string& path, const std::string& body, absl::Duration timeout)
    {
        auto promise = std::make_shared<std::promise<unsigned>>();
        client->call({ "127.0.0.1", listener->port() }, { method, path, "keeper", {}, body }, timeout, [promise](const HttpResult& result) {
            const auto* response = std::get_if<WebResponse>(&result);
            promise->set_value(response ? response->status : 0);
        });
        return promise->get_future();
    }

    unsigned call(const std::string& method, const std::string& path, const std::string& body = {})
    {
        return start(method, path, body, callTimeout).get();
    }
};

TEST(ControlHandler, AnOrderIsAnsweredOnceItIsStored)
{
    beginWithTwo();
    LONGS_EQUAL(200, call("POST", "/evacuations/merkato"));
    CHECK(operations.orders == std::vector<std::string> { "+merkato" });
    LONGS_EQUAL(1, log.count("evacuation_acknowledged"));
}

TEST(ControlHandler, AWithdrawalIsPassedOn)
{
    beginWithTwo();
    LONGS_EQUAL(200, call("DELETE", "/evacuations/bole"));
    CHECK(operations.orders == std::vector<std::string> { "-bole" });
}

TEST(ControlHandler, AnOrderThatIsNotStoredIsAnsweredWith503)
{
    beginWithTwo();
    operations.answer = Result<Done>(Error { ErrorCode::Unavailable, "no majority", Verdict::MayHaveRun });
    LONGS_EQUAL(503, call("POST", "/evacuations/bole"));
    LONGS_EQUAL(1, log.count("evacuation_unanswered"));
    LONGS_EQUAL(0, log.count("evacuation_acknowledged"));
}

// Guards against bad input that is stored as an order.
TEST(ControlHandler, BadOrdersAreRefusedAndNotPassedOn)
{
    beginWithTwo();
    LONGS_EQUAL(400, call("POST", "/evacuations/nowhere"));
    LONGS_EQUAL(400, call("DELETE", "/evacuations/nowhere"));
    LONGS_EQUAL(400, call("POST", "/evacuations/"));
    LONGS_EQUAL(400, call("POST", "/evacuations/bole/"));
    LONGS_EQUAL(400, call("POST", "/evacuations/b%6fle"));
    LONGS_EQUAL(400, call("POST", "/evacuations/bole", "{}"));
    LONGS_EQUAL(400, call("POST", "/evacuations/" + std::string(8000, 'x')));
    LONGS_EQUAL(7, log.count("evacuation_refused"));
    LONGS_EQUAL(405, call("GET", "/evacuations/bole"));
    LONGS_EQUAL(405, call("PUT", "/evacuations/bole"));
    LONGS_EQUAL(404, call("POST", "/evacuations"));
    LONGS_EQUAL(0, operations.orders.size());
}

TEST(ControlHandler, WithoutTheSettingTheCallsDontExist)
{
    begin({});
    LONGS_EQUAL(404, call("POST", "/evacuations/bole"));
    LONGS_EQUAL(404, call("DELETE", "/evacuations/bole"));
    LONGS_EQUAL(404, call("GET", "/evacuations/bole"));
    LONGS_EQUAL(0, operations.orders.size());
}

// Guards against an order that a keeper still proposes when its operator has gone to another keeper.
TEST(ControlHandler, AnOrderIsAbandonedWithItsConnection)
{
    beginWithTwo();
    operations.answer.reset();
    LONGS_EQUAL(0, start("POST", "/evacuations/bole", {}, absl::Milliseconds(300)).get());
    CHECK(operations.received.HasBeenNotified());
    CHECK(operations.abandoned.WaitForNotificationWithTimeout(callTimeout));
    LONGS_EQUAL(1, operations.abandonedNumber.value());
}
