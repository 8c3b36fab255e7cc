#pragma once

#include "Model/BrokerMessages.h"
#include "Model/FleetMessages.h"
#include "Model/ForwardMessages.h"
#include "Model/LogMessages.h"
#include "Model/MembershipMessages.h"

#include <variant>

namespace trefoilwing {

/// Every message between daemons, new ones last: the place is the number on the wire. Its encoding is the Wire adapter's business.
using PeerMessage = std::variant<
    BrokerUpdate,
    BrokerDecisions,
    ForwardedSubmission,
    OutcomeQuery,
    ForwardReply,
    VoteRequest,
    VoteReply,
    AppendRequest,
    AppendReply,
    SnapshotRequest,
    ProposalForward,
    JoinRequest,
    JoinReply,
    ConfigurationQuery,
    ConfigurationDelta,
    Heartbeat,
    RosterPart,
    RosterQuery,
    MinionLeaseRenewal,
    MinionQuery,
    MinionDelta,
    DaemonHeartbeat,
    FleetUpdate,
    CellLoad,
    JobOffer,
    JobCancel,
    JobResult>;

} // namespace trefoilwing
