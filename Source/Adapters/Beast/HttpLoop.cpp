#include "Adapters/Beast/HttpLoop.h"

#include "Adapters/Beast/WebMessage.h"

#include <boost/asio/dispatch.hpp>
#include <boost/beast/core/string.hpp>

#include <algorithm>

namespace trefoilwing {

const std::string* findHeader(const WebHeaders& headers, const std::string& name)
{
    const auto found = std::find_if(headers.begin(), headers.end(), [&](const auto& header) { return boost::beast::iequals(header.first, name); });
    return found == headers.end() ? nullptr : &found->second;
}

HttpLoop::HttpLoop()
    : context_(1)
    , work_(boost::asio::make_work_guard(context_))
{
}

HttpLoop::~HttpLoop()
{
    stop();
}

void HttpLoop::start()
{
    thread_ = std::thread([this] { context_.run(); });
}

void HttpLoop::stop()
{
    context_.stop();
    if (thread_.joinable())
        thread_.join();
}

void HttpLoop::run(std::function<void()> function)
{
    boost::asio::dispatch(context_, std::move(function));
}

} // namespace trefoilwing
