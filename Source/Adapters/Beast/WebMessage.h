#pragma once

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace trefoilwing {

using WebHeaders = std::vector<std::pair<std::string, std::string>>;

/// @return the value of the header, or null. The comparison of names ignores case.
const std::string* findHeader(const WebHeaders&, const std::string& name);

struct WebRequest {
    std::string method;
    std::string target;
    std::string host;
    WebHeaders headers;
    std::string body;
};

struct WebResponse {
    unsigned status = 200;
    WebHeaders headers;
    std::string body;
    /// A large body that many responses share, so that peers that don't read can't multiply it. It is sent after body.
    std::shared_ptr<const std::string> sharedBody = nullptr;
};

} // namespace trefoilwing
