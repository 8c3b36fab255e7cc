#include "Adapters/Wire/TcpPeerLink.h"
#include "Adapters/Clock/SeededRandom.h"
#include "Adapters/Clock/SteadyClock.h"
#include "Adapters/Msgpack/Codec.h"
#include "Support/RecordingEventLog.h"

#include <poll.h>

#include <condition_variable>
#include <memory>
#include <mutex>

#include <CppUTest/TestHarness.h>

using namespace trefoilwing;

namespace {

constexpr absl::Duration maxWait = absl::Seconds(20);

/// Records the request numbers of received queries.
///
/// It waits with the standard library, since ThreadSanitizer doesn't understand the packaged Abseil's waits.
class RecordingPeerEvents : public PeerEvents {
public:
    void messageReceived(const DaemonId&, PeerMessage message) override
    {
        const std::lock_guard lock(mutex_);
        requests_.push_back(std::get<OutcomeQuery>(message).request.value());
        arrived_.notify_all();
    }

    /// Waits until the last request received is the given one.
    /// @return whether that happened within the timeout.
    bool waitForLast(uint64_t request)
    {
        std::unique_lock lock(mutex_);
        return arrived_.wait_for(lock, absl::ToChronoSeconds(maxWait),
            [&] { return !requests_.empty() && requests_.back() == request; });
    }

    std::vector<uint64_t> requests()
    {
        const std::lock_guard lock(mutex_);
        return requests_;
    }

private:
    std::mutex mutex_;
    std::condition_variable arrived_;
    std::vector<uint64_t> requests_;
};

uint16_t freePort()
{
    return std::get<Socket>(Socket::listenAt({ "127.0.0.1", 0 })).port();
}

PeerMessage query(uint64_t request)
{
    return OutcomeQuery { RequestId(request), { ServiceId("quotes"), BackerId("shop"), CallerKey("k") }, {} };
}

/// The link of one daemon with its dependencies.
struct Node {
    Node(const DaemonSettings& settings, uint64_t incarnation, const WireOptions& options = {})
        : link(settings, Incarnation(incarnation), clock, random, log, options)
    {
    }

    bool start() { return !errorOf(link.start(events)); }

    SteadyClock clock;
    SeededRandom random { 7 };
    RecordingEventLog log;
    RecordingPeerEvents events;
    TcpPeerLink link;
};

/// A peer that sends raw bytes, to test invalid input.
class RawPeer {
public:
    explicit RawPeer(const Endpoint& endpoint)
        : socket_(std::move(std::get<Socket>(Socket::connectTo(endpoint))))
    {
        wait(POLLOUT);
    }

    void send(std::string_view bytes) { socket_.send(bytes); }

    /// Reads until a complete frame is received or the connection ends.
    std::optional<std::string> readFrame()
    {
        std::string buffer(1000, '\0');
        while (true) {
            if (const auto content = reader_.next())
                return std::string(*content);
            wait(POLLIN);
            const auto bytes = socket_.receive(buffer);
            if (!bytes)
                return std::nullopt;
            reader_.append(*bytes);
        }
    }

private:
    void wait(short events)
    {
        pollfd item { socket_.descriptor(), events, 0 };
        CHECK_EQUAL(1, ::poll(&item, 1, static_cast<int>(absl::ToInt64Milliseconds(maxWait))));
    }

    Socket socket_;
    FrameReader reader_ { Bytes(4096) };
};

} // namespace

TEST_GROUP(TcpPeerLink)
{
    const DaemonId a { "a" };
    const DaemonId b { "b" };
    std::vector<PeerSettings> peers = { peer(a), peer(b) };

    static PeerSettings peer(const DaemonId& daemon)
    {
        PeerSettings settings;
        settings.daemon = daemon;
        settings.peerEndpoint = { "127.0.0.1", freePort() };
        return settings;
    }

    DaemonSettings settings(size_t index) const
    {
        DaemonSettings settings;
        settings.daemon = peers[index].daemon;
        settings.peerEndpoint = peers[index].peerEndpoint;
        settings.peers = peers;
        return settings;
    }

    std::string hello(uint64_t incarnation) const
    {
        return makeFrame(encode(Hello { protocolVersion, { b, Incarnation(incarnation) }, a }));
    }
};

TEST(TcpPeerLink, DeliversMessagesInOrderInBothDirections)
{
    Node first(settings(0), 1);
    Node second(settings(1), 1);
    CHECK(first.start() && second.start());
    for (uint64_t i = 1; i <= 1000; ++i) {
        first.link.send(b, query(i));
        second.link.send(a, query(i));
    }
    CHECK(second.events.waitForLast(1000));
    CHECK(first.events.waitForLast(1000));
    CHECK_EQUAL(1000, second.events.requests().size());
    const std::vector<uint64_t> arrived = second.events.requests();
    CHECK(std::is_sorted(arrived.begin(), arrived.end()));
    CHECK_EQUAL(1000, first.link.traffic().front().sentMessages);
}

TEST(TcpPeerLink, ReachesAPeerThatStartsLaterAndOneThatRestarts)
{
    Node first(settings(0), 1);
    CHECK(first.start());
    first.link.send(b, query(1));
    {
        Node second(settings(1), 1);
        CHECK(second.start());
        CHECK(second.events.waitForLast(1));
    }
    Node restarted(settings(1), 2);
    CHECK(restarted.start());
    // A message sent before the link detects the restart may be lost, so it is sent again.
    first.link.send(b, query(2));
    absl::SleepFor(absl::Milliseconds(300));
    first.link.send(b, query(2));
    CHECK(restarted.events.waitForLast(2));
}

TEST(TcpPeerLink, InvalidBytesCloseOnlyTheirConnection)
{
    Node first(settings(0), 1);
    Node second(settings(1), 1);
    CHECK(first.start() && second.start());
    RawPeer raw(peers[1].peerEndpoint);
    raw.send(makeFrame("\xc1\xc1garbage"));
    CHECK(!raw.readFrame());
    CHECK_EQUAL(1, second.log.count("event=peer_connection_refused"));
    first.link.send(b, query(1));
    CHECK(second.events.waitForLast(1));
}

TEST(TcpPeerLink, AMalformedMessageOfAKnownPeerClosesItsConnection)
{
    Node first(settings(0), 1);
    CHECK(first.start());
    RawPeer raw(peers[0].peerEndpoint);
    raw.send(hello(1));
    const std::optional<std::string> answer = raw.readFrame();
    CHECK(answer && valueOf(decode<Hello>(*answer))->sender.daemon == a);
    raw.send(makeFrame("") + makeFrame(encode(query(5))) + makeFrame(encode(std::vector<uint64_t> { 0, 1 })));
    CHECK(!raw.readFrame());
    CHECK(first.events.waitForLast(5));
    CHECK_EQUAL(1, first.log.count("peer=b reason=\"undecodable"));
    CHECK_EQUAL(1, first.link.traffic().front().malformedFrames);
}

TEST(TcpPeerLink, AMessageOfANewerVersionIsSkipped)
{
    Node first(settings(0), 1);
    CHECK(first.start());
    RawPeer raw(peers[0].peerEndpoint);
    raw.send(hello(1) + makeFrame(encode(std::vector<uint64_t> { 1000, 1 })) + makeFrame(encode(query(5))));
    CHECK(first.events.waitForLast(5));
    CHECK_EQUAL(1, first.link.traffic().front().unknownMessages);
}

TEST(TcpPeerLink, AnOversizedFrameClosesItsConnection)
{
    WireOptions options;
    options.maxFrame = Bytes(100);
    Node first(settings(0), 1, options);
    CHECK(first.start());
    RawPeer raw(peers[0].peerEndpoint);
    raw.send(hello(1));
    CHECK(raw.readFrame().has_value());
    raw.send(makeFrame(std::string(101, 'x')).substr(0, 20));
    CHECK(!raw.readFrame());
    CHECK_EQUAL(1, first.log.count("a frame exceeds the maximum size"));
}

TEST(TcpPeerLink, RefusesUnknownPeersOtherReceiversAndOlderRuns)
{
    Node first(settings(0), 1);
    CHECK(first.start());
    RawPeer unknownPeer(peers[0].peerEndpoint);
    unknownPeer.send(makeFrame(encode(Hello { protocolVersion, { DaemonId("x"), Incarnation(1) }, a })));
    CHECK(!unknownPeer.readFrame());
    RawPeer misdirected(peers[0].peerEndpoint);
    misdirected.send(makeFrame(encode(Hello { protocolVersion, { b, Incarnation(1) }, DaemonId("x") })));
    CHECK(!misdirected.readFrame());
    RawPeer later(peers[0].peerEndpoint);
    later.send(hello(2));
    CHECK(later.readFrame().has_value());
    RawPeer older(peers[0].peerEndpoint);
    older.send(hello(1));
    CHECK(!older.readFrame());
    // The connection of the later run must still be in use.
    later.send(makeFrame(encode(query(9))));
    CHECK(first.events.waitForLast(9));
}

TEST(TcpPeerLink, ANewConnectionOfAPeerReplacesItsOldOne)
{
    WireOptions options;
    // The timeout must not close the old connection in this test.
    options.receiveTimeout = absl::Hours(1);
    Node first(settings(0), 1, options);
    CHECK(first.start());
    RawPeer halfOpen(peers[0].peerEndpoint);
    halfOpen.send(hello(1));
    CHECK(halfOpen.readFrame().has_value());
    RawPeer fresh(peers[0].peerEndpoint);
    fresh.send(hello(1));
    CHECK(fresh.readFrame().has_value());
    CHECK(!halfOpen.readFrame());
}

TEST(TcpPeerLink, ClosesAnIdleConnectionAfterTheTimeout)
{
    WireOptions options;
    options.receiveTimeout = absl::Milliseconds(100);
    Node first(settings(0), 1, options);
    CHECK(first.start());
    RawPeer silent(peers[0].peerEndpoint);
    silent.send(hello(1));
    CHECK(silent.readFrame().has_value());
    CHECK(!silent.readFrame());
}

TEST(TcpPeerLink, TimesOutWaitingForHelloAndReconnects)
{
    WireOptions options;
    options.handshakeTimeout = absl::Milliseconds(100);
    Node first(settings(0), 1, options);
    {
        // The kernel accepts connections for this listener, but nobody answers the hello.
        const Result<Socket> unresponsive = Socket::listenAt(peers[1].peerEndpoint);
        CHECK(!errorOf(unresponsive));
        CHECK(first.start());
        first.link.send(b, query(1));
        // A busy machine may run the link's thread late, so the test waits for the line and not for a time.
        const absl::Time limit = absl::Now() + maxWait;
        while (first.log.count("timed out waiting for the hello") == 0 && absl::Now() < limit)
            absl::SleepFor(absl::Milliseconds(5));
        CHECK_EQUAL(1, first.log.count("timed out waiting for the hello"));
    }
    Node second(settings(1), 1);
    CHECK(second.start());
    CHECK(second.events.waitForLast(1));
}

TEST(TcpPeerLink, AnIdleConnectionPingsAndStaysOpen)
{
    WireOptions options;
    options.pingInterval = absl::Milliseconds(20);
    options.receiveTimeout = absl::Milliseconds(2000);
    Node first(settings(0), 1, options);
    Node second(settings(1), 1, options);
    CHECK(first.start() && second.start());
    first.link.send(b, query(1));
    CHECK(second.events.waitForLast(1));
    absl::SleepFor(absl::Milliseconds(300));
    CHECK(first.link.traffic().front().sentBytes > 5 * frameHeaderSize);
    CHECK_EQUAL(1, first.link.traffic().front().connects);
}

TEST(TcpPeerLink, SaysWhyItCannotListen)
{
    Node first(settings(0), 1);
    Node duplicate(settings(0), 2);
    CHECK(first.start());
    const Result<Done> started = duplicate.link.start(duplicate.events);
    CHECK(errorOf(started) && errorOf(started)->message.find("cannot listen at 127.0.0.1") == 0);
}

// Guards against daemons, or what claims to be one, that make a process hold incomplete messages.
TEST(TcpPeerLink, IncompleteMessagesAreBoundedTogether)
{
    WireOptions options;
    options.maxReceiving = Bytes(100000);
    Node first(settings(0), 1, options);
    CHECK(first.start());
    RawPeer raw(peers[0].peerEndpoint);
    raw.send(hello(1));
    CHECK(raw.readFrame().has_value());
    const std::string frame = makeFrame(std::string(200000, 'x'));
    raw.send(frame.substr(0, 150000));
    CHECK(!raw.readFrame());
    CHECK_EQUAL(1, first.log.count("event=peer_connection_refused"));
}

TEST(TcpPeerLink, TheNumberOfConnectedDaemonsIsBounded)
{
    WireOptions options;
    options.maxIdentified = 0;
    Node first(settings(0), 1, options);
    CHECK(first.start());
    RawPeer raw(peers[0].peerEndpoint);
    raw.send(hello(1));
    CHECK(!raw.readFrame());
    CHECK_EQUAL(1, first.log.count("event=peer_connection_refused"));
}
