#pragma once

#include "Adapters/Http/HttpConnection.h"
#include "Ctl/OperatorLink.h"

namespace trefoilwing {

/// Implements OperatorLink with a daemon's HTTP operator API.
class HttpOperatorLink : public OperatorLink {
public:
    explicit HttpOperatorLink(const Endpoint&);

    std::string address() const override { return address_; }
    Result<DaemonStatus> status() override;
    Result<Configuration> configuration() override;
    Result<MetricsSnapshot> metrics() override;
    Result<ConfigurationVersion> publish(const PublishRecord&) override;
    Result<DaemonStatus> drain() override;
    Result<Done> removeMember(const MemberRemoval&) override;

private:
    /// @return the body of an answer with status 200, or the error.
    Result<std::string> bodyOf(const PostOutcome&) const;
    template <typename T>
    Result<T> decode(const PostOutcome&, Result<T> (*decoder)(const std::string&)) const;

    std::string address_;
    HttpConnection connection_;
};

} // namespace trefoilwing
