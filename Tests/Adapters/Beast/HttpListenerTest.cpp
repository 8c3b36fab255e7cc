#include "Adapters/Beast/HttpListener.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <chrono>
#include <future>
#include <memory>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace trefoilwing;
using boost::asio::ip::tcp;

namespace {

/// A connection to a listener on loopback.
class Client {
public:
    explicit Client(uint16_t port)
        : socket_(context_)
    {
        socket_.connect({ boost::asio::ip::make_address("127.0.0.1"), port });
    }

    void send(const std::string& target) { sendText("GET " + target + " HTTP/1.1\r\nHost: listener\r\n\r\n"); }

    void sendText(const std::string& text) { boost::asio::write(socket_, boost::asio::buffer(text)); }

    /// Blocks until the head of a response has arrived.
    /// @return the head, with what has arrived of the body.
    std::string receive()
    {
        std::string text;
        boost::asio::read_until(socket_, boost::asio::dynamic_buffer(text), "\r\n\r\n");
        return text;
    }

    void close() { socket_.close(); }

private:
    boost::asio::io_context context_;
    tcp::socket socket_;
};

} // namespace

// Failure simulated here: the process stands still while callers send requests and leave.
TEST_GROUP(HttpListener)
{
    HttpLoop loop;

    void teardown() override
    {
        loop.stop();
    }
};

// Guards against jobs that an entry starts when it wakes from a freeze, though their callers have left and sent them to
// another entry.
TEST(HttpListener, ARequestWhoseCallerHasLeftBeforeItWasReadIsNotServed)
{
    std::vector<std::string> served;
    HttpListener listener { loop, [&](const HttpExchangePtr& exchange) {
                               served.push_back(exchange->request().target);
                               exchange->respond({ 200, {}, "done" });
                           },
        {} };
    listener.listen({ "127.0.0.1", 0 });
    Client gone { listener.port() };
    gone.send("/gone");
    gone.close();
    Client waiting { listener.port() };
    waiting.send("/waiting");
    loop.start();
    waiting.receive();
    LONGS_EQUAL(1, served.size());
    STRCMP_EQUAL("/waiting", served.front().c_str());
}

TEST(HttpListener, ACheckOfThePeersReportsAbandonedRequestsBeforeItEnds)
{
    std::promise<void> begun;
    std::promise<void> closed;
    std::promise<bool> reported;
    bool isAbandoned = false;
    HttpExchangePtr held;
    HttpListener listener { loop, [&](const HttpExchangePtr& exchange) {
                               held = exchange;
                               exchange->onAbandoned([&] { isAbandoned = true; });
                               begun.set_value();
                               // The loop stands still until the caller has left.
                               closed.get_future().wait();
                               listener.checkPeers([&] { reported.set_value(isAbandoned); });
                           },
        {} };
    listener.listen({ "127.0.0.1", 0 });
    loop.start();
    Client client { listener.port() };
    client.send("/held");
    begun.get_future().wait();
    client.close();
    closed.set_value();
    CHECK(reported.get_future().get());
    loop.stop();
    held.reset();
}

TEST(HttpListener, ACheckOfThePeersKeepsRequestsWhoseCallersWait)
{
    std::promise<void> checked;
    bool isAbandoned = false;
    HttpListener listener { loop, [&](const HttpExchangePtr& exchange) {
                               exchange->onAbandoned([&] { isAbandoned = true; });
                               listener.checkPeers([&checked, exchange] {
                                   exchange->respond({ 200, {}, "done" });
                                   checked.set_value();
                               });
                           },
        {} };
    listener.listen({ "127.0.0.1", 0 });
    loop.start();
    Client client { listener.port() };
    client.send("/held");
    checked.get_future().wait();
    client.receive();
    CHECK(!isAbandoned);
}

// The load here: clients that don't keep to the protocol, beside ordinary ones.
TEST_GROUP(HttpListenerLimits)
{
    HttpLoop loop;
    std::vector<HttpExchangePtr> held;
    std::unique_ptr<HttpListener> listener;

    void teardown() override
    {
        loop.stop();
        held.clear();
    }

    /// Serves "/hold" never and everything else with the size of its body.
    void start(size_t maxSessions)
    {
        listener = std::make_unique<HttpListener>(
            loop, [this](const HttpExchangePtr& exchange) {
                if (exchange->request().target == "/hold")
                    held.push_back(exchange);
                else
                    exchange->respond({ 200, {}, std::to_string(exchange->request().body.size()) });
            },
            HttpListenerOptions { Bytes(1000), maxSessions });
        listener->listen({ "127.0.0.1", 0 });
        loop.start();
    }

    /// @return everything that the listener answers to a text on a new connection until it closes that; what it closes
    /// before it has read all counts as an empty answer.
    std::string answerTo(const std::string& text) const
    {
        boost::asio::io_context context;
        tcp::socket socket(context);
        socket.connect({ boost::asio::ip::make_address("127.0.0.1"), listener->port() });
        boost::system::error_code error;
        boost::asio::write(socket, boost::asio::buffer(text), error);
        std::string answer;
        boost::asio::read(socket, boost::asio::dynamic_buffer(answer), error);
        return answer;
    }

    /// Waits until this many requests are being held.
    void awaitHeld(size_t count)
    {
        size_t seen = 0;
        while (seen < count) {
            std::promise<size_t> size;
            loop.run([&] { size.set_value(held.size()); });
            seen = size.get_future().get();
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
    }

    bool isRefused(const std::string& text) const
    {
        const std::string answer = answerTo(text);
        return answer.empty() || answer.rfind("HTTP/1.1 4", 0) == 0;
    }
};

// Guards against bounds that refuse whole requests within the limits, however they are divided.
TEST(HttpListenerLimits, RequestsWithinTheLimitsAreServed)
{
    start(10);
    std::string chunks;
    for (int i = 0; i < 1000; ++i)
        chunks += "1;a=b\r\nx\r\n";
    const std::string chunked = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n" + chunks + "0\r\nX-Trailer: y\r\n\r\n";
    STRCMP_CONTAINS("1000", answerTo(chunked).c_str());
    const std::string wide = "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\nX-Wide: " + std::string(16000, 'x') + "\r\n\r\n";
    STRCMP_CONTAINS("HTTP/1.1 200", answerTo(wide).c_str());
    const std::string first = "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n";
    const std::string both = answerTo(first + first + "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nConnection: close\r\n\r\nabc");
    // This client sends its body only when it is asked to.
    Client asking { listener->port() };
    asking.sendText("POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n");
    STRCMP_CONTAINS("100 Continue", asking.receive().c_str());
    asking.sendText("abc");
    STRCMP_CONTAINS("HTTP/1.1 200", asking.receive().c_str());
    CHECK(both.find("\r\n\r\n0") < both.rfind("\r\n\r\n3"));
}

// Guards against messages that are served although two servers would read them differently, and against endless ones.
TEST(HttpListenerLimits, WhatExceedsTheLimitsIsRefused)
{
    start(10);
    const std::string head = "POST / HTTP/1.1\r\nHost: a\r\n";
    CHECK(isRefused(head + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n"));
    CHECK(isRefused(head + "Content-Length: 1001\r\n\r\n"));
    CHECK(isRefused(head + "Content-Length: 99999999999999999999999\r\n\r\n"));
    CHECK(isRefused(head + "Transfer-Encoding: chunked\r\n\r\n3e9\r\n" + std::string(1001, 'x')));
    CHECK(isRefused(head + "Transfer-Encoding: chunked\r\n\r\n1;" + std::string(40000, 'x')));
    CHECK(isRefused(head + "Transfer-Encoding: chunked\r\n\r\n0\r\nX: " + std::string(40000, 'x')));
    CHECK(isRefused(head + "X: " + std::string(17000, 'x')));
    CHECK(isRefused("GET /" + std::string(17000, 'x')));
}

// Guards against silent connections that hold all places, and against new ones that end a request which is being served.
TEST(HttpListenerLimits, ANewConnectionReplacesASilentOneButNotOneThatIsServed)
{
    start(2);
    Client served { listener->port() };
    served.send("/hold");
    awaitHeld(1);
    Client silent { listener->port() };
    const std::string request = "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
    STRCMP_CONTAINS("HTTP/1.1 200", answerTo(request).c_str());
    Client alsoServed { listener->port() };
    alsoServed.send("/hold");
    awaitHeld(2);
    STRCMP_EQUAL("", answerTo(request).c_str());
    std::promise<void> answered;
    loop.run([&] {
        for (const HttpExchangePtr& exchange : held)
            exchange->respond({ 200, {}, "done" });
        answered.set_value();
    });
    answered.get_future().wait();
    served.receive();
    alsoServed.receive();
}
