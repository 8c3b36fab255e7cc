#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <thread>

namespace trefoilwing {

/// One thread that serves all HTTP connections of the process, in both directions.
class HttpLoop {
public:
    HttpLoop();
    ~HttpLoop();
    HttpLoop(const HttpLoop&) = delete;
    HttpLoop& operator=(const HttpLoop&) = delete;

    void start();
    /// Ends the thread; connections are left as they are.
    void stop();

    /// Runs the function on the loop's thread, at once where it is the caller's.
    void run(std::function<void()>);

    boost::asio::io_context& context() { return context_; }

private:
    boost::asio::io_context context_;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
    std::thread thread_;
};

} // namespace trefoilwing
