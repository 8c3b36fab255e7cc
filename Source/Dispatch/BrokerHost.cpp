#include "Dispatch/BrokerHost.h"

#include <algorithm>
#include <utility>

namespace trefoilwing {

namespace {

    /// Decisions that an entry hasn't confirmed by then are taken for lost.
    constexpr absl::Duration confirmTimeout = absl::Seconds(3);

} // namespace

BrokerHost::BrokerHost(DaemonRun self, BrokerFactory factory)
    : self_(std::move(self))
    , factory_(std::move(factory))
{
}

void BrokerHost::setService(const ServiceDeclaration& declaration, bool isHost, absl::Time now)
{
    Service& service = services_[declaration.service];
    service.declaration = declaration;
    if (!isHost) {
        service.broker.reset();
        service.entries.clear();
        return;
    }
    if (service.broker) {
        service.broker->declare(declaration);
        return;
    }
    service.broker = factory_(declaration);
    for (const auto& [minion, announcement] : service.minions)
        service.broker->minionAnnounced(announcement, now);
}

void BrokerHost::dropService(const ServiceId& service)
{
    services_.erase(service);
}

void BrokerHost::minionAnnounced(const MinionAnnouncement& announcement, absl::Time now)
{
    Service& service = services_[announcement.service];
    service.minions[announcement.minion] = announcement;
    if (service.broker)
        service.broker->minionAnnounced(announcement, now);
}

void BrokerHost::minionGone(const ServiceId& id, const MinionId& minion, absl::Time now)
{
    const auto found = services_.find(id);
    if (found == services_.end())
        return;
    found->second.minions.erase(minion);
    if (found->second.broker)
        found->second.broker->minionGone(minion, now);
}

void BrokerHost::entryGone(const DaemonRun& entry, absl::Time now)
{
    for (auto& [id, service] : services_) {
        if (service.entries.erase(entry) > 0 && service.broker)
            service.broker->entryGone(entry, now);
    }
}

void BrokerHost::entryUpdated(const BrokerUpdate& update, absl::Time now)
{
    const auto found = services_.find(update.service);
    if (found == services_.end() || !found->second.broker)
        return;
    Service& service = found->second;
    EntryStream& entry = service.entries[update.entry];
    if (takeSequence(entry, update, now))
        service.broker->entryUpdated(update, now);
}

std::vector<AddressedDecisions> BrokerHost::decide(absl::Time now)
{
    std::vector<AddressedDecisions> addressed;
    for (auto& [id, service] : services_) {
        if (service.broker)
            decideService(id, service, now, addressed);
    }
    return addressed;
}

absl::Time BrokerHost::nextWakeup() const
{
    absl::Time next = absl::InfiniteFuture();
    for (const auto& [id, service] : services_) {
        if (service.broker)
            next = std::min(next, service.broker->nextWakeup());
    }
    return next;
}

bool BrokerHost::takeSequence(EntryStream& entry, const BrokerUpdate& update, absl::Time now)
{
    if (update.sequence == 1 && update.stream > entry.stream) {
        entry = EntryStream { update.stream, 1, 0, absl::InfinitePast(), false };
        return true;
    }
    if (update.stream < entry.stream)
        return false;
    const bool lostDecisions = update.received < entry.sent && now > entry.lastSent + confirmTimeout;
    if (update.stream != entry.stream || update.sequence != entry.received + 1 || lostDecisions) {
        entry.wantsWholeState = true;
        return false;
    }
    entry.received = update.sequence;
    return true;
}

void BrokerHost::decideService(const ServiceId& id, Service& service, absl::Time now, std::vector<AddressedDecisions>& addressed)
{
    std::vector<EntryDecisions> decided = service.broker->decide(now);
    for (EntryDecisions& each : decided) {
        const auto entry = service.entries.find(each.entry);
        if (entry == service.entries.end())
            continue;
        BrokerDecisions decisions = nextHeader(id, each.entry, entry->second, now);
        decisions.grants = std::move(each.grants);
        decisions.rejections = std::move(each.rejections);
        decisions.wantsWholeState = each.wantsWholeState || std::exchange(entry->second.wantsWholeState, false);
        addressed.push_back({ each.entry.daemon, std::move(decisions) });
    }
    for (auto& [run, entry] : service.entries) {
        if (!std::exchange(entry.wantsWholeState, false))
            continue;
        BrokerDecisions decisions = nextHeader(id, run, entry, now);
        decisions.wantsWholeState = true;
        addressed.push_back({ run.daemon, std::move(decisions) });
    }
}

BrokerDecisions BrokerHost::nextHeader(const ServiceId& id, const DaemonRun& entry, EntryStream& stream, absl::Time now) const
{
    stream.lastSent = now;
    BrokerDecisions decisions;
    decisions.service = id;
    decisions.broker = self_;
    decisions.entry = entry;
    decisions.stream = stream.stream;
    decisions.sequence = ++stream.sent;
    return decisions;
}

} // namespace trefoilwing
