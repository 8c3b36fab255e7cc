#include "Adapters/Http/CallerCodec.h"
#include "Adapters/Http/MinionCodec.h"

#include <rapidcheck.h>

#include <functional>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace trefoilwing;

namespace {

const DaemonRun entry { DaemonId("e"), Incarnation(7) };

TaskId task()
{
    return { { ServiceId("s"), BackerId("b"), CallerKey("k") }, TaskIndex(3) };
}

/// A decoder under test: decodes a body and, if it is valid, checks that the value survives a round trip.
using Decoder = std::function<void(const std::string&)>;

template <typename T>
Decoder decoder(Result<T> (*decode)(const std::string&), std::string (*encode)(const T&))
{
    return [decode, encode](const std::string& body) {
        const Result<T> result = decode(body);
        if (const Error* error = errorOf(result)) {
            RC_ASSERT(error->code == ErrorCode::Malformed);
            RC_ASSERT(error->verdict == Verdict::NotRun);
            RC_ASSERT(!error->message.empty());
            return;
        }
        const Result<T> again = decode(encode(*valueOf(result)));
        RC_ASSERT(valueOf(again));
        RC_ASSERT(*valueOf(again) == *valueOf(result));
    };
}

std::string encodeLease(const absl::Duration& lease)
{
    return MinionCodec::encodeLease(lease);
}

std::vector<Decoder> decoders()
{
    return {
        decoder(MinionCodec::decodeAnnouncement, MinionCodec::encodeAnnouncement),
        decoder(MinionCodec::decodeLease, encodeLease),
        decoder(MinionCodec::decodeStarts, MinionCodec::encodeStarts),
        decoder(MinionCodec::decodeStartAnswers, MinionCodec::encodeStartAnswers),
        decoder(MinionCodec::decodeCancels, MinionCodec::encodeCancels),
        decoder(MinionCodec::decodeCancelAnswers, MinionCodec::encodeCancelAnswers),
        decoder(MinionCodec::decodeResults, MinionCodec::encodeResults),
    };
}

std::vector<std::string> validBodies()
{
    return {
        R"({"service":"s","backer":"b","id":"i","timeout_ms":1000,"tasks":[{"kind":"t","payload":{"n":1}},{"kind":"t","payload":"x"}]})",
        R"({"service":"s","backer":"b","kind":"t","deadline_ms":1796382000123,"idempotent":true,"payload":[1,2]})",
        MinionCodec::encodeAnnouncement({ MinionId("m"), Incarnation(1), 2, { "127.0.0.1", 80 }, ServiceId("s"), DataCentreId("d"),
            WorkerId("w"), RackId("r"), SlotCount(8), SlotCount(1), { { "accelerators", 2 } }, MinionState::Serving }),
        MinionCodec::encodeLease(absl::Seconds(3)),
        MinionCodec::encodeStarts({ entry, MinionId("m"), Incarnation(1), { "127.0.0.1", 80 }, { { AttemptId(1), task(), TaskKindId("t"), "{}", absl::FromUnixMillis(1), true } } }),
        MinionCodec::encodeStartAnswers({ { AttemptId(1), StartReply::Started } }),
        MinionCodec::encodeCancels({ entry, MinionId("m"), Incarnation(1), { { AttemptId(1), task() } } }),
        MinionCodec::encodeCancelAnswers({ { AttemptId(1), CancelReply::Fenced } }),
        MinionCodec::encodeResults({ ServiceId("s"), MinionId("m"), entry, { { AttemptId(1), task(), TaskStatus::Failed, "o", absl::Seconds(1) } } }),
    };
}

/// Texts that replace a part of a valid body, chosen because decoders often mishandle them.
const std::vector<std::string> fragments {
    "",
    "-1",
    "18446744073709551616",
    "1e999",
    "1.5",
    "null",
    "true",
    "{}",
    "[]",
    "\"\"",
    "\"",
    "\\u0000",
    "\\ud800",
    "\xff",
    "[[[[",
    "}}",
    ",",
    ":",
    "{\"a\":",
};

std::string mutate(std::string body, size_t place, size_t length, const std::string& fragment)
{
    place %= body.size() + 1;
    return body.replace(place, length, fragment);
}

void decodeWithAll(const std::string& body)
{
    for (const Decoder& decode : decoders())
        decode(body);
    // Bodies from callers have no encoder, so no round trip is checked.
    CallerCodec::decodeSubmission(body, absl::FromUnixSeconds(1000));
    CallerCodec::decodeRequest(body, absl::FromUnixSeconds(1000));
}

} // namespace

TEST_GROUP(DecoderFuzz) {};

TEST(DecoderFuzz, RandomBytesGiveErrorsOnly)
{
    CHECK(rc::check("random bytes", [](const std::string& body) { decodeWithAll(body); }));
}

TEST(DecoderFuzz, MutatedBodiesGiveAValueOrAnError)
{
    CHECK(rc::check("mutated bodies", [] {
        std::string body = *rc::gen::elementOf(validBodies());
        const int mutations = *rc::gen::inRange(0, 4);
        for (int i = 0; i < mutations; ++i)
            body = mutate(std::move(body), *rc::gen::inRange<size_t>(0, 1000), *rc::gen::inRange<size_t>(0, 20), *rc::gen::elementOf(fragments));
        decodeWithAll(body);
    }));
}

TEST(DecoderFuzz, DeepNestingDoesNotCrash)
{
    constexpr size_t depth = 1'000'000;
    decodeWithAll(std::string(depth, '['));
    decodeWithAll("{\"starts\":" + std::string(depth, '[') + std::string(depth, ']') + "}");
}

// Guards against the end of an entry's process: a payload of any shape is serialised, which recurses once per level.
TEST(DecoderFuzz, ADeeplyNestedPayloadIsRejected)
{
    constexpr size_t depth = 100'000;
    const std::string nested = std::string(depth, '[') + std::string(depth, ']');
    const std::string body = R"({"request":"r","service":"s","job_kind":"k","tasks":[{"payload":)" + nested + "}]}";
    CHECK(errorOf(CallerCodec::decodeSubmission(body, absl::FromUnixSeconds(1000))));
    decodeWithAll(R"({"payload":)" + nested + "}");
}
