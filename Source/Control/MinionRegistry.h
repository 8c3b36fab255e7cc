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
    /// How long a minion is known after the last renewal that this entry learnt of.
    absl::Duration lease = absl::Seconds(3);
    /// How often this entry passes on whom it has heard.
    absl::Duration vouchInterval = absl::Seconds(1);
    /// How long a minion whose lease ended is remembered, so that a late message of its run changes nothing.
    absl::Duration memory = absl::Minutes(10);
    /// An entry that wasn't driven for longer than this was frozen, and extends all leases.
    absl::Duration frozenAfter = absl::Seconds(2);
    /// How long an entry waits for the answer to a query before it asks again.
    absl::Duration queryTimeout = absl::Seconds(1);
};

/// A minion is new, changed, or back after its lease had ended.
struct MinionAnnounced {
    MinionAnnouncement announcement;

    friend bool operator==(const MinionAnnounced&, const MinionAnnounced&) = default;
};

/// A minion's lease ended, or another run took its place.
struct MinionGone {
    ServiceId service;
    MinionId minion;
    Incarnation incarnation;

    friend bool operator==(const MinionGone&, const MinionGone&) = default;
};

using MinionEvent = std::variant<MinionAnnounced, MinionGone>;

/// What a MinionRegistry wants done.
struct MinionRegistryOutbox {
    std::vector<Envelope> messages;
    std::vector<MinionEvent> events;
};

/// Keeps the leases of a data centre's minions, together with the data centre's other entries.
///
/// A decision object. Its times must come from a clock that never steps. A minion announces itself to
/// any entry. What is new or changed is passed on at once; renewals are passed on together, as the
/// numbers of the announcements that were heard, in a numbering that each entry makes for itself and
/// its peers learn from it. A peer that meets a number or an announcement that it doesn't know asks
/// for it, so that lost messages heal by themselves.
///
/// Two announcements of one run merge into the one with the higher sequence, and into a leaving one if
/// either is. The merge doesn't depend on the order, so all entries come to the same.
class MinionRegistry {
public:
    /// @param run this entry's run; its rosters are named after it.
    MinionRegistry(const DataCentreId&, const DaemonRun& run, absl::Time now, MinionRegistryOptions = {});

    /// Takes a minion's own announcement.
    /// @return an error if the minion belongs to another data centre.
    Result<Done> announced(const MinionAnnouncement&, absl::Time now);

    /// Takes another entry of this data centre among those to tell.
    void peerJoined(const DaemonId&);
    void peerGone(const DaemonId&);

    void partReceived(const DaemonId& from, const RosterPart&);
    void rosterAsked(const DaemonId& from, const RosterQuery&);
    void vouchReceived(const DaemonId& from, const MinionLeaseRenewal&, absl::Time now);
    void announcementsAsked(const DaemonId& from, const MinionQuery&);
    void deltaReceived(const DaemonId& from, const MinionDelta&, absl::Time now);

    /// Does what is due: ends leases, and vouches.
    void tick(absl::Time now);

    /// @return when tick() is next due.
    absl::Time nextWakeup() const;

    /// @return what is to be done since the last call.
    MinionRegistryOutbox takeOutbox();

    /// @return the minions of a service whose leases hold, in the order of their ids.
    std::vector<MinionAnnouncement> minionsOf(const ServiceId&) const;

    /// @return the number of minions whose leases hold.
    size_t size() const { return listed_; }

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
        /// The keys of earlier announcements, newest last.
        std::vector<AnnouncementKey> earlier;
        absl::Time leaseEnd;
        /// Whether the lease holds. Otherwise the record only remembers the run.
        bool isListed = false;
    };
    using Records = std::map<MinionKey, Record>;

    static bool isUnknown(const Record& record) { return record.key == AnnouncementKey(); }

    void noticeFreeze(absl::Time now);
    bool merge(Record&, const MinionAnnouncement&);
    void replaceContent(Record&, MinionAnnouncement, AnnouncementKey);
    void renew(Record&, absl::Time now);
    void renewByKey(AnnouncementKey, absl::Time now, MinionDelta& corrections, MinionQuery& wanted);
    void endLeases(absl::Time now);
    void vouch(absl::Time now);
    void sendToPeers(const PeerMessage&);
    void send(const DaemonId&, PeerMessage);

    const DataCentreId dataCentre_;
    const MinionRegistryOptions options_;
    Records records_;
    /// Of all announcements that are remembered, by hash.
    absl::flat_hash_map<AnnouncementKey, MinionKey> minions_;
    absl::flat_hash_map<AnnouncementKey, absl::Time> asked_;
    std::map<DaemonId, PeerRoster> peers_;
    MinionRoster roster_;
    size_t listed_ = 0;
    absl::Time lastDriven_;
    absl::Time nextVouch_;
    absl::Time nextLeaseEnd_ = absl::InfiniteFuture();
    MinionRegistryOutbox outbox_;
};

/// @return the hash of an announcement's content, without its sequence and busy slots.
AnnouncementKey keyOf(const MinionAnnouncement&);

} // namespace trefoilwing
