#include "Control/ConfigurationReplica.h"

#include <algorithm>

namespace trefoilwing {

namespace {

    /// Time without an answer after which the query goes to another peer.
    constexpr absl::Duration askInterval = absl::Milliseconds(300);

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
        heard_[daemon] = version;
        query = nextQuery(now);
    }
    ask(query);
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
            askDue_ = now;
        }
        query = nextQuery(now);
    }
    tellListener();
    ask(query);
}

void ConfigurationReplica::tellListener()
{
    while (true) {
        std::shared_ptr<const Configuration> untold;
        {
            MutexLock lock(mutex_);
            if (isTelling_ || told_ == current_->version)
                return;
            isTelling_ = true;
            untold = current_;
        }
        listener_(untold);
        MutexLock lock(mutex_);
        told_ = untold->version;
        isTelling_ = false;
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
    ask(query);
}

absl::Time ConfigurationReplica::nextWakeup() const
{
    MutexLock lock(mutex_);
    return isBehind() ? askDue_ : absl::InfiniteFuture();
}

bool ConfigurationReplica::isBehind() const
{
    const ConfigurationVersion own = state_.configuration().version;
    return std::any_of(heard_.begin(), heard_.end(), [own](const auto& heard) { return heard.second > own; });
}

std::optional<ConfigurationReplica::Query> ConfigurationReplica::nextQuery(absl::Time now)
{
    if (now < askDue_ || !isBehind())
        return std::nullopt;
    askDue_ = now + askInterval;
    // Queries rotate among the peers that are ahead, because the last one queried may not answer.
    const ConfigurationVersion own = state_.configuration().version;
    auto hasMore = [own](const auto& heard) { return heard.second > own; };
    auto chosen = std::find_if(heard_.upper_bound(lastAsked_), heard_.end(), hasMore);
    if (chosen == heard_.end())
        chosen = std::find_if(heard_.begin(), heard_.end(), hasMore);
    lastAsked_ = chosen->first;
    return Query { chosen->first, own };
}

void ConfigurationReplica::ask(const std::optional<Query>& query)
{
    if (query)
        peers_.send(query->to, ConfigurationQuery { query->since });
}

} // namespace trefoilwing
