#include "Adapters/Http/HttpServer.h"

#include <httplib.h>

#include <CppUTest/TestHarness.h>

using namespace trefoilwing;

TEST_GROUP(HttpServer)
{
    HttpServer server { { 4, Bytes { 1024 } } };

    void start()
    {
        server.route(HttpMethod::Post, "/echo/([a-z]+)", [](const HttpRequest& request) {
            return HttpResponse { 200, request.captures.at(0) + ":" + request.body, "text/plain", {} };
        });
        const auto started = server.start({ "127.0.0.1", 0 });
        CHECK(valueOf(started));
    }
};

TEST(HttpServer, PassesCapturesAndBody)
{
    start();
    httplib::Client client("127.0.0.1", server.port());
    auto answer = client.Post("/echo/abc", "hello", "text/plain");
    CHECK(answer);
    STRCMP_EQUAL("abc:hello", answer->body.c_str());
}

TEST(HttpServer, RejectsAnOversizedBodyAsNotRun)
{
    start();
    httplib::Client client("127.0.0.1", server.port());
    auto answer = client.Post("/echo/abc", std::string(2000, 'x'), "text/plain");
    CHECK(answer);
    LONGS_EQUAL(413, answer->status);
    CHECK(answer->body.find("not run") != std::string::npos);
}

TEST(HttpServer, AcceptsALargeBodyDeclaredAsAForm)
{
    HttpServer large { { 4, Bytes { 1U << 20U } } };
    large.route(HttpMethod::Post, "/size", [](const HttpRequest& request) {
        return HttpResponse { 200, std::to_string(request.body.size()), "text/plain", {} };
    });
    CHECK(valueOf(large.start({ "127.0.0.1", 0 })));
    httplib::Client client("127.0.0.1", large.port());
    auto answer = client.Post("/size", std::string(20000, 'x'), "application/x-www-form-urlencoded");
    CHECK(answer);
    STRCMP_EQUAL("20000", answer->body.c_str());
}

TEST(HttpServer, ReportsAnAddressAlreadyInUse)
{
    start();
    HttpServer second { {} };
    const auto started = second.start({ "127.0.0.1", server.port() });
    CHECK(errorOf(started));
    CHECK(errorOf(started)->message.find("127.0.0.1") != std::string::npos);
}
