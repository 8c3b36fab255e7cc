#pragma once

#include "Model/BrokerMessages.h"
#include "Model/ForwardMessages.h"
#include "Model/LogMessages.h"

#include <variant>

namespace trefoilwing {

/// Every message between daemons. Its encoding is the Wire adapter's business.
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
    ConfigurationDelta>;

} // namespace trefoilwing
