#include "Adapters/Beast/HttpListener.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>

#include <future>
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

    void send(const std::string& target) { boost::asio::write(socket_, boost::asio::buffer("GET " + target + " HTTP/1.1\r\nHost: listener\r\n\r\n")); }

    /// Blocks until the head of a response has arrived.
    void receive()
    {
        boost::asio::streambuf buffer;
        boost::asio::read_until(socket_, buffer, "\r\n\r\n");
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
