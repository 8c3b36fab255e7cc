#include "Control/GroupCluster.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <deque>
#include <type_traits>

namespace trefoilwing {

struct GroupCluster::Host final : PeerLink, Clock, Random, Journal {
    struct PendingBatch {
        JournalBatch batch;
        absl::Time syncedAt;
    };

    Host(GroupCluster& owner, size_t number)
        : cluster(owner)
        , index(number)
        , daemon(absl::StrCat("d", number))
        , hasDisk(number < owner.options_.hostsWithDisk)
        , disk(owner.options_.makeStorage())
    {
    }

    void send(const DaemonId& to, PeerMessage message) override { cluster.send(index, to, message); }
    absl::Time now() const override { return cluster.now_; }
    uint64_t below(uint64_t bound) override { return cluster.below(bound); }
    double unit() override { return 0.5; }
    void append(JournalBatch batch) override { pending.push_back({ std::move(batch), cluster.now_ + syncTime }); }

    void syncDue()
    {
        while (group && !isFrozen && !isDiskFailing && !pending.empty() && pending.front().syncedAt <= cluster.now_) {
            disk->write(pending.front().batch);
            const SyncToken token = pending.front().batch.token;
            pending.pop_front();
            group->synced(token);
        }
    }

    bool isRunning() const { return group && !isFrozen; }

    GroupCluster& cluster;
    size_t index;
    DaemonId daemon;
    bool hasDisk;
    Incarnation storage;
    std::unique_ptr<HostStorage> disk;
    std::deque<PendingBatch> pending;
    absl::Duration syncTime = absl::Milliseconds(5);
    bool isFrozen = false;
    bool isDiskFailing = false;
    std::vector<InFlight> held;
    std::unique_ptr<ReplicatedGroup> group;
};

GroupCluster::GroupCluster(Options options, Factory factory)
    : options_(std::move(options))
    , factory_(std::move(factory))
    , engine_(options_.seed)
{
    for (size_t i = 0; i < options_.hosts; ++i) {
        hosts_.push_back(std::make_unique<Host>(*this, i));
        hosts_.back()->storage = Incarnation(++storages_);
    }
    for (auto& host : hosts_)
        start(*host);
    mayFound_ = !options_.foundsOnce;
}

GroupCluster::~GroupCluster() = default;

size_t GroupCluster::addHost()
{
    const size_t number = hosts_.size();
    hosts_.push_back(std::make_unique<Host>(*this, number));
    hosts_.back()->hasDisk = true;
    hosts_.back()->storage = Incarnation(++storages_);
    start(*hosts_.back());
    return number;
}

HostStorage& GroupCluster::storageOf(size_t host)
{
    return *hosts_[host]->disk;
}

ReplicatedGroup* GroupCluster::group(size_t host)
{
    return hosts_[host]->group.get();
}

void GroupCluster::freeze(size_t host)
{
    hosts_[host]->isFrozen = true;
}

void GroupCluster::resume(size_t host)
{
    hosts_[host]->isFrozen = false;
}

void GroupCluster::setSyncTime(size_t host, absl::Duration time)
{
    hosts_[host]->syncTime = time;
}

void GroupCluster::start(Host& host)
{
    LogSettings settings;
    settings.group = GroupId("ledger/dc");
    settings.self = { { host.daemon, host.storage }, false, host.hasDisk, false };
    for (const auto& other : hosts_) {
        if (options_.seeds == 0 || other->index < options_.seeds)
            settings.daemons.push_back(other->daemon);
    }
    settings.maxVoters = options_.maxVoters;
    settings.maxEntries = options_.maxEntries;
    settings.claimGuard = options_.claimGuard;
    settings.mayFound = mayFound_;
    settings.voterTimeout = options_.voterTimeout;
    settings.keepsOddVoters = options_.keepsOddVoters;
    settings.minSyncedDisks = options_.minSyncedDisks;
    std::optional<JournalContent> content = host.disk->open(host.storage);
    if (!content) {
        ++failedStarts_;
        return;
    }
    host.group = factory_(host.index, settings, *std::move(content), { host, host, host, host.hasDisk ? &host : nullptr });
}

void GroupCluster::send(size_t from, const DaemonId& to, const PeerMessage& message)
{
    ++messagesSent_;
    auto target = std::find_if(hosts_.begin(), hosts_.end(), [&](const auto& host) { return host->daemon == to; });
    std::visit([&](const auto& typed) {
        if constexpr (std::is_constructible_v<LogMessage, decltype(typed)>) {
            const auto copies = 1 + (below(100) < faults_.duplicatePercent ? 1 : 0);
            for (int i = 0; i < copies; ++i) {
                const auto extra = static_cast<int64_t>(below(static_cast<uint64_t>(absl::ToInt64Microseconds(faults_.maxExtraDelay)) + 1));
                enqueue(now_ + absl::Milliseconds(1) + absl::Microseconds(extra), { from, static_cast<size_t>(target - hosts_.begin()), typed });
            }
        }
    },
        message);
}

void GroupCluster::enqueue(absl::Time at, InFlight message)
{
    if (below(100) >= faults_.dropPercent)
        network_.emplace(at, std::move(message));
}

void GroupCluster::deliver(const InFlight& message)
{
    Host& host = *hosts_[message.to];
    if (side_.contains(message.from) != side_.contains(message.to) || !host.group)
        return;
    if (host.isFrozen)
        host.held.push_back(message);
    else
        host.group->receive(message.message);
}

absl::Time GroupCluster::nextEvent() const
{
    absl::Time at = network_.empty() ? absl::InfiniteFuture() : network_.begin()->first;
    for (const auto& host : hosts_) {
        if (!host->isRunning())
            continue;
        at = std::min(at, host->group->nextWakeup());
        if (!host->pending.empty() && !host->isDiskFailing)
            at = std::min(at, host->pending.front().syncedAt);
        if (!host->held.empty())
            at = now_;
    }
    return std::max(at, now_);
}

void GroupCluster::runDue()
{
    while (!network_.empty() && network_.begin()->first <= now_) {
        const InFlight message = network_.begin()->second;
        network_.erase(network_.begin());
        deliver(message);
    }
    for (auto& host : hosts_) {
        host->syncDue();
        if (!host->isRunning())
            continue;
        for (const InFlight& message : std::exchange(host->held, {}))
            host->group->receive(message.message);
        if (host->group->nextWakeup() <= now_)
            host->group->wake();
    }
}

void GroupCluster::run(absl::Duration duration)
{
    const absl::Time end = now_ + duration;
    while (now_ < end) {
        // Each step is at least a millisecond, so that time advances even if a host is always due.
        now_ = std::min(end, std::max(now_ + absl::Milliseconds(1), nextEvent()));
        runDue();
    }
}

bool GroupCluster::runUntil(const std::function<bool()>& condition, absl::Duration atMost)
{
    const absl::Time end = now_ + atMost;
    while (!condition()) {
        if (now_ >= end)
            return false;
        run(absl::Milliseconds(5));
    }
    return true;
}

size_t GroupCluster::leader() const
{
    for (size_t i = 0; i < hosts_.size(); ++i) {
        if (hosts_[i]->isRunning() && hosts_[i]->group->status().isLeading)
            return i;
    }
    return hosts_.size();
}

bool GroupCluster::isWhole() const
{
    if (!hasLeader())
        return false;
    const GroupState status = hosts_[leader()]->group->status();
    const auto wanted = std::min<size_t>(options_.maxVoters, hosts_.size());
    const auto voters = std::count_if(status.members.begin(), status.members.end(), [](const Member& member) { return member.isVoter; });
    return static_cast<size_t>(voters) == wanted && status.commitIndex == status.lastIndex
        && std::all_of(hosts_.begin(), hosts_.end(), [&](const auto& host) {
               return host->isRunning() && host->group->status().commitIndex == status.commitIndex
                   && std::any_of(status.members.begin(), status.members.end(), [&](const Member& member) {
                          return member.id == MemberId { host->daemon, host->storage };
                      });
           });
}

void GroupCluster::crash(size_t number, size_t surviving)
{
    Host& host = *hosts_[number];
    host.group.reset();
    host.held.clear();
    host.isFrozen = false;
    host.isDiskFailing = false;
    for (; surviving > 0 && !host.pending.empty(); --surviving) {
        host.disk->write(host.pending.front().batch);
        host.pending.pop_front();
    }
    host.disk->kill(host.pending.empty() ? nullptr : &host.pending.front().batch);
    host.pending.clear();
    if (!host.hasDisk)
        loseDisk(number);
}

void GroupCluster::restart(size_t number)
{
    if (!hosts_[number]->group)
        start(*hosts_[number]);
}

void GroupCluster::loseDisk(size_t number)
{
    Host& host = *hosts_[number];
    host.group.reset();
    host.held.clear();
    host.isFrozen = false;
    host.isDiskFailing = false;
    host.pending.clear();
    host.disk = options_.makeStorage();
    host.storage = Incarnation(++storages_);
}

void GroupCluster::failDisk(size_t number)
{
    hosts_[number]->isDiskFailing = true;
    hosts_[number]->group->journalFailed({ ErrorCode::Internal, "sync failed", Verdict::MayHaveRun });
}

void GroupCluster::repairDisk(size_t number)
{
    Host& host = *hosts_[number];
    host.isDiskFailing = false;
    // A journal that writes again reports it with the batches that have waited; if there are none, nothing has failed.
    if (host.pending.empty())
        host.append({ SyncToken(0), {}, {}, nullptr, false });
}

void GroupCluster::cut(const std::set<size_t>& side)
{
    side_ = side;
}

void GroupCluster::heal()
{
    side_.clear();
}

void GroupCluster::repairAll()
{
    heal();
    setFaults({});
    for (size_t i = 0; i < size(); ++i) {
        resume(i);
        restart(i);
    }
}

} // namespace trefoilwing
