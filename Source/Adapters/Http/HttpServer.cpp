#include "Adapters/Http/HttpServer.h"

#include "Adapters/Http/PolledStream.h"

#include <absl/strings/str_cat.h>
#include <httplib.h>

#include <thread>

namespace trefoilwing {

namespace {

    constexpr absl::Duration keepAliveTimeout = absl::Seconds(5);
    /// Interval at which an idle connection checks whether the server is stopping.
    constexpr absl::Duration stopCheckInterval = absl::Milliseconds(500);
    constexpr auto startPollInterval = std::chrono::milliseconds(1);
    constexpr absl::Duration ioTimeout = absl::Seconds(5);

    HttpRequest toRequest(const httplib::Request& source)
    {
        HttpRequest request { source.path, source.body, {}, {} };
        for (const auto& [key, value] : source.params)
            request.query.emplace(key, value);
        for (size_t group = 1; group < source.matches.size(); ++group)
            request.captures.push_back(source.matches[group].str());
        return request;
    }

    void fillResponse(const HttpResponse& source, httplib::Response& target)
    {
        target.status = source.status;
        for (const auto& [key, value] : source.headers)
            target.set_header(key, value);
        target.set_content(source.body, source.contentType);
    }

    using LibraryHandler = std::function<void(const httplib::Request&, httplib::Response&)>;

    /// Reads the whole body before calling the handler. By default cpp-httplib rejects form bodies over 8 KiB, and
    /// curl declares a body as a form if the caller sets no content type.
    httplib::Server::HandlerWithContentReader withWholeBody(LibraryHandler serve)
    {
        return [serve = std::move(serve)](const httplib::Request& request, httplib::Response& response, const httplib::ContentReader& read) {
            httplib::Request whole = request;
            const bool isRead = read([&whole](const char* data, size_t length) {
                whole.body.append(data, length);
                return true;
            });
            if (isRead)
                serve(whole, response);
        };
    }

} // namespace

namespace {

    /// Serves each connection in a loop that sleeps in poll(). The loop of cpp-httplib would check an idle connection
    /// 100 times a second.
    class ConnectionServer : public httplib::Server {
    private:
        bool process_and_close_socket(socket_t socket) override
        {
            PolledStream stream(socket, ioTimeout);
            bool isServed = true;
            bool isClosed = false;
            while (isServed && !isClosed && waitForRequest(stream))
                isServed = process_request(stream, false, isClosed, nullptr);
            shutdown(socket, SHUT_RDWR);
            close(socket);
            return isServed;
        }

        bool waitForRequest(PolledStream& stream) const
        {
            for (absl::Duration waited; waited < keepAliveTimeout; waited += stopCheckInterval) {
                if (svr_sock_ == INVALID_SOCKET)
                    return false;
                if (stream.waitForRequest(stopCheckInterval))
                    return true;
            }
            return false;
        }
    };

} // namespace

struct HttpServer::Impl {
    ConnectionServer server;
    std::thread listener;
};

HttpServer::HttpServer(const HttpServerOptions& options)
    : impl_(std::make_unique<Impl>())
{
    ConnectionServer& server = impl_->server;
    server.new_task_queue = [threads = options.maxConnections] { return new httplib::ThreadPool(threads); };
    server.set_tcp_nodelay(true);
    // The default of cpp-httplib, SO_REUSEPORT, would let two processes share one port.
    server.set_socket_options([](socket_t socket) {
        int yes = 1;
        setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
    });
    server.set_payload_max_length(options.maxBody.value());
    // Responses that cpp-httplib makes itself, such as to an oversized body, get the same format as all others.
    server.set_error_handler([](const httplib::Request&, httplib::Response& response) {
        if (!response.body.empty())
            return;
        const char* code = response.status == 413 ? "too_large" : response.status == 404 ? "unknown_path"
                                                                                         : "malformed";
        response.set_content(absl::StrCat(R"({"error":{"code":")", code, R"(","message":"The server refused the request with HTTP status )",
                                 response.status, R"(.","verdict":"not run"}})"),
            "application/json");
    });
}

HttpServer::~HttpServer()
{
    stop();
}

void HttpServer::route(HttpMethod method, const std::string& pattern, Handler handler)
{
    auto serve = [handler = std::move(handler)](const httplib::Request& request, httplib::Response& response) {
        fillResponse(handler(toRequest(request)), response);
    };
    switch (method) {
    case HttpMethod::Get:
        impl_->server.Get(pattern, std::move(serve));
        break;
    case HttpMethod::Post:
        impl_->server.Post(pattern, withWholeBody(std::move(serve)));
        break;
    case HttpMethod::Delete:
        impl_->server.Delete(pattern, std::move(serve));
        break;
    }
}

Result<Done> HttpServer::start(const Endpoint& endpoint)
{
    ConnectionServer& server = impl_->server;
    if (endpoint.port == 0) {
        const int bound = server.bind_to_any_port(endpoint.address);
        port_ = bound > 0 ? static_cast<uint16_t>(bound) : 0;
    } else if (server.bind_to_port(endpoint.address, endpoint.port)) {
        port_ = endpoint.port;
    }
    if (port_ == 0)
        return Error { ErrorCode::Unavailable, absl::StrCat("Can't listen on ", endpoint.address, ":", endpoint.port, "; free the port or change http_endpoint."), Verdict::NotRun };
    impl_->listener = std::thread([&server] { server.listen_after_bind(); });
    // cpp-httplib ignores a stop() before its accept loop runs, so start() waits until it does.
    while (!server.is_running())
        std::this_thread::sleep_for(startPollInterval);
    return Done {};
}

void HttpServer::stop()
{
    if (!impl_->listener.joinable())
        return;
    impl_->server.stop();
    impl_->listener.join();
}

} // namespace trefoilwing
