#include "Adapters/Http/MinionCodec.h"

#include "Adapters/Json/JsonFields.h"
#include "Adapters/Json/JsonMembers.h"

#include <array>
#include <limits>
#include <string_view>
#include <utility>

namespace trefoilwing::MinionCodec {

namespace {

    using nlohmann::json;

    constexpr size_t maxBatchItems = 100'000;
    constexpr size_t maxTextBytes = 64U << 20U;
    constexpr uint64_t maxSlots = 100'000;
    constexpr uint64_t maxPort = 65'535;
    constexpr uint64_t maxId = std::numeric_limits<uint64_t>::max();
    constexpr uint64_t maxIndex = std::numeric_limits<uint32_t>::max();
    /// About 280,000 years: beyond any real deadline and within the range of absl::Time.
    constexpr uint64_t maxTimeMilliseconds = 1ULL << 53U;
    constexpr uint64_t maxLeaseMilliseconds = 3'600'000;
    constexpr uint64_t maxDurationMicroseconds = 1ULL << 53U;

    template <typename Enum, size_t Count>
    using NameTable = std::array<std::pair<Enum, std::string_view>, Count>;

    constexpr NameTable<MinionState, 2> stateNames { {
        { MinionState::Serving, "serving" },
        { MinionState::Leaving, "leaving" },
    } };

    /// The replies that a minion sends. NotSent and Unknown are set by the link itself.
    constexpr NameTable<StartReply, 5> startReplyNames { {
        { StartReply::Started, "started" },
        { StartReply::RefusedBusy, "busy" },
        { StartReply::RefusedLeaving, "leaving" },
        { StartReply::RefusedSeen, "seen" },
        { StartReply::RefusedUnable, "unable" },
    } };

    constexpr NameTable<CancelReply, 3> cancelReplyNames { {
        { CancelReply::Fenced, "fenced" },
        { CancelReply::Running, "running" },
        { CancelReply::Ended, "ended" },
    } };

    constexpr NameTable<TaskStatus, 3> statusNames { {
        { TaskStatus::Succeeded, "succeeded" },
        { TaskStatus::Failed, "failed" },
        { TaskStatus::NotRun, "not run" },
    } };

    template <typename Enum, size_t Count>
    std::string nameOf(const NameTable<Enum, Count>& table, Enum value)
    {
        for (const auto& [candidate, name] : table) {
            if (candidate == value)
                return std::string(name);
        }
        return {};
    }

    template <typename Enum, size_t Count>
    Enum readName(const JsonFields& fields, const char* field, const NameTable<Enum, Count>& table)
    {
        const std::string text = fields.text(field, maxTextBytes);
        std::string expected = "one of";
        for (const auto& [value, name] : table) {
            if (name == text)
                return value;
            expected.append(" \"").append(name).append("\"");
        }
        fields.fail(field, expected);
        return table.front().first;
    }

    json toJson(const Endpoint& endpoint)
    {
        return { { "address", endpoint.address }, { "port", endpoint.port } };
    }

    Endpoint readEndpoint(const JsonFields& fields)
    {
        return { fields.nonEmptyText("address"), static_cast<uint16_t>(fields.number("port", 1, maxPort)) };
    }

    json toJson(const DaemonRun& run)
    {
        return { { "daemon", run.daemon.value() }, { "incarnation", run.incarnation.value() } };
    }

    Incarnation readIncarnation(const JsonFields& fields)
    {
        return Incarnation(fields.number("incarnation", 0, maxId));
    }

    DaemonRun readRun(const JsonFields& fields)
    {
        return { fields.id<DaemonId>("daemon"), readIncarnation(fields) };
    }

    json toJson(const TaskId& task)
    {
        return {
            { "service", task.submission.service.value() },
            { "backer", task.submission.backer.value() },
            { "key", task.submission.key.value() },
            { "index", task.index.value() },
        };
    }

    TaskId readTask(const JsonFields& fields)
    {
        return {
            { fields.id<ServiceId>("service"), fields.id<BackerId>("backer"), fields.id<CallerKey>("key") },
            TaskIndex(static_cast<uint32_t>(fields.number("index", 0, maxIndex))),
        };
    }

    AttemptId readAttempt(const JsonFields& fields)
    {
        return AttemptId(fields.number("attempt", 0, maxId));
    }

    SlotCount readSlots(const JsonFields& fields, const char* name)
    {
        return SlotCount(static_cast<uint32_t>(fields.number(name, 0, maxSlots)));
    }

    uint64_t toEpochMilliseconds(absl::Time time)
    {
        const int64_t milliseconds = absl::ToUnixMillis(time);
        return milliseconds < 0 ? 0 : std::min<uint64_t>(milliseconds, maxTimeMilliseconds);
    }

    uint64_t toMicroseconds(absl::Duration duration)
    {
        const int64_t microseconds = absl::ToInt64Microseconds(duration);
        return microseconds < 0 ? 0 : std::min<uint64_t>(microseconds, maxDurationMicroseconds);
    }

    json toJson(const TaskStart& start)
    {
        return {
            { "attempt", start.attempt.value() },
            { "task", toJson(start.task) },
            { "kind", start.kind.value() },
            { "payload", start.payload },
            { "deadline_ms", toEpochMilliseconds(start.deadline) },
            { "idempotent", start.isIdempotent },
        };
    }

    TaskStart readStart(const JsonFields& fields)
    {
        return {
            readAttempt(fields),
            readTask(fields.object("task")),
            fields.id<TaskKindId>("kind"),
            fields.text("payload", maxTextBytes),
            absl::FromUnixMillis(static_cast<int64_t>(fields.number("deadline_ms", 0, maxTimeMilliseconds))),
            fields.optionalFlag("idempotent"),
        };
    }

    json toJson(const CancelOrder& cancel)
    {
        return {
            { "attempt", cancel.attempt.value() },
            { "task", toJson(cancel.task) },
        };
    }

    CancelOrder readCancel(const JsonFields& fields)
    {
        return { readAttempt(fields), readTask(fields.object("task")) };
    }

    json toJson(const TaskResult& result)
    {
        return {
            { "attempt", result.attempt.value() },
            { "task", toJson(result.task) },
            { "status", nameOf(statusNames, result.status) },
            { "output", result.output },
            { "run_time_us", toMicroseconds(result.runTime) },
        };
    }

    TaskResult readResult(const JsonFields& fields)
    {
        return {
            readAttempt(fields),
            readTask(fields.object("task")),
            readName(fields, "status", statusNames),
            fields.text("output", maxTextBytes),
            absl::Microseconds(static_cast<int64_t>(fields.number("run_time_us", 0, maxDurationMicroseconds))),
        };
    }

    json toJson(const StartAnswer& answer)
    {
        return { { "attempt", answer.attempt.value() }, { "reply", nameOf(startReplyNames, answer.reply) } };
    }

    StartAnswer readStartAnswer(const JsonFields& fields)
    {
        return { readAttempt(fields), readName(fields, "reply", startReplyNames) };
    }

    json toJson(const CancelAnswer& answer)
    {
        return { { "attempt", answer.attempt.value() }, { "reply", nameOf(cancelReplyNames, answer.reply) } };
    }

    CancelAnswer readCancelAnswer(const JsonFields& fields)
    {
        return { readAttempt(fields), readName(fields, "reply", cancelReplyNames) };
    }

    template <typename T>
    json toList(const std::vector<T>& items)
    {
        json list = json::array();
        for (const T& item : items)
            list.push_back(toJson(item));
        return list;
    }

    template <typename T>
    std::vector<T> readList(const JsonFields& fields, const char* name, T (*read)(const JsonFields&))
    {
        std::vector<T> items;
        for (const JsonFields& item : fields.list(name, maxBatchItems))
            items.push_back(read(item));
        return items;
    }

} // namespace

std::string encodeAnnouncement(const MinionAnnouncement& announcement)
{
    return jsonText({
        { "minion", announcement.minion.value() },
        { "incarnation", announcement.incarnation.value() },
        { "sequence", announcement.sequence },
        { "endpoint", toJson(announcement.endpoint) },
        { "service", announcement.service.value() },
        { "data_centre", announcement.dataCentre.value() },
        { "worker", announcement.worker.value() },
        { "rack", announcement.rack.value() },
        { "slots", announcement.slots.value() },
        { "busy_slots", announcement.busySlots.value() },
        { "resources", announcement.resources },
        { "state", nameOf(stateNames, announcement.state) },
    });
}

Result<MinionAnnouncement> decodeAnnouncement(const std::string& body)
{
    const JsonFields fields = JsonFields::parse(body);
    return fields.finish(MinionAnnouncement {
        fields.id<MinionId>("minion"),
        readIncarnation(fields),
        fields.number("sequence", 0, maxId),
        readEndpoint(fields.object("endpoint")),
        fields.id<ServiceId>("service"),
        fields.id<DataCentreId>("data_centre"),
        fields.id<WorkerId>("worker"),
        fields.id<RackId>("rack"),
        readSlots(fields, "slots"),
        readSlots(fields, "busy_slots"),
        fields.optionalCounts("resources"),
        readName(fields, "state", stateNames),
    });
}

std::string encodeLease(absl::Duration lease)
{
    return jsonText({ { "lease_ms", toMicroseconds(lease) / 1000 } });
}

Result<absl::Duration> decodeLease(const std::string& body)
{
    const JsonFields fields = JsonFields::parse(body);
    return fields.finish(absl::Milliseconds(static_cast<int64_t>(fields.number("lease_ms", 0, maxLeaseMilliseconds))));
}

std::string encodeStarts(const StartBatch& batch)
{
    return jsonText({
        { "entry", toJson(batch.entry) },
        { "minion", batch.minion.value() },
        { "incarnation", batch.incarnation.value() },
        { "results", toJson(batch.results) },
        { "starts", toList(batch.starts) },
    });
}

Result<StartBatch> decodeStarts(const std::string& body)
{
    const JsonFields fields = JsonFields::parse(body);
    return fields.finish(StartBatch {
        readRun(fields.object("entry")),
        fields.id<MinionId>("minion"),
        readIncarnation(fields),
        readEndpoint(fields.object("results")),
        readList(fields, "starts", readStart),
    });
}

std::string encodeStartAnswers(const std::vector<StartAnswer>& answers)
{
    return jsonText({ { "answers", toList(answers) } });
}

Result<std::vector<StartAnswer>> decodeStartAnswers(const std::string& body)
{
    const JsonFields fields = JsonFields::parse(body);
    return fields.finish(readList(fields, "answers", readStartAnswer));
}

std::string encodeCancels(const CancelBatch& batch)
{
    return jsonText({
        { "entry", toJson(batch.entry) },
        { "minion", batch.minion.value() },
        { "incarnation", batch.incarnation.value() },
        { "cancels", toList(batch.cancels) },
    });
}

Result<CancelBatch> decodeCancels(const std::string& body)
{
    const JsonFields fields = JsonFields::parse(body);
    return fields.finish(CancelBatch {
        readRun(fields.object("entry")),
        fields.id<MinionId>("minion"),
        readIncarnation(fields),
        readList(fields, "cancels", readCancel),
    });
}

std::string encodeCancelAnswers(const std::vector<CancelAnswer>& answers)
{
    return jsonText({ { "answers", toList(answers) } });
}

Result<std::vector<CancelAnswer>> decodeCancelAnswers(const std::string& body)
{
    const JsonFields fields = JsonFields::parse(body);
    return fields.finish(readList(fields, "answers", readCancelAnswer));
}

std::string encodeResults(const ResultBatch& batch)
{
    return jsonText({
        { "service", batch.service.value() },
        { "minion", batch.minion.value() },
        { "entry", toJson(batch.entry) },
        { "results", toList(batch.results) },
    });
}

Result<ResultBatch> decodeResults(const std::string& body)
{
    const JsonFields fields = JsonFields::parse(body);
    return fields.finish(ResultBatch {
        fields.id<ServiceId>("service"),
        fields.id<MinionId>("minion"),
        readRun(fields.object("entry")),
        readList(fields, "results", readResult),
    });
}

} // namespace trefoilwing::MinionCodec
