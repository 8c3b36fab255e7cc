#include "Adapters/Clock/SeededRandom.h"
#include "Adapters/Clock/SteadyClock.h"
#include "Adapters/Wire/TcpPeerLink.h"
#include "Support/RecordingEventLog.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/time/clock.h>

#include <atomic>
#include <ctime>
#include <memory>
#include <vector>

// Measures the cost of connections between daemons over loopback: the processor time of a daemon that exchanges
// heartbeats and lease renewals, and the rate of small messages between two daemons.
//
// usage: PeerLinkBench

using namespace trefoilwing;

namespace {

double processorSeconds()
{
    timespec time {};
    ::clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return absl::ToDoubleSeconds(absl::DurationFromTimespec(time));
}

class CountingPeerEvents : public PeerEvents {
public:
    void messageReceived(const DaemonId&, PeerMessage) override { ++count_; }
    uint64_t count() const { return count_; }

private:
    std::atomic<uint64_t> count_ { 0 };
};

struct Node {
    explicit Node(const DaemonSettings& settings)
        : link(settings, Incarnation(1), clock, random, log)
    {
    }

    SteadyClock clock;
    SeededRandom random { 7 };
    RecordingEventLog log;
    CountingPeerEvents events;
    TcpPeerLink link;
};

class Mesh {
public:
    explicit Mesh(size_t daemons)
    {
        for (size_t i = 0; i < daemons; ++i) {
            PeerSettings peer;
            peer.daemon = DaemonId(absl::StrCat("daemon-", i));
            peer.peerEndpoint = { "127.0.0.1", std::get<Socket>(Socket::listenAt({ "127.0.0.1", 0 })).port() };
            peers_.push_back(peer);
        }
        for (const PeerSettings& peer : peers_) {
            DaemonSettings settings;
            settings.daemon = peer.daemon;
            settings.peerEndpoint = peer.peerEndpoint;
            settings.peers = peers_;
            nodes_.push_back(std::make_unique<Node>(settings));
            nodes_.back()->link.start(nodes_.back()->events);
        }
        while (!isFullyConnected())
            absl::SleepFor(absl::Milliseconds(20));
    }

    Node& node(size_t index) { return *nodes_[index]; }
    const DaemonId& daemon(size_t index) const { return peers_[index].daemon; }
    size_t size() const { return nodes_.size(); }

private:
    bool isFullyConnected() const
    {
        for (const auto& node : nodes_) {
            for (const PeerTraffic& traffic : node->link.traffic()) {
                if (!traffic.isConnected)
                    return false;
            }
        }
        return true;
    }

    std::vector<PeerSettings> peers_;
    std::vector<std::unique_ptr<Node>> nodes_;
};

/// Sends heartbeats within the data centre every 0.5 s, lease renewals within it every 1 s, and heartbeats to all every 3 s.
void measureControl(size_t daemons, size_t entriesEach)
{
    constexpr int halfSeconds = 24;
    const PeerMessage heartbeat = Heartbeat { Incarnation(1796382000000000), 10000000, 10000000, DaemonState::Active };
    const PeerMessage leaseRenewal = MinionLeaseRenewal { RosterId(123456789), 660, std::vector<uint32_t>(73, 8) };
    Mesh mesh(daemons);
    const double begin = processorSeconds();
    for (int round = 0; round < halfSeconds; ++round) {
        for (size_t from = 0; from < daemons; ++from) {
            for (size_t to = 0; to < daemons; ++to) {
                const bool isSameDataCentre = from / entriesEach == to / entriesEach;
                if (from != to && (isSameDataCentre || round % 6 == 0))
                    mesh.node(from).link.send(mesh.daemon(to), heartbeat);
                if (from != to && isSameDataCentre && round % 2 == 0)
                    mesh.node(from).link.send(mesh.daemon(to), leaseRenewal);
            }
        }
        absl::SleepFor(absl::Milliseconds(500));
    }
    const double used = processorSeconds() - begin;
    absl::PrintF("%d daemons, %d in a data centre: %.3f%% of a core a daemon\n", daemons, entriesEach,
        100 * used / (halfSeconds / 2.0) / static_cast<double>(daemons));
}

void measureRate()
{
    constexpr uint64_t messages = 200000;
    BrokerDecisions decisions;
    decisions.service = ServiceId("quotes");
    decisions.grants.resize(4, { JobNumber(1000), TaskKindId("price"), MinionId("minion-123"), SlotCount(2) });
    Mesh mesh(2);
    const double begin = processorSeconds();
    const absl::Time start = absl::Now();
    for (uint64_t i = 0; i < messages; ++i)
        mesh.node(0).link.send(mesh.daemon(1), decisions);
    while (mesh.node(1).events.count() + mesh.node(0).link.traffic().front().droppedMessages < messages)
        absl::SleepFor(absl::Milliseconds(1));
    const double elapsed = absl::ToDoubleSeconds(absl::Now() - start);
    absl::PrintF("BrokerDecisions of 4 grants, one way: %.0f a second, %.2f us of processor each for both sides, %d dropped\n",
        static_cast<double>(messages) / elapsed, 1e6 * (processorSeconds() - begin) / static_cast<double>(messages),
        mesh.node(0).link.traffic().front().droppedMessages);
}

} // namespace

int main()
{
    measureControl(9, 3);
    measureControl(20, 5);
    measureControl(45, 9);
    measureRate();
    return 0;
}
