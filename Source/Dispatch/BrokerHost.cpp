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
        service.sent.clear();
        service.asked.clear();
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
        service.sent.erase(entry);
        if (service.broker)
            service.broker->entryGone(entry, now);
    }
}

void BrokerHost::entryUpdated(const BrokerUpdate& update, absl::Time now)
{
    const auto found = services_.find(update.service);
    if (found == services_.end() || !found->second.broker)
        return;
    Service& service = found->second;
    if (missedDecisions(service, update, now))
        service.asked.emplace_back(update.entry, update.stream);
    else
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

bool BrokerHost::missedDecisions(const Service& service, const BrokerUpdate& update, absl::Time now)
{
    const auto sent = service.sent.find(update.entry);
    return sent != service.sent.end() && sent->second.stream == update.stream
        && update.received < sent->second.sequence && now > sent->second.at + confirmTimeout;
}

void BrokerHost::decideService(const ServiceId& id, Service& service, absl::Time now, std::vector<AddressedDecisions>& addressed)
{
    for (EntryDecisions& each : service.broker->decide(now)) {
        BrokerDecisions decisions = headerFor(id, each.entry, each.stream, each.sequence);
        decisions.grants = std::move(each.grants);
        decisions.rejections = std::move(each.rejections);
        decisions.needsFullState = each.needsFullState;
        service.sent[each.entry] = Sent { each.stream, each.sequence, now };
        addressed.push_back({ each.entry.daemon, std::move(decisions) });
    }
    for (const auto& [entry, stream] : std::exchange(service.asked, {})) {
        BrokerDecisions decisions = headerFor(id, entry, stream, 0);
        decisions.needsFullState = true;
        addressed.push_back({ entry.daemon, std::move(decisions) });
    }
}

BrokerDecisions BrokerHost::headerFor(const ServiceId& id, const DaemonRun& entry, uint64_t stream, uint64_t sequence) const
{
    BrokerDecisions decisions;
    decisions.service = id;
    decisions.broker = self_;
    decisions.entry = entry;
    decisions.stream = stream;
    decisions.sequence = sequence;
    return decisions;
}

} // namespace trefoilwing
