#include "Control/MinionRegistry.h"

#include "Base/StableHash.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace trefoilwing {

namespace {

    /// Maximum number of announcements requested in one message.
    constexpr size_t maxQueryKeys = 256;

    /// Maximum number of earlier announcements of a minion whose keys are still recognised.
    constexpr size_t maxEarlierKeys = 8;

    /// Appends a string prefixed with its length, so that different sequences of strings never give the same content.
    void appendText(std::string& content, const std::string& text)
    {
        absl::StrAppend(&content, " ", text.size(), ":", text);
    }

    auto orderOf(const MinionAnnouncement& announcement)
    {
        return std::tuple(announcement.incarnation, announcement.sequence);
    }

    /// @return the merge of two announcements of one run.
    MinionAnnouncement merged(const MinionAnnouncement& a, const MinionAnnouncement& b)
    {
        // The hash breaks ties between equal sequences, so that all entries choose the same announcement.
        const auto rank = [](const MinionAnnouncement& one) { return std::tuple(one.sequence, keyOf(one)); };
        MinionAnnouncement result = rank(a) < rank(b) ? b : a;
        if (a.state == MinionState::Leaving || b.state == MinionState::Leaving)
            result.state = MinionState::Leaving;
        return result;
    }

} // namespace

AnnouncementKey keyOf(const MinionAnnouncement& announcement)
{
    const MinionAnnouncement& a = announcement;
    std::string content = absl::StrCat(
        a.incarnation.value(), " ", a.endpoint.port, " ", a.slots.value(), " ", static_cast<int>(a.state));
    for (const std::string* text : { &a.minion.value(), &a.endpoint.address, &a.service.value(), &a.dataCentre.value(),
             &a.worker.value(), &a.rack.value() })
        appendText(content, *text);
    for (const auto& [name, amount] : a.resources) {
        appendText(content, name);
        absl::StrAppend(&content, " ", amount);
    }
    return AnnouncementKey(stableHash(content));
}

MinionRegistry::MinionRegistry(
    const DataCentreId& dataCentre, const DaemonRun& run, absl::Time now, MinionRegistryOptions options)
    : dataCentre_(dataCentre)
    , options_(options)
    , roster_(RosterId(static_cast<uint32_t>(stableHash(absl::StrCat(run.daemon.value(), "\n", run.incarnation.value())))))
    , lastCallAt_(now)
    , nextRenewal_(now + options.renewalInterval)
{
}

Result<Done> MinionRegistry::announced(const MinionAnnouncement& announcement, absl::Time now)
{
    detectFreeze(now);
    if (announcement.dataCentre != dataCentre_)
        return Error { ErrorCode::Conflict,
            absl::StrCat("minion ", announcement.minion.value(), " is of data centre ", announcement.dataCentre.value(),
                ", this entry of ", dataCentre_.value()),
            Verdict::NotRun };
    Record& record = records_[{ announcement.service, announcement.minion }];
    // An announcement that isn't newer than the last known one doesn't show that the minion is still alive.
    const bool isNewer = isUnknown(record) || orderOf(announcement) > orderOf(record.announcement);
    const bool isChanged = merge(record, announcement);
    if (isChanged)
        sendToPeers(MinionDelta { { record.announcement } });
    if (isChanged || isNewer)
        renew(record, now);
    if (isNewer)
        roster_.addRenewal(record.key);
    return Done {};
}

void MinionRegistry::peerJoined(const DaemonId& daemon)
{
    peers_.try_emplace(daemon);
}

void MinionRegistry::peerRemoved(const DaemonId& daemon)
{
    peers_.erase(daemon);
}

void MinionRegistry::rosterPartReceived(const DaemonId& from, const RosterPart& part)
{
    const auto peer = peers_.find(from);
    if (peer != peers_.end())
        peer->second.learn(part);
}

void MinionRegistry::rosterQueryReceived(const DaemonId& from, const RosterQuery& query)
{
    send(from, roster_.partFor(query));
}

void MinionRegistry::leaseRenewalReceived(const DaemonId& from, const MinionLeaseRenewal& renewal, absl::Time now)
{
    detectFreeze(now);
    const auto peer = peers_.find(from);
    if (peer == peers_.end())
        return;
    if (const std::optional<RosterQuery> missing = peer->second.missingFor(renewal))
        send(from, *missing);
    MinionDelta corrections;
    MinionQuery wanted;
    for (const AnnouncementKey key : peer->second.keysOf(renewal))
        renewByKey(key, now, corrections, wanted);
    if (!corrections.announcements.empty())
        send(from, std::move(corrections));
    if (!wanted.keys.empty())
        send(from, std::move(wanted));
}

void MinionRegistry::minionQueryReceived(const DaemonId& from, const MinionQuery& query)
{
    MinionDelta delta;
    for (const AnnouncementKey key : query.keys) {
        const auto minion = minions_.find(key);
        if (minion == minions_.end())
            continue;
        const Record& record = records_.at(minion->second);
        if (record.isListed)
            delta.announcements.push_back(record.announcement);
    }
    if (!delta.announcements.empty())
        send(from, std::move(delta));
}

void MinionRegistry::deltaReceived(const DaemonId& from, const MinionDelta& delta, absl::Time now)
{
    detectFreeze(now);
    MinionDelta corrections;
    for (const MinionAnnouncement& announcement : delta.announcements) {
        if (announcement.dataCentre != dataCentre_)
            continue;
        Record& record = records_[{ announcement.service, announcement.minion }];
        if (merge(record, announcement))
            renew(record, now);
        if (record.key != keyOf(announcement))
            corrections.announcements.push_back(record.announcement);
    }
    if (!corrections.announcements.empty())
        send(from, std::move(corrections));
}

void MinionRegistry::tick(absl::Time now)
{
    detectFreeze(now);
    if (now >= nextLeaseEnd_)
        endLeases(now);
    if (now >= nextRenewal_)
        sendRenewals(now);
}

absl::Time MinionRegistry::nextWakeup() const
{
    return std::min(nextRenewal_, nextLeaseEnd_);
}

MinionRegistryOutbox MinionRegistry::takeOutbox()
{
    return std::exchange(outbox_, {});
}

std::vector<MinionAnnouncement> MinionRegistry::minionsOf(const ServiceId& service) const
{
    std::vector<MinionAnnouncement> minions;
    for (auto item = records_.lower_bound({ service, {} }); item != records_.end() && item->first.service == service; ++item) {
        if (item->second.isListed)
            minions.push_back(item->second.announcement);
    }
    return minions;
}

void MinionRegistry::detectFreeze(absl::Time now)
{
    if (now - lastCallAt_ > options_.freezeThreshold) {
        // No renewals arrived because this entry itself was frozen. Those received before are too old to pass on.
        for (auto& [minion, record] : records_)
            record.leaseEnd = std::max(record.leaseEnd, now + options_.lease);
        roster_.clearRenewals();
    }
    lastCallAt_ = std::max(lastCallAt_, now);
}

bool MinionRegistry::merge(Record& record, const MinionAnnouncement& announcement)
{
    const MinionAnnouncement& known = record.announcement;
    const bool isNew = isUnknown(record);
    if (!isNew && announcement.incarnation < known.incarnation)
        return false;
    const bool isSameRun = !isNew && announcement.incarnation == known.incarnation;
    MinionAnnouncement result = isSameRun ? merged(known, announcement) : announcement;
    const AnnouncementKey key = keyOf(result);
    if (key == record.key) {
        record.announcement = std::move(result);
        return false;
    }
    if (!isSameRun && record.isListed)
        outbox_.events.emplace_back(MinionRemoved { known.service, known.minion, known.incarnation });
    replaceContent(record, std::move(result), key);
    // The caller's renew() lists it again and emits the event for the change.
    listedCount_ -= record.isListed ? 1 : 0;
    record.isListed = false;
    return true;
}

void MinionRegistry::replaceContent(Record& record, MinionAnnouncement announcement, AnnouncementKey key)
{
    if (!isUnknown(record)) {
        roster_.forget(record.key);
        std::erase(record.earlier, key);
        record.earlier.push_back(record.key);
    }
    if (record.earlier.size() > maxEarlierKeys) {
        minions_.erase(record.earlier.front());
        record.earlier.erase(record.earlier.begin());
    }
    record.announcement = std::move(announcement);
    record.key = key;
    minions_[key] = { record.announcement.service, record.announcement.minion };
    queriedAt_.erase(key);
}

void MinionRegistry::renew(Record& record, absl::Time now)
{
    record.leaseEnd = std::max(record.leaseEnd, now + options_.lease);
    nextLeaseEnd_ = std::min(nextLeaseEnd_, record.leaseEnd);
    if (record.isListed)
        return;
    record.isListed = true;
    ++listedCount_;
    outbox_.events.emplace_back(MinionAnnounced { record.announcement });
}

void MinionRegistry::renewByKey(
    AnnouncementKey key, absl::Time now, MinionDelta& corrections, MinionQuery& wanted)
{
    const auto minion = minions_.find(key);
    if (minion != minions_.end()) {
        Record& record = records_.at(minion->second);
        if (record.key == key)
            renew(record, now);
        else
            corrections.announcements.push_back(record.announcement);
        return;
    }
    absl::Time& queriedAt = queriedAt_.try_emplace(key, absl::InfinitePast()).first->second;
    if (now - queriedAt < options_.queryTimeout || wanted.keys.size() >= maxQueryKeys)
        return;
    queriedAt = now;
    wanted.keys.push_back(key);
}

void MinionRegistry::endLeases(absl::Time now)
{
    nextLeaseEnd_ = absl::InfiniteFuture();
    for (auto item = records_.begin(); item != records_.end();) {
        Record& record = item->second;
        const absl::Time forgetAt = record.leaseEnd + options_.retention;
        if (now >= forgetAt) {
            minions_.erase(record.key);
            for (const AnnouncementKey key : record.earlier)
                minions_.erase(key);
            item = records_.erase(item);
            continue;
        }
        if (record.isListed && now >= record.leaseEnd) {
            record.isListed = false;
            --listedCount_;
            roster_.forget(record.key);
            outbox_.events.emplace_back(
                MinionRemoved { record.announcement.service, record.announcement.minion, record.announcement.incarnation });
        }
        nextLeaseEnd_ = std::min(nextLeaseEnd_, record.isListed ? record.leaseEnd : forgetAt);
        ++item;
    }
}

void MinionRegistry::sendRenewals(absl::Time now)
{
    nextRenewal_ = now + options_.renewalInterval;
    absl::erase_if(queriedAt_, [&](const auto& item) { return now - item.second >= options_.retention; });
    const RosterPart part = roster_.takeNewPart();
    if (!part.keys.empty())
        sendToPeers(part);
    const MinionLeaseRenewal renewal = roster_.takeRenewal();
    if (!renewal.gaps.empty())
        sendToPeers(renewal);
}

void MinionRegistry::sendToPeers(const PeerMessage& message)
{
    for (const auto& [daemon, roster] : peers_)
        send(daemon, message);
}

void MinionRegistry::send(const DaemonId& to, PeerMessage message)
{
    outbox_.messages.push_back({ to, std::move(message) });
}

} // namespace trefoilwing
