#pragma once

#include "Ctl/OperatorLink.h"

#include <map>

namespace trefoilwing {

/// The answers of the fake daemon at one endpoint, and the changes sent to it.
struct FakeDaemon {
    bool isReachable = true;
    DaemonStatus status;
    Configuration configuration;
    MetricsSnapshot metrics;
    Result<ConfigurationVersion> publishAnswer = ConfigurationVersion(1);
    std::vector<PublishRecord> published;
    std::vector<MemberRemoval> removals;
};

/// A link that answers from a FakeDaemon.
class FakeOperatorLink : public OperatorLink {
public:
    explicit FakeOperatorLink(FakeDaemon& daemon)
        : daemon_(daemon)
    {
    }

    std::string address() const override { return daemon_.status.daemon.value(); }
    Result<DaemonStatus> status() override { return answer(daemon_.status); }
    Result<Configuration> configuration() override { return answer(daemon_.configuration); }
    Result<MetricsSnapshot> metrics() override { return answer(daemon_.metrics); }
    Result<ConfigurationVersion> publish(const PublishRecord& record) override
    {
        daemon_.published.push_back(record);
        return daemon_.publishAnswer;
    }
    Result<DaemonStatus> drain() override
    {
        daemon_.status.isDraining = true;
        return answer(daemon_.status);
    }
    Result<Done> removeMember(const MemberRemoval& removal) override
    {
        daemon_.removals.push_back(removal);
        return answer(Done {});
    }

private:
    template <typename T>
    Result<T> answer(const T& value) const
    {
        if (daemon_.isReachable)
            return value;
        return Error { ErrorCode::Lost, address() + ": no connection", Verdict::NotRun };
    }

    FakeDaemon& daemon_;
};

/// @return a factory of links to the fake daemons, which are selected by port.
inline OperatorLinkFactory linksTo(std::map<uint16_t, FakeDaemon>& daemons)
{
    return [&daemons](const Endpoint& endpoint) -> std::unique_ptr<OperatorLink> {
        return std::make_unique<FakeOperatorLink>(daemons.at(endpoint.port));
    };
}

} // namespace trefoilwing
