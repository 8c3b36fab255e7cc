#pragma once

#include "Adapters/Http/LaneQueue.h"
#include "Adapters/Http/MinionLane.h"
#include "Ports/MinionLink.h"

#include <absl/container/flat_hash_map.h>

#include <array>
#include <memory>
#include <thread>
#include <utility>
#include <vector>

namespace trefoilwing {

/// What an HttpMinionLink says of its daemon, and its limits.
struct HttpMinionLinkOptions {
    DaemonRun entry;
    /// Where minions post the results.
    Endpoint results;
    /// Threads that post; each waits for one answer at a time.
    uint32_t senders = 32;
    HttpTimeouts timeouts;
};

/// Sends starts and cancels to minions over HTTP from a bounded pool of threads.
///
/// Lock order: a shard's lock, then a lane's. No lock is held during a post or a call of MinionEvents.
class HttpMinionLink : public MinionLink {
public:
    /// @param events takes the answers from the senders' threads; it must outlive the link.
    HttpMinionLink(HttpMinionLinkOptions, MinionEvents& events);
    ~HttpMinionLink() override;

    HttpMinionLink(const HttpMinionLink&) = delete;
    HttpMinionLink& operator=(const HttpMinionLink&) = delete;

    void sendStarts(const ServiceId&, const MinionAddress&, std::vector<TaskStart>) override;
    void sendCancels(const ServiceId&, const MinionAddress&, std::vector<CancelOrder>) override;

    /// Waits for the posts in progress and ends the threads. Starts that still wait are answered as not sent.
    void stop();

private:
    using Lane = LaneQueue::Lane;
    using LaneKey = std::pair<ServiceId, MinionAddress>;

    /// A part of the lanes, under its own lock.
    struct Shard {
        absl::Mutex mutex;
        absl::flat_hash_map<LaneKey, Lane> lanes ABSL_GUARDED_BY(mutex);
    };

    void send(const ServiceId&, const MinionAddress&, MinionWork);
    Lane findLane(const ServiceId&, const MinionAddress&);
    void runSender();
    void schedule(const Lane&);
    void postStarts(MinionLane&, const std::vector<TaskStart>&);
    void postCancels(MinionLane&, const std::vector<CancelOrder>&);
    void answerUnsent(MinionLane&);

    static constexpr size_t shardCount = 8;

    const HttpMinionLinkOptions options_;
    MinionEvents& events_;
    std::array<Shard, shardCount> shards_;
    LaneQueue queue_;
    std::vector<std::thread> senders_;
};

} // namespace trefoilwing
