#include "Control/ConfigurationReplica.h"

#include <algorithm>

namespace trefoilwing {

namespace {

    /// Time without an answer after which the query goes to another peer.
    constexpr absl::Duration queryRetryInterval = absl::Milliseconds(300);

} // namespace

ConfigurationReplica::ConfigurationReplica(PeerLink& peers, Clock& clock, ChangeListener listener)
    : peers_(peers)
    , clock_(clock)
    , listener_(std::move(listener))
    , current_(std::make_shared<const Configuration>())
{
}

std::shared_ptr<const Configuration> ConfigurationReplica::current() const
{
    MutexLock lock(mutex_);
    return current_;
}

ConfigurationVersion ConfigurationReplica::version() const
{
    return current()->version;
}

void ConfigurationReplica::versionReceived(const DaemonId& daemon, ConfigurationVersion version)
{
    const absl::Time now = clock_.now();
    std::optional<Query> query;
    {
        MutexLock lock(mutex_);
        // A restarted peer may report a lower version than before, so the latest report replaces the earlier one.
        peerVersions_[daemon] = version;
        query = nextQuery(now);
    }
    sendQuery(query);
}

void ConfigurationReplica::receive(const DaemonId& from, const ConfigurationQuery& query)
{
    ConfigurationDelta delta;
    {
        MutexLock lock(mutex_);
        delta = state_.deltaSince(query.since);
    }
    peers_.send(from, std::move(delta));
}

void ConfigurationReplica::receive(const ConfigurationDelta& delta)
{
    const absl::Time now = clock_.now();
    std::optional<Query> query;
    {
        MutexLock lock(mutex_);
        if (state_.adopt(delta)) {
            current_ = std::make_shared<const Configuration>(state_.configuration());
            queryDue_ = now;
        }
        query = nextQuery(now);
    }
    notifyListener();
    sendQuery(query);
}

void ConfigurationReplica::notifyListener()
{
    while (true) {
        std::shared_ptr<const Configuration> unnotified;
        {
            MutexLock lock(mutex_);
            if (isNotifying_ || notifiedVersion_ == current_->version)
                return;
            isNotifying_ = true;
            unnotified = current_;
        }
        listener_(unnotified);
        MutexLock lock(mutex_);
        notifiedVersion_ = unnotified->version;
        isNotifying_ = false;
    }
}

void ConfigurationReplica::wake()
{
    const absl::Time now = clock_.now();
    std::optional<Query> query;
    {
        MutexLock lock(mutex_);
        query = nextQuery(now);
    }
    sendQuery(query);
}

absl::Time ConfigurationReplica::nextWakeup() const
{
    MutexLock lock(mutex_);
    return isBehind() ? queryDue_ : absl::InfiniteFuture();
}

bool ConfigurationReplica::isBehind() const
{
    const ConfigurationVersion own = state_.configuration().version;
    return std::any_of(peerVersions_.begin(), peerVersions_.end(), [own](const auto& peer) { return peer.second > own; });
}

std::optional<ConfigurationReplica::Query> ConfigurationReplica::nextQuery(absl::Time now)
{
    if (now < queryDue_ || !isBehind())
        return std::nullopt;
    queryDue_ = now + queryRetryInterval;
    // Queries rotate among the peers that are ahead, because the last one queried may not answer.
    const ConfigurationVersion own = state_.configuration().version;
    auto hasMore = [own](const auto& peer) { return peer.second > own; };
    auto chosen = std::find_if(peerVersions_.upper_bound(lastQueried_), peerVersions_.end(), hasMore);
    if (chosen == peerVersions_.end())
        chosen = std::find_if(peerVersions_.begin(), peerVersions_.end(), hasMore);
    lastQueried_ = chosen->first;
    return Query { chosen->first, own };
}

void ConfigurationReplica::sendQuery(const std::optional<Query>& query)
{
    if (query)
        peers_.send(query->to, ConfigurationQuery { query->since });
}

} // namespace trefoilwing
