#include "Adapters/Msgpack/Codec.h"

#include <rapidcheck.h>

#include <array>

#include <CppUTest/TestHarness.h>

// Decoding arbitrary bytes must give a value or an error, and a decoded value must survive being encoded
// and decoded again. Sanitizer builds detect memory errors and undefined behaviour.

using namespace trefoilwing;

namespace {

template <typename T>
void decodeAnything(std::string_view bytes)
{
    const Result<T> decoded = decode<T>(bytes);
    if (const T* value = valueOf(decoded)) {
        const Result<T> again = decode<T>(encode(*value));
        RC_ASSERT(valueOf(again) && encode(*valueOf(again)) == encode(*value));
    }
}

constexpr std::array decoders {
    &decodeAnything<PeerMessage>,
    &decodeAnything<Configuration>,
    &decodeAnything<Submission>,
    &decodeAnything<LogEntry>,
    &decodeAnything<Snapshot>,
    &decodeAnything<HardState>,
    &decodeAnything<TaskStart>,
    &decodeAnything<TaskResult>,
};

/// @return one message of each type with default fields, and several with their nested fields filled.
template <size_t... numbers>
std::vector<std::string> samples(std::index_sequence<numbers...>)
{
    std::vector<std::string> bytes { encode(PeerMessage(std::in_place_index<numbers>))... };
    const DaemonRun run { DaemonId("d"), Incarnation(7) };
    const SubmissionKey key { ServiceId("s"), BackerId("b"), CallerKey("k") };
    const MinionAnnouncement minion { MinionId("m"), Incarnation(3), 9, { "10.0.0.1", 8080 }, key.service, DataCentreId("c"),
        WorkerId("w"), RackId("r"), SlotCount(8), SlotCount(2), { { "accelerators", 1 } }, MinionState::Leaving };
    bytes.push_back(encode(PeerMessage(MinionDelta { { minion, minion } })));
    bytes.push_back(encode(PeerMessage(MinionLeaseRenewal { RosterId(1), 9, { 0, 3, 200 } })));
    bytes.push_back(encode(PeerMessage(ForwardedSubmission { RequestId(1), { key, { { TaskKindId("t"), "payload" } }, absl::InfiniteFuture(), true } })));
    bytes.push_back(encode(PeerMessage(ForwardReply { RequestId(1), JobAnswer { { "a", "b" } } })));
    BrokerUpdate update;
    update.entry = run;
    update.held = { { MinionId("m"), 2 } };
    update.reports.push_back({ JobNumber(1), MinionId("m"), TaskKindId("t"), SlotEnding::Succeeded, absl::Milliseconds(3) });
    bytes.push_back(encode(PeerMessage(update)));
    return bytes;
}

/// @return a message with one to four mutations: bytes replaced, cut off or duplicated.
std::string mutated()
{
    static const std::vector<std::string> all = samples(std::make_index_sequence<std::variant_size_v<PeerMessage>>());
    std::string bytes = *rc::gen::elementOf(all);
    const int changes = *rc::gen::inRange(1, 5);
    for (int i = 0; i < changes && !bytes.empty(); ++i) {
        const size_t place = *rc::gen::inRange<size_t>(0, bytes.size());
        switch (*rc::gen::inRange(0, 4)) {
        case 0:
            bytes.resize(place);
            break;
        case 1:
            bytes.insert(place, bytes.substr(place, 20));
            break;
        default:
            bytes[place] = *rc::gen::arbitrary<char>();
        }
    }
    return bytes;
}

} // namespace

TEST_GROUP(DecoderFuzz) {};

TEST(DecoderFuzz, RandomBytes)
{
    CHECK(rc::check("random bytes", [](const std::string& bytes) {
        for (const auto decodeOne : decoders)
            decodeOne(bytes);
    }));
}

TEST(DecoderFuzz, MutatedMessages)
{
    CHECK(rc::check("mutated messages", [] {
        const std::string bytes = mutated();
        for (const auto decodeOne : decoders)
            decodeOne(bytes);
    }));
}
