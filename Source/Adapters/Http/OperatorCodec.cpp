#include "Adapters/Http/OperatorCodec.h"

#include "Adapters/Json/JsonMembers.h"
#include "Adapters/Yaml/DeclarationLoader.h"
#include "Adapters/Yaml/YamlValues.h"

#include <absl/strings/str_cat.h>
#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <array>

namespace trefoilwing {

// The tables of members. They aren't in the unnamed namespace, since the templates use argument-dependent lookup.

static constexpr auto jsonMembers(const MemberStatus*)
{
    return std::make_tuple(
        jsonMember("daemon", &MemberStatus::daemon),
        jsonMember("voter", &MemberStatus::isVoter),
        jsonMember("disk", &MemberStatus::hasDisk));
}

static constexpr auto jsonMembers(const GroupStatus*)
{
    return std::make_tuple(
        jsonMember("group", &GroupStatus::group),
        jsonMember("role", &GroupStatus::role),
        jsonMember("term", &GroupStatus::term),
        jsonMember("leader", &GroupStatus::leader),
        jsonMember("committed", &GroupStatus::committed),
        jsonMember("members", &GroupStatus::members));
}

static constexpr auto jsonMembers(const MinionCounts*)
{
    return std::make_tuple(
        jsonMember("service", &MinionCounts::service),
        jsonMember("serving", &MinionCounts::serving),
        jsonMember("leaving", &MinionCounts::leaving),
        jsonMember("ejected", &MinionCounts::ejected),
        jsonMember("slots", &MinionCounts::slots),
        jsonMember("busy_slots", &MinionCounts::busySlots));
}

static constexpr auto jsonMembers(const QueueStatus*)
{
    return std::make_tuple(
        jsonMember("service", &QueueStatus::service),
        jsonMember("backer", &QueueStatus::backer),
        jsonMember("jobs", &QueueStatus::jobs),
        jsonMember("waiting_tasks", &QueueStatus::waitingTasks),
        jsonMember("running_tasks", &QueueStatus::runningTasks));
}

static constexpr auto jsonMembers(const PeerStatus*)
{
    return std::make_tuple(
        jsonMember("daemon", &PeerStatus::daemon),
        jsonMember("reachable", &PeerStatus::isReachable));
}

static constexpr auto jsonMembers(const DaemonStatus*)
{
    return std::make_tuple(
        jsonMember("daemon", &DaemonStatus::daemon),
        jsonMember("incarnation", &DaemonStatus::incarnation),
        jsonMember("data_centre", &DaemonStatus::dataCentre),
        jsonMember("entry", &DaemonStatus::isEntry),
        jsonMember("keeper", &DaemonStatus::isKeeper),
        jsonMember("draining", &DaemonStatus::isDraining),
        jsonMember("drained", &DaemonStatus::isDrained),
        jsonMember("configuration", &DaemonStatus::configuration),
        jsonMember("groups", &DaemonStatus::groups),
        jsonMember("minions", &DaemonStatus::minions),
        jsonMember("queues", &DaemonStatus::queues),
        jsonMember("peers", &DaemonStatus::peers));
}

static constexpr auto jsonMembers(const MetricLabels*)
{
    return std::make_tuple(
        jsonMember("service", &MetricLabels::service),
        jsonMember("backer", &MetricLabels::backer),
        jsonMember("kind", &MetricLabels::kind));
}

static constexpr auto jsonMembers(const CounterSample*)
{
    return std::make_tuple(
        jsonMember("name", &CounterSample::name),
        jsonMember("labels", &CounterSample::labels),
        jsonMember("value", &CounterSample::value));
}

static constexpr auto jsonMembers(const GaugeSample*)
{
    return std::make_tuple(
        jsonMember("name", &GaugeSample::name),
        jsonMember("labels", &GaugeSample::labels),
        jsonMember("value", &GaugeSample::value));
}

static constexpr auto jsonMembers(const LatencyBucket*)
{
    return std::make_tuple(
        jsonMember("upper_us", &LatencyBucket::upper),
        jsonMember("count", &LatencyBucket::count));
}

static constexpr auto jsonMembers(const LatencySample*)
{
    return std::make_tuple(
        jsonMember("name", &LatencySample::name),
        jsonMember("labels", &LatencySample::labels),
        jsonMember("sum_us", &LatencySample::sum),
        jsonMember("buckets", &LatencySample::buckets));
}

static constexpr auto jsonMembers(const IntervalCount*)
{
    return std::make_tuple(
        jsonMember("interval", &IntervalCount::interval),
        jsonMember("good", &IntervalCount::good),
        jsonMember("total", &IntervalCount::total));
}

static constexpr auto jsonMembers(const ServiceLevelSeries*)
{
    return std::make_tuple(
        jsonMember("service", &ServiceLevelSeries::service),
        jsonMember("backer", &ServiceLevelSeries::backer),
        jsonMember("step_us", &ServiceLevelSeries::step),
        jsonMember("intervals", &ServiceLevelSeries::intervals));
}

static constexpr auto jsonMembers(const MetricsSnapshot*)
{
    return std::make_tuple(
        jsonMember("at_us", &MetricsSnapshot::at),
        jsonMember("counters", &MetricsSnapshot::counters),
        jsonMember("gauges", &MetricsSnapshot::gauges),
        jsonMember("latencies", &MetricsSnapshot::latencies),
        jsonMember("service_levels", &MetricsSnapshot::serviceLevels),
        jsonMember("dropped_values", &MetricsSnapshot::droppedValues));
}

static constexpr auto jsonMembers(const MemberRemoval*)
{
    return std::make_tuple(
        jsonMember("group", &MemberRemoval::group),
        jsonMember("daemon", &MemberRemoval::daemon));
}

namespace {

    using nlohmann::json;

    constexpr std::array<ErrorCode, 16> errorCodes {
        ErrorCode::Malformed, ErrorCode::TooLarge, ErrorCode::UnknownService, ErrorCode::UnknownBacker,
        ErrorCode::UnknownTaskKind, ErrorCode::UnknownSubmission, ErrorCode::PastDeadline, ErrorCode::Conflict,
        ErrorCode::Overloaded, ErrorCode::Impossible, ErrorCode::Draining, ErrorCode::Unavailable,
        ErrorCode::TaskFailed, ErrorCode::Lost, ErrorCode::Cancelled, ErrorCode::Internal
    };
    constexpr std::array<Verdict, 3> verdicts { Verdict::NotRun, Verdict::Ran, Verdict::MayHaveRun };

    Error malformed(const std::string& message)
    {
        return { ErrorCode::Malformed, message, Verdict::NotRun };
    }

    /// Decodes with a function that may throw nlohmann/json's exceptions, such as for a value of the wrong type.
    template <typename T, typename Decode>
    Result<T> decodeWith(const std::string& body, Decode decode)
    {
        const Result<json> document = parseJson(body);
        if (const Error* error = errorOf(document))
            return *error;
        try {
            return decode(*valueOf(document));
        } catch (const json::exception& e) {
            return malformed(absl::StrCat("The body has a wrong shape: ", e.what()));
        }
    }

    template <typename T>
    Result<T> decodeMembers(const std::string& body)
    {
        return decodeWith<T>(body, [](const json& document) -> Result<T> { return document.get<T>(); });
    }

    // Declarations use the same keys as the YAML files, so that one table of keys validates both.

    json toJson(const ServiceDeclaration&);

    json toJson(const BackerDeclaration& backer)
    {
        return { { "backer", backer.backer }, { "quota", backer.quota }, { "home", backer.home } };
    }

    json toJson(const TaskKindDeclaration& kind)
    {
        return {
            { "kind", kind.kind },
            { "expected_run_time", formatDuration(kind.expectedRunTime) },
            { "idempotent", kind.isIdempotent },
            { "needs", kind.needs },
        };
    }

    template <typename T>
    json toJsonList(const std::vector<T>& values)
    {
        json list = json::array();
        for (const T& value : values)
            list.push_back(toJson(value));
        return list;
    }

    json toJson(const ServiceDeclaration& declaration)
    {
        return {
            { "service", declaration.service },
            { "backers", toJsonList(declaration.backers) },
            { "task_kinds", toJsonList(declaration.kinds) },
            { "default_deadline", formatDuration(declaration.defaultDeadline) },
            { "retention", formatDuration(declaration.retention) },
            { "max_tasks", declaration.maxTasks },
            { "max_payload", formatSize(declaration.maxPayload) },
            { "objective", { { "share", declaration.objective.share }, { "within", formatDuration(declaration.objective.within) } } },
        };
    }

    Result<std::vector<ServiceDeclaration>> declarationsOf(const json& document, const char* name)
    {
        std::vector<ServiceDeclaration> declarations;
        for (const json& item : document.at(name).get<json::array_t>()) {
            // JSON is a subset of YAML, so the YAML parser reads it.
            const Result<ServiceDeclaration> parsed = parseDeclaration(jsonText(item), absl::StrCat(name, "[", declarations.size(), "]"));
            if (const Error* error = errorOf(parsed))
                return *error;
            declarations.push_back(*valueOf(parsed));
        }
        return declarations;
    }

    Result<PublishRecord> publishOf(const json& document)
    {
        Result<std::vector<ServiceDeclaration>> changed = declarationsOf(document, "services");
        if (const Error* error = errorOf(changed))
            return *error;
        PublishRecord record;
        record.base = document.at("base").get<ConfigurationVersion>();
        record.changed = std::get<std::vector<ServiceDeclaration>>(std::move(changed));
        if (document.contains("removed"))
            record.removed = document.at("removed").get<std::vector<ServiceId>>();
        record.operatorName = document.at("operator").get<std::string>();
        record.digest = digestOf(record);
        return record;
    }

    Result<Configuration> configurationOf(const json& document)
    {
        Result<std::vector<ServiceDeclaration>> services = declarationsOf(document, "services");
        if (const Error* error = errorOf(services))
            return *error;
        return Configuration { document.at("version").get<ConfigurationVersion>(), std::get<std::vector<ServiceDeclaration>>(std::move(services)) };
    }

} // namespace

std::string encodeStatus(const DaemonStatus& status)
{
    return jsonText(status);
}
Result<DaemonStatus> decodeStatus(const std::string& body)
{
    return decodeMembers<DaemonStatus>(body);
}

std::string encodeSnapshot(const MetricsSnapshot& snapshot)
{
    return jsonText(snapshot);
}
Result<MetricsSnapshot> decodeSnapshot(const std::string& body)
{
    return decodeMembers<MetricsSnapshot>(body);
}

std::string encodeRemoval(const MemberRemoval& removal)
{
    return jsonText(removal);
}

Result<MemberRemoval> decodeRemoval(const std::string& body)
{
    Result<MemberRemoval> removal = decodeMembers<MemberRemoval>(body);
    const MemberRemoval* value = valueOf(removal);
    if (value && (value->group.value().empty() || value->daemon.value().empty()))
        return malformed("The fields \"group\" and \"daemon\" must be strings that aren't empty.");
    return removal;
}

std::string encodeConfiguration(const Configuration& configuration)
{
    return jsonText({ { "version", configuration.version }, { "services", toJsonList(configuration.services) } });
}

Result<Configuration> decodeConfiguration(const std::string& body)
{
    return decodeWith<Configuration>(body, configurationOf);
}

std::string encodePublish(const PublishRecord& record)
{
    return jsonText({
        { "base", record.base },
        { "services", toJsonList(record.changed) },
        { "removed", record.removed },
        { "operator", record.operatorName },
    });
}

Result<PublishRecord> decodePublish(const std::string& body)
{
    return decodeWith<PublishRecord>(body, publishOf);
}

std::string encodeVersion(ConfigurationVersion version)
{
    return jsonText({ { "version", version } });
}

Result<ConfigurationVersion> decodeVersion(const std::string& body)
{
    return decodeWith<ConfigurationVersion>(body, [](const json& document) -> Result<ConfigurationVersion> {
        return document.at("version").get<ConfigurationVersion>();
    });
}

Error decodeError(int status, const std::string& body)
{
    // A response in an unknown format doesn't prove that the request was rejected, so it may have run.
    Error error { ErrorCode::Internal, absl::StrCat("HTTP status ", status), Verdict::MayHaveRun };
    const Result<json> document = parseJson(body);
    if (!valueOf(document) || !valueOf(document)->is_object())
        return error;
    const json fields = valueOf(document)->value("error", json::object());
    const auto textOf = [&](const char* name) { return fields.contains(name) && fields[name].is_string() ? fields[name].get<std::string>() : std::string(); };
    const auto code = std::find_if(errorCodes.begin(), errorCodes.end(), [&](ErrorCode c) { return errorCodeName(c) == textOf("code"); });
    const auto verdict = std::find_if(verdicts.begin(), verdicts.end(), [&](Verdict v) { return verdictName(v) == textOf("verdict"); });
    if (code != errorCodes.end())
        error.code = *code;
    if (verdict != verdicts.end())
        error.verdict = *verdict;
    if (!textOf("message").empty())
        error.message = textOf("message");
    return error;
}

Digest digestOf(const PublishRecord& record)
{
    PublishRecord sorted = record;
    std::sort(sorted.changed.begin(), sorted.changed.end(), [](const ServiceDeclaration& a, const ServiceDeclaration& b) { return a.service < b.service; });
    std::sort(sorted.removed.begin(), sorted.removed.end());
    const std::string text = jsonText({ { "services", toJsonList(sorted.changed) }, { "removed", sorted.removed } });
    return Digest(XXH3_64bits(text.data(), text.size()));
}

} // namespace trefoilwing
