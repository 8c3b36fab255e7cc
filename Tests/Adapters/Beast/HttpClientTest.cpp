#include "Adapters/Beast/HttpClient.h"
#include "Adapters/Beast/HttpListener.h"

#include <chrono>
#include <future>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace trefoilwing;

namespace {

/// A server on loopback that answers each call after a fixed delay.
class SlowServer {
public:
    explicit SlowServer(std::chrono::milliseconds answerTime)
        : listener_(loop_, [answerTime](const HttpExchangePtr& exchange) {
            std::this_thread::sleep_for(answerTime);
            exchange->respond({ 200, {}, "done" });
        },
            {})
    {
        listener_.listen({ "127.0.0.1", 0 });
        loop_.start();
    }
    ~SlowServer() { loop_.stop(); }

    Endpoint endpoint() const { return { "127.0.0.1", listener_.port() }; }

private:
    HttpLoop loop_;
    HttpListener listener_;
};

} // namespace

// Failure simulated here: the process itself is stalled, because its core is busy or its VM is paused.
TEST_GROUP(HttpClient)
{
    HttpLoop loop;

    void setup() override
    {
        loop.start();
    }

    void teardown() override
    {
        loop.stop();
    }

    /// Blocks the client's loop for the duration.
    void stall(std::chrono::milliseconds duration)
    {
        loop.run([duration] { std::this_thread::sleep_for(duration); });
    }
};

// Guards against calls that time out because this process was stalled. A stalled owner considered responsive minions
// unreachable, closed their connections and stopped their runs (docs/incidents/short-aspa-quotes-grown.md).
TEST(HttpClient, TimeoutExcludesTimeInWhichTheLoopWasStalled)
{
    SlowServer server { std::chrono::milliseconds(300) };
    HttpClient client { loop, {} };
    std::promise<HttpResult> answered;
    stall(std::chrono::milliseconds(2000));
    client.call(server.endpoint(), { "GET", "/", "server", {}, "" }, absl::Milliseconds(1500), [&](HttpResult result) { answered.set_value(std::move(result)); });
    const HttpResult result = answered.get_future().get();
    CHECK(std::holds_alternative<WebResponse>(result));
}
