#pragma once

#include "Model/BrokerMessages.h"
#include "Model/FleetMessages.h"
#include "Model/ForwardMessages.h"
#include "Model/LogMessages.h"
#include "Model/MembershipMessages.h"

#include <variant>

namespace trefoilwing {

/// All messages between daemons. New alternatives are appended at the end, because the index in this list is sent on
/// the wire. The Wire adapter sends the messages in the encoding of the Msgpack adapter.
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
