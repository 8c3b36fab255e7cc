#pragma once

#include "Adapters/Http/HttpConnection.h"
#include "Ctl/CallerLink.h"

namespace trefoilwing {

/// Implements CallerLink with the callers' HTTP protocol (docs/PROTOCOLS.md).
class HttpCallerLink : public CallerLink {
public:
    explicit HttpCallerLink(const Endpoint&);

    Result<size_t> send(const LoadItem&) override;

private:
    Result<size_t> sendRequest(const LoadItem&);
    Result<size_t> sendJob(const LoadItem&);

    HttpConnection connection_;
};

} // namespace trefoilwing
