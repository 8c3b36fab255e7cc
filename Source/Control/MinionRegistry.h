#pragma once

#include "Base/Error.h"
#include "Control/Envelope.h"
#include "Control/MinionRoster.h"
#include "Control/PeerRoster.h"
#include "Model/MembershipMessages.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <compare>
#include <map>
#include <variant>
#include <vector>

namespace trefoilwing {

struct MinionRegistryOptions {
    /// Duration of a minion's lease, from the last renewal that this entry knows of.
    absl::Duration lease = absl::Seconds(3);
    /// Interval at which this entry passes on the renewals that it received from minions.
    absl::Duration renewalInterval = absl::Seconds(1);
    /// How long the record of an expired minion is kept, so that a late message of its run changes nothing.
    absl::Duration retention = absl::Minutes(10);
    /// If this object isn't called for longer than this, its process is assumed to have been frozen, and it
    /// extends all leases.
    absl::Duration freezeThreshold = absl::Seconds(2);
    /// Time without an answer after which a query is sent again.
    absl::Duration queryTimeout = absl::Seconds(1);
};

/// A minion is new, has changed, or has returned after its lease expired.
struct MinionAnnounced {
    MinionAnnouncement announcement;

    friend bool operator==(const MinionAnnounced&, const MinionAnnounced&) = default;
};

/// A minion's lease expired, or a later run of the minion replaced this one.
struct MinionRemoved {
    ServiceId service;
    MinionId minion;
    Incarnation incarnation;

    friend bool operator==(const MinionRemoved&, const MinionRemoved&) = default;
};

using MinionEvent = std::variant<MinionAnnounced, MinionRemoved>;

/// The messages to send and the events to handle for a MinionRegistry.
struct MinionRegistryOutbox {
    std::vector<Envelope> messages;
    std::vector<MinionEvent> events;
};

/// Tracks the leases of a data centre's minions, shared between the data centre's entries by gossip.
///
/// It does no I/O. All times passed in must come from a monotonic clock. A minion announces itself to
/// any one entry. The entry forwards new and changed announcements to its peers at once. It forwards
/// renewals in batches that hold only numbers: each entry numbers the announcements that it received,
/// and sends this numbering (its roster) to its peers. A peer that receives a number or an announcement
/// key that it doesn't know queries for it, so lost messages are repaired.
///
/// Of two announcements of one run the one with the higher sequence is kept, and if either says that the
/// minion is leaving, so does the result. The merge is commutative, so all entries converge.
class MinionRegistry {
public:
    /// @param run this entry's run; the ids of its rosters are derived from it.
    MinionRegistry(const DataCentreId&, const DaemonRun& run, absl::Time now, MinionRegistryOptions = {});

    /// Handles an announcement that came from the minion itself.
    /// @return an error if the minion belongs to another data centre.
    Result<Done> announced(const MinionAnnouncement&, absl::Time now);

    /// Adds another entry of this data centre to the peers that receive changes and renewals.
    void peerJoined(const DaemonId&);
    void peerRemoved(const DaemonId&);

    void rosterPartReceived(const DaemonId& from, const RosterPart&);
    void rosterQueryReceived(const DaemonId& from, const RosterQuery&);
    void leaseRenewalReceived(const DaemonId& from, const MinionLeaseRenewal&, absl::Time now);
    void minionQueryReceived(const DaemonId& from, const MinionQuery&);
    void deltaReceived(const DaemonId& from, const MinionDelta&, absl::Time now);

    /// Expires leases and forwards renewals that are due.
    void tick(absl::Time now);

    /// @return when tick() is next due.
    absl::Time nextWakeup() const;

    /// @return the messages and events that were added since the last call.
    MinionRegistryOutbox takeOutbox();

    /// @return the minions of a service whose leases are valid, ordered by id.
    std::vector<MinionAnnouncement> minionsOf(const ServiceId&) const;

    /// @return the number of minions whose leases are valid.
    size_t size() const { return listedCount_; }

private:
    struct MinionKey {
        ServiceId service;
        MinionId minion;

        friend auto operator<=>(const MinionKey&, const MinionKey&) = default;
        friend bool operator==(const MinionKey&, const MinionKey&) = default;
    };

    struct Record {
        MinionAnnouncement announcement;
        AnnouncementKey key;
        /// The keys of earlier announcements, the newest one last.
        std::vector<AnnouncementKey> earlier;
        absl::Time leaseEnd;
        /// Whether the lease is valid. If not, the record is kept only to recognise late messages of the run.
        bool isListed = false;
    };
    using Records = std::map<MinionKey, Record>;

    static bool isUnknown(const Record& record) { return record.key == AnnouncementKey(); }

    void detectFreeze(absl::Time now);
    bool merge(Record&, const MinionAnnouncement&);
    void replaceContent(Record&, MinionAnnouncement, AnnouncementKey);
    void renew(Record&, absl::Time now);
    void renewByKey(AnnouncementKey, absl::Time now, MinionDelta& corrections, MinionQuery& wanted);
    void endLeases(absl::Time now);
    void sendRenewals(absl::Time now);
    void sendToPeers(const PeerMessage&);
    void send(const DaemonId&, PeerMessage);

    const DataCentreId dataCentre_;
    const MinionRegistryOptions options_;
    Records records_;
    /// The minions of all known announcements, including earlier ones, by the announcement's hash.
    absl::flat_hash_map<AnnouncementKey, MinionKey> minions_;
    absl::flat_hash_map<AnnouncementKey, absl::Time> queriedAt_;
    std::map<DaemonId, PeerRoster> peers_;
    MinionRoster roster_;
    size_t listedCount_ = 0;
    absl::Time lastCallAt_;
    absl::Time nextRenewal_;
    absl::Time nextLeaseEnd_ = absl::InfiniteFuture();
    MinionRegistryOutbox outbox_;
};

/// @return the hash of an announcement's content, excluding its sequence and busy slots.
AnnouncementKey keyOf(const MinionAnnouncement&);

} // namespace trefoilwing
