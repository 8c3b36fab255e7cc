#include "Adapters/Http/MinionCodec.h"

#include <CppUTest/TestHarness.h>

using namespace trefoilwing;

namespace {

TaskId task(uint32_t index)
{
    return { { ServiceId("follow-up"), BackerId("shop-7"), CallerKey("q\"1") }, TaskIndex(index) };
}

const DaemonRun entry { DaemonId("bole-1"), Incarnation(7) };

/// Checks that decoding failed as Malformed and that the error names the field.
template <typename T>
void checkNamesField(const Result<T>& result, const char* field)
{
    CHECK(errorOf(result));
    CHECK(errorOf(result)->code == ErrorCode::Malformed);
    STRCMP_CONTAINS(field, errorOf(result)->message.c_str());
}

} // namespace

TEST_GROUP(MinionCodec) {};

TEST(MinionCodec, MessagesRoundTrip)
{
    const MinionAnnouncement announcement { MinionId("m1"), Incarnation(3), 9, { "127.0.0.1", 8000 }, ServiceId("follow-up"),
        DataCentreId("bole"), WorkerId("w1"), RackId("r1"), SlotCount(8), SlotCount(2), { { "accelerators", 4 } }, MinionState::Leaving };
    CHECK(*valueOf(MinionCodec::decodeAnnouncement(MinionCodec::encodeAnnouncement(announcement))) == announcement);

    const StartBatch starts { entry, MinionId("m1"), Incarnation(3), { "127.0.0.1", 80 },
        { { AttemptId(1), task(0), TaskKindId("price"), "{\"a\": 1}\n", absl::FromUnixMillis(1'700'000'000'123), true } } };
    CHECK(*valueOf(MinionCodec::decodeStarts(MinionCodec::encodeStarts(starts))) == starts);

    const CancelBatch cancels { entry, MinionId("m1"), Incarnation(3), { { AttemptId(2), task(1) } } };
    CHECK(*valueOf(MinionCodec::decodeCancels(MinionCodec::encodeCancels(cancels))) == cancels);

    const ResultBatch results { ServiceId("follow-up"), MinionId("m1"), entry,
        { { AttemptId(1), task(0), TaskStatus::NotRun, "out", absl::Milliseconds(51) } } };
    CHECK(*valueOf(MinionCodec::decodeResults(MinionCodec::encodeResults(results))) == results);

    const std::vector<CancelAnswer> answers { { AttemptId(2), CancelReply::Running } };
    CHECK(*valueOf(MinionCodec::decodeCancelAnswers(MinionCodec::encodeCancelAnswers(answers))) == answers);

    CHECK(*valueOf(MinionCodec::decodeLease(MinionCodec::encodeLease(absl::Seconds(3)))) == absl::Seconds(3));
}

TEST(MinionCodec, ErrorsNameInvalidFields)
{
    checkNamesField(MinionCodec::decodeStarts("[]"), "object");
    checkNamesField(MinionCodec::decodeStarts("{"), "object");
    checkNamesField(MinionCodec::decodeStarts(R"({"entry":{"daemon":"e","incarnation":1},"minion":"m","incarnation":1,"results":{"address":"a","port":70000},"starts":[]})"), "results.port");
    checkNamesField(MinionCodec::decodeStarts(R"({"entry":{"daemon":"","incarnation":1},"minion":"m","incarnation":1,"results":{"address":"a","port":7},"starts":[]})"), "entry.daemon");
    checkNamesField(MinionCodec::decodeStartAnswers(R"({"answers":[{"attempt":1,"reply":"started"},{"attempt":-1,"reply":"started"}]})"), "answers[1].attempt");
    checkNamesField(MinionCodec::decodeStartAnswers(R"({"answers":[{"attempt":1,"reply":"perhaps"}]})"), "answers[0].reply");
    checkNamesField(MinionCodec::decodeCancelAnswers(R"({"answers":[7]})"), "answers[0]");
}
