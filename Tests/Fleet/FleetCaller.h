#pragma once

#include "Adapters/Beast/HttpClient.h"

#include <string>

namespace trefoilwing {

/// Makes calls as clients and operators do, and waits for their answers.
class FleetCaller {
public:
    FleetCaller();
    ~FleetCaller();
    FleetCaller(const FleetCaller&) = delete;
    FleetCaller& operator=(const FleetCaller&) = delete;

    /// Makes a call and waits for it.
    /// @return the response; status 0 where none came.
    WebResponse call(const Endpoint&, const std::string& method, const std::string& path, const std::string& body = {});

    /// Hands in a job without waiting.
    void submit(const Endpoint& entry, const std::string& id, int tasks, int milliseconds, HttpClient::Callback done);

    /// @return the routes that submit() uses, as the operator publishes them.
    static std::string configuration(int version);

private:
    HttpLoop loop_;
    HttpClient client_;
};

} // namespace trefoilwing
