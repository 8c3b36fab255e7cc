#pragma once

#include "Adapters/Beast/HttpClient.h"

#include <string>

namespace trefoilwing {

/// Makes HTTP calls as callers and operators of a fleet do.
class FleetCaller {
public:
    FleetCaller();
    ~FleetCaller();
    FleetCaller(const FleetCaller&) = delete;
    FleetCaller& operator=(const FleetCaller&) = delete;

    /// Makes a call and waits for its response.
    /// @return the response, with status 0 if there was none.
    WebResponse call(const Endpoint&, const std::string& method, const std::string& path, const std::string& body = {});

    /// Submits a job and returns at once.
    /// @param milliseconds estimated run time of each task.
    /// @param done receives the response.
    void submit(const Endpoint& entry, const std::string& id, int tasks, int milliseconds, HttpClient::Callback done);

    /// @return a configuration with the route that submit() uses, as the operator publishes it.
    static std::string configuration(int version);

private:
    HttpLoop loop_;
    HttpClient client_;
};

} // namespace trefoilwing
