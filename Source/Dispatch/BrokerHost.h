#pragma once

#include "Dispatch/SlotBroker.h"

#include <absl/container/flat_hash_map.h>

#include <functional>
#include <map>
#include <memory>
#include <utility>
#include <vector>

namespace trefoilwing {

/// Decisions with their destination entry.
struct AddressedDecisions {
    DaemonId to;
    BrokerDecisions decisions;
};

/// Hosts the slot brokers of the services assigned to this daemon, and detects lost decisions.
class BrokerHost {
public:
    using BrokerFactory = std::function<std::unique_ptr<SlotBroker>(const ServiceDeclaration&)>;

    BrokerHost(DaemonRun self, BrokerFactory);

    /// Sets a service's declaration, and whether this daemon hosts its broker.
    /// A newly assigned broker starts empty and gets its state from the entries.
    void setService(const ServiceDeclaration&, bool isHost, absl::Time now);
    void dropService(const ServiceId&);

    void minionAnnounced(const MinionAnnouncement&, absl::Time now);
    void minionRemoved(const ServiceId&, const MinionId&, absl::Time now);
    void entryRemoved(const DaemonRun&, absl::Time now);
    void entryUpdated(const BrokerUpdate&, absl::Time now);

    std::vector<AddressedDecisions> decide(absl::Time now);
    absl::Time nextWakeup() const;

private:
    /// The last decisions sent to one entry.
    struct LastSent {
        uint64_t stream = 0;
        uint64_t sequence = 0;
        absl::Time at;
    };

    struct Service {
        ServiceDeclaration declaration;
        /// Null while another daemon hosts the broker.
        std::unique_ptr<SlotBroker> broker;
        std::map<DaemonRun, LastSent> lastSent;
        /// Entries (with their stream) that missed decisions and will be asked for their full state.
        std::vector<std::pair<DaemonRun, uint64_t>> fullStateRequests;
        std::map<MinionId, MinionAnnouncement> minions;
    };

    static bool missedDecisions(const Service&, const BrokerUpdate&, absl::Time now);
    void decideService(const ServiceId&, Service&, absl::Time now, std::vector<AddressedDecisions>&);
    BrokerDecisions headerFor(const ServiceId&, const DaemonRun& entry, uint64_t stream, uint64_t sequence) const;

    DaemonRun self_;
    BrokerFactory factory_;
    std::map<ServiceId, Service> services_;
};

} // namespace trefoilwing
