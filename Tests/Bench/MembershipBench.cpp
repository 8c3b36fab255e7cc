#include "Adapters/Msgpack/Codec.h"
#include "Adapters/Wire/FrameReader.h"
#include "Control/EntryCluster.h"

#include <absl/strings/str_format.h>

#include <chrono>
#include <cstdio>
#include <ctime>
#include <iostream>
#include <malloc.h>

// Measures the cost of membership and of the minions' leases for each daemon: bytes sent, processor time including
// encoding and decoding, and memory. Also measures the codec alone.
//
// usage: MembershipBench

using namespace trefoilwing;

namespace {

constexpr absl::Duration startTime = absl::Seconds(60);
constexpr absl::Duration measuredTime = absl::Seconds(60);

double processorSeconds()
{
    timespec time {};
    ::clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return absl::ToDoubleSeconds(absl::DurationFromTimespec(time));
}

size_t allocatedBytes()
{
    const auto info = ::mallinfo2();
    return info.uordblks + info.hblkhd;
}

/// Raises the numbers in heartbeats to what they are after some days, since their encoded size grows with them.
PeerMessage withLongUptime(PeerMessage message)
{
    if (auto* heartbeat = std::get_if<Heartbeat>(&message)) {
        heartbeat->incarnation = Incarnation(1796382000000000);
        heartbeat->sequence += 10000000;
        heartbeat->echo += 10000000;
    }
    return message;
}

/// Counts the messages and bytes that all entries send, and the most bytes that one entry sends within a second.
class TrafficCounter {
public:
    explicit TrafficCounter(EntryCluster& cluster)
        : cluster_(cluster)
        , bytes_(cluster.size())
        , bytesThisSecond_(cluster.size())
    {
        cluster.setSendListener([this](size_t from, size_t, const PeerMessage& message) { record(from, withLongUptime(message)); });
    }

    void reset()
    {
        std::fill(bytes_.begin(), bytes_.end(), 0);
        messages_ = 0;
        peak_ = 0;
    }

    double bytesPerDaemonSecond(absl::Duration duration) const
    {
        uint64_t sum = 0;
        for (const uint64_t bytes : bytes_)
            sum += bytes;
        return static_cast<double>(sum) / static_cast<double>(bytes_.size()) / absl::ToDoubleSeconds(duration);
    }

    double messagesPerDaemonSecond(absl::Duration duration) const
    {
        return static_cast<double>(messages_) / static_cast<double>(bytes_.size()) / absl::ToDoubleSeconds(duration);
    }

    uint64_t peakSecond() const { return peak_; }
    double codecSeconds() const { return codecSeconds_; }
    void resetCodec() { codecSeconds_ = 0; }

private:
    void record(size_t from, const PeerMessage& message)
    {
        const double begin = processorSeconds();
        const std::string content = encode(message);
        const bool isDecoded = valueOf(decode<PeerMessage>(content)) != nullptr;
        codecSeconds_ += processorSeconds() - begin;
        if (!isDecoded)
            std::cerr << "a message could not be decoded after encoding\n";
        const uint64_t size = content.size() + frameHeaderSize;
        bytes_[from] += size;
        ++messages_;
        const int64_t second = absl::ToUnixSeconds(cluster_.now());
        if (second != second_)
            std::fill(bytesThisSecond_.begin(), bytesThisSecond_.end(), 0);
        second_ = second;
        bytesThisSecond_[from] += size;
        peak_ = std::max(peak_, bytesThisSecond_[from]);
    }

    EntryCluster& cluster_;
    std::vector<uint64_t> bytes_;
    std::vector<uint64_t> bytesThisSecond_;
    uint64_t messages_ = 0;
    uint64_t peak_ = 0;
    int64_t second_ = -1;
    double codecSeconds_ = 0;
};

void measure(size_t dataCentres, size_t entriesEach, size_t minionsEach)
{
    const size_t before = allocatedBytes();
    EntryCluster cluster({ dataCentres, entriesEach, 1, absl::Milliseconds(50), false });
    TrafficCounter traffic(cluster);
    for (size_t centre = 0; centre < dataCentres; ++centre) {
        for (size_t i = 0; i < minionsEach; ++i)
            cluster.addMinion(centre);
    }
    cluster.run(startTime);
    const double startRate = traffic.bytesPerDaemonSecond(startTime);
    const uint64_t startPeak = traffic.peakSecond();
    traffic.reset();
    traffic.resetCodec();
    const double begin = processorSeconds();
    cluster.run(measuredTime);
    const double used = processorSeconds() - begin;
    const auto daemons = static_cast<double>(cluster.size());
    const double steadyRate = traffic.bytesPerDaemonSecond(measuredTime);
    const double messages = traffic.messagesPerDaemonSecond(measuredTime);
    // One minion in fifty restarts within a minute, far more than on an ordinary day.
    traffic.reset();
    const size_t restarts = std::max<size_t>(1, dataCentres * minionsEach / 50);
    for (size_t i = 0; i < restarts; ++i) {
        cluster.restartMinion(i * 50);
        cluster.run(measuredTime / static_cast<double>(restarts));
    }
    const double churnRate = traffic.bytesPerDaemonSecond(measuredTime);
    // Then an entry restarts and receives the whole state again.
    traffic.reset();
    cluster.restart(0);
    cluster.run(absl::Seconds(30));
    const uint64_t restartPeak = traffic.peakSecond();
    const double restartRate = traffic.bytesPerDaemonSecond(absl::Seconds(30));
    const double memory = static_cast<double>(allocatedBytes() - before) / daemons;
    absl::PrintF("%8d %8d | %9.0f %9.1f %9.0f | %9.0f %9d | %9.0f %9d | %9.4f %9.4f | %8.0f\n", cluster.size(), minionsEach, steadyRate, messages,
        churnRate, startRate, startPeak, restartRate, restartPeak, 100 * used / daemons / absl::ToDoubleSeconds(measuredTime),
        100 * traffic.codecSeconds() / daemons / absl::ToDoubleSeconds(measuredTime), memory / 1024);
    if (const std::string mismatch = cluster.disagreement(); !mismatch.empty())
        std::cerr << "the entries disagree: " << mismatch << "\n";
}

template <typename T>
void measureCodec(const char* name, const T& value)
{
    constexpr int rounds = 20000;
    const std::string content = encode(value);
    size_t kept = 0;
    double begin = processorSeconds();
    for (int i = 0; i < rounds; ++i)
        kept += encode(value).size();
    const double encoding = processorSeconds() - begin;
    begin = processorSeconds();
    for (int i = 0; i < rounds; ++i)
        kept += valueOf(decode<T>(content)) ? 1 : 0;
    const double decoding = processorSeconds() - begin;
    absl::PrintF("%-34s %8d bytes, encode %7.2f us, decode %7.2f us%s\n", name, content.size(), 1e6 * encoding / rounds,
        1e6 * decoding / rounds, kept == 0 ? "!" : "");
}

void measureCodec()
{
    const SubmissionKey key { ServiceId("quotes"), BackerId("shop-17"), CallerKey("0123456789abcdef") };
    measureCodec("Heartbeat", PeerMessage(Heartbeat { Incarnation(1796382000000000), 100000, 99999, DaemonState::Active, ConfigurationVersion(7) }));
    MinionLeaseRenewal leaseRenewal { RosterId(123456789), 660, std::vector<uint32_t>(73, 8) };
    measureCodec("MinionVouch of 73 minions", PeerMessage(leaseRenewal));
    Submission submission { key, {}, absl::FromUnixSeconds(1796382000), false };
    submission.tasks.resize(1300, { TaskKindId("price"), std::string(200, 'x') });
    measureCodec("ForwardedSubmission of 1300 x 200 B", PeerMessage(ForwardedSubmission { RequestId(7), submission }));
    BrokerDecisions decisions;
    decisions.service = key.service;
    decisions.broker = decisions.entry = { DaemonId("entry-1"), Incarnation(1796382000000000) };
    decisions.grants.resize(20, { JobNumber(1000), TaskKindId("price"), MinionId("minion-123"), SlotCount(2) });
    measureCodec("BrokerDecisions of 20 grants", PeerMessage(decisions));
}

} // namespace

int main()
{
    absl::PrintF("bytes sent and processor share for each daemon; memory in KB, with a share of the fake network\n");
    absl::PrintF("%8s %8s | %9s %9s %9s | %9s %9s | %9s %9s | %9s %9s | %8s\n", "daemons", "minions", "B/s", "msg/s", "churn B/s",
        "start B/s", "peak B/s", "rest. B/s", "peak B/s", "cpu %", "codec %", "KB");
    for (const size_t minions : { 50U, 200U, 660U }) {
        measure(3, 3, minions);
        measure(4, 5, minions);
        measure(5, 9, minions);
    }
    absl::PrintF("\n");
    measureCodec();
    return 0;
}
