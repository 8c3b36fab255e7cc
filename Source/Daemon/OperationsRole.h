#pragma once

#include "Daemon/ControlRole.h"
#include "Daemon/EntryRole.h"
#include "Daemon/MembershipRole.h"
#include "Ports/Operations.h"

namespace trefoilwing {

/// Serves operators' calls: status, configuration, draining and removal of group members, on top of the other roles.
class OperationsRole : public Operations {
public:
    OperationsRole(const DaemonSettings&, MembershipRole&, ControlRole&, EntryRole&);

    DaemonStatus status() const override;
    Configuration configuration() const override;
    void publish(PublishRecord, std::function<void(Result<ConfigurationVersion>)> done) override;
    void drain() override;
    void removeMember(const MemberRemoval&, std::function<void(Result<Done>)> done) override;

private:
    std::vector<GroupStatus> groups() const;

    const DaemonSettings& settings_;
    MembershipRole& membership_;
    ControlRole& control_;
    EntryRole& entry_;
};

} // namespace trefoilwing
