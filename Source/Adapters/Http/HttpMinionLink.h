#pragma once

#include "Adapters/Http/ChannelQueue.h"
#include "Adapters/Http/MinionChannel.h"
#include "Ports/MinionLink.h"

#include <absl/container/flat_hash_map.h>

#include <array>
#include <memory>
#include <thread>
#include <utility>
#include <vector>

namespace trefoilwing {

/// How an HttpMinionLink identifies its daemon to minions, and the link's limits.
struct HttpMinionLinkOptions {
    DaemonRun entry;
    /// Address to which minions post results.
    Endpoint results;
    /// Number of sender threads; each waits for one answer at a time.
    uint32_t senders = 32;
    HttpTimeouts timeouts;
};

/// Sends start and cancel orders to minions over HTTP from a fixed pool of sender threads.
///
/// Lock order: a shard's lock, then a channel's. No lock is held during a post or a call to MinionEvents.
class HttpMinionLink : public MinionLink {
public:
    /// @param events receives the answers, on the sender threads; it must outlive the link.
    HttpMinionLink(HttpMinionLinkOptions, MinionEvents& events);
    ~HttpMinionLink() override;

    HttpMinionLink(const HttpMinionLink&) = delete;
    HttpMinionLink& operator=(const HttpMinionLink&) = delete;

    void sendStarts(const ServiceId&, const MinionAddress&, std::vector<TaskStart>) override;
    void sendCancels(const ServiceId&, const MinionAddress&, std::vector<CancelOrder>) override;

    /// Waits for the posts in progress and joins the threads. Queued starts are reported as not sent.
    void stop();

private:
    using Channel = ChannelQueue::Channel;
    using ChannelKey = std::pair<ServiceId, MinionAddress>;

    /// A subset of the channels under its own lock.
    struct Shard {
        absl::Mutex mutex;
        absl::flat_hash_map<ChannelKey, Channel> channels ABSL_GUARDED_BY(mutex);
    };

    void send(const ServiceId&, const MinionAddress&, MinionWork);
    Channel findChannel(const ServiceId&, const MinionAddress&);
    void runSender();
    void schedule(const Channel&);
    void postStarts(MinionChannel&, const std::vector<TaskStart>&);
    void postCancels(MinionChannel&, const std::vector<CancelOrder>&);
    void reportNotSent(MinionChannel&);

    static constexpr size_t shardCount = 8;

    const HttpMinionLinkOptions options_;
    MinionEvents& events_;
    std::array<Shard, shardCount> shards_;
    ChannelQueue queue_;
    std::vector<std::thread> senders_;
};

} // namespace trefoilwing
