#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <thread>

namespace trefoilwing {

/// An event loop on one thread that serves all HTTP connections of the process, inbound and outbound.
class HttpLoop {
public:
    HttpLoop();
    ~HttpLoop();
    HttpLoop(const HttpLoop&) = delete;
    HttpLoop& operator=(const HttpLoop&) = delete;

    void start();
    /// Stops the loop and joins its thread; open connections aren't closed.
    void stop();

    /// Runs the function on the loop's thread: immediately when called from it, otherwise asynchronously.
    void run(std::function<void()>);

    boost::asio::io_context& context() { return context_; }

private:
    boost::asio::io_context context_;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
    std::thread thread_;
};

} // namespace trefoilwing
