#pragma once

#include "Dispatch/SlotBroker.h"

#include <absl/container/flat_hash_map.h>

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace trefoilwing {

/// Decisions with the entry that they go to.
struct AddressedDecisions {
    DaemonId to;
    BrokerDecisions decisions;
};

/// Hosts the slot brokers of the services that fall to this daemon, and keeps the entries' streams in order.
class BrokerHost {
public:
    using BrokerFactory = std::function<std::unique_ptr<SlotBroker>(const ServiceDeclaration&)>;

    BrokerHost(DaemonRun self, BrokerFactory);

    /// Takes a declaration and whether this daemon hosts the service's broker.
    /// A broker that falls to this daemon begins empty and gets its state from the entries.
    void setService(const ServiceDeclaration&, bool isHost, absl::Time now);
    void dropService(const ServiceId&);

    void minionAnnounced(const MinionAnnouncement&, absl::Time now);
    void minionGone(const ServiceId&, const MinionId&, absl::Time now);
    void entryGone(const DaemonRun&, absl::Time now);
    void entryUpdated(const BrokerUpdate&, absl::Time now);

    std::vector<AddressedDecisions> decide(absl::Time now);
    absl::Time nextWakeup() const;

private:
    /// What was received from and sent to one entry.
    struct EntryStream {
        uint64_t stream = 0;
        uint64_t received = 0;
        uint64_t sent = 0;
        absl::Time lastSent = absl::InfinitePast();
        bool wantsWholeState = false;
    };

    struct Service {
        ServiceDeclaration declaration;
        /// Null while another daemon hosts the broker.
        std::unique_ptr<SlotBroker> broker;
        std::map<DaemonRun, EntryStream> entries;
        std::map<MinionId, MinionAnnouncement> minions;
    };

    /// @return whether the update follows on what was received before.
    static bool takeSequence(EntryStream&, const BrokerUpdate&, absl::Time now);
    void decideService(const ServiceId&, Service&, absl::Time now, std::vector<AddressedDecisions>&);
    BrokerDecisions nextHeader(const ServiceId&, const DaemonRun& entry, EntryStream&, absl::Time now) const;

    DaemonRun self_;
    BrokerFactory factory_;
    std::map<ServiceId, Service> services_;
};

} // namespace trefoilwing
