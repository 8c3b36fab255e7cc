#include "Adapters/Yaml/DeclarationLoader.h"

#include "Adapters/Yaml/YamlDocument.h"
#include "Adapters/Yaml/YamlMapping.h"

#include <absl/strings/str_join.h>

#include <algorithm>
#include <map>

namespace trefoilwing {

namespace {

    constexpr uint64_t maxPayloadBytes = 16U << 20U;

    const YamlKeys<BackerDeclaration>& backerKeys()
    {
        static const YamlKeys<BackerDeclaration> keys {
            requiredKey("backer", &BackerDeclaration::backer, idValue<BackerId>()),
            optionalKey("quota", &BackerDeclaration::quota, numberValue(1, 1000000)),
            requiredKey("home", &BackerDeclaration::home, idValue<DataCentreId>()),
        };
        return keys;
    }

    const YamlKeys<TaskKindDeclaration>& kindKeys()
    {
        static const YamlKeys<TaskKindDeclaration> keys {
            requiredKey("kind", &TaskKindDeclaration::kind, idValue<TaskKindId>()),
            requiredKey("expected_run_time", &TaskKindDeclaration::expectedRunTime, durationValue(absl::Milliseconds(1), absl::Hours(1))),
            requiredKey("idempotent", &TaskKindDeclaration::isIdempotent, flagValue()),
            optionalKey("needs", &TaskKindDeclaration::needs, resourcesValue()),
        };
        return keys;
    }

    const YamlKeys<ServiceLevelObjective>& objectiveKeys()
    {
        static const YamlKeys<ServiceLevelObjective> keys {
            requiredKey("share", &ServiceLevelObjective::share, fractionValue(0.5, 0.99999)),
            requiredKey("within", &ServiceLevelObjective::within, durationValue(absl::Milliseconds(1), absl::Hours(1))),
        };
        return keys;
    }

    const YamlKeys<ServiceDeclaration>& serviceKeys()
    {
        static const YamlKeys<ServiceDeclaration> keys {
            requiredKey("service", &ServiceDeclaration::service, idValue<ServiceId>()),
            requiredKey("backers", &ServiceDeclaration::backers, listValue(backerKeys(), &BackerDeclaration::backer)),
            requiredKey("task_kinds", &ServiceDeclaration::kinds, listValue(kindKeys(), &TaskKindDeclaration::kind)),
            optionalKey("default_deadline", &ServiceDeclaration::defaultDeadline, durationValue(absl::Milliseconds(1), absl::Hours(1))),
            optionalKey("retention", &ServiceDeclaration::retention, durationValue(absl::Minutes(1), absl::Hours(24 * 7))),
            optionalKey("max_tasks", &ServiceDeclaration::maxTasks, numberValue(1, 100000)),
            optionalKey("max_payload", &ServiceDeclaration::maxPayload, sizeValue(Bytes(1), Bytes(maxPayloadBytes))),
            requiredKey("objective", &ServiceDeclaration::objective, mappingValue(objectiveKeys())),
        };
        return keys;
    }

    void checkTimes(const YAML::Node& document, const ServiceDeclaration& declaration, YamlFaults& faults)
    {
        if (declaration.retention < declaration.defaultDeadline)
            faults.add(document, "retention", "outcomes are deleted before the default deadline has passed", "make the retention at least as long as default_deadline");
        if (declaration.objective.within > declaration.defaultDeadline)
            faults.add(document["objective"], "objective.within", "the objective allows more time than the default deadline", "make it no longer than default_deadline");
    }

} // namespace

Result<ServiceDeclaration> loadDeclaration(const std::string& path)
{
    YamlFaults faults(path);
    const std::optional<std::string> text = readYamlFile(path, faults);
    if (!text)
        return faults.error();
    return parseDeclaration(*text, path);
}

Result<ServiceDeclaration> parseDeclaration(const std::string& text, const std::string& file)
{
    YamlFaults faults(file);
    const std::optional<YAML::Node> document = parseYaml(text, faults);
    if (!document)
        return faults.error();
    ServiceDeclaration declaration = readMapping(*document, "", serviceKeys(), faults);
    if (faults.empty())
        checkTimes(*document, declaration, faults);
    if (!faults.empty())
        return faults.error();
    return declaration;
}

Result<std::vector<ServiceDeclaration>> loadDeclarationFiles(const std::vector<std::string>& files)
{
    std::vector<ServiceDeclaration> declarations;
    std::vector<std::string> messages;
    std::map<ServiceId, std::string> filesOfServices;
    for (const std::string& file : files) {
        Result<ServiceDeclaration> loaded = loadDeclaration(file);
        if (const Error* error = errorOf(loaded)) {
            messages.push_back(error->message);
            continue;
        }
        auto& declaration = std::get<ServiceDeclaration>(loaded);
        const auto [earlier, isNew] = filesOfServices.emplace(declaration.service, file);
        if (!isNew)
            messages.push_back(absl::StrCat(file, ":1: service: '", declaration.service.value(), "' is declared already in ", earlier->second, "; keep one of the two or rename one"));
        declarations.push_back(std::move(declaration));
    }
    if (!messages.empty())
        return Error { ErrorCode::Malformed, absl::StrJoin(messages, "\n"), Verdict::NotRun };
    return declarations;
}

Result<std::vector<ServiceDeclaration>> loadDeclarations(const std::string& folder)
{
    const Result<std::vector<std::string>> files = yamlFilesIn(folder, false);
    if (const Error* error = errorOf(files))
        return *error;
    return loadDeclarationFiles(*valueOf(files));
}

Result<Done> checkHomes(const std::string& path, const std::set<DataCentreId>& dataCentres)
{
    YamlFaults faults(path);
    const std::optional<std::string> text = readYamlFile(path, faults);
    const std::optional<YAML::Node> document = text ? parseYaml(*text, faults) : std::nullopt;
    if (!document)
        return faults.error();
    std::vector<std::string> names;
    names.reserve(dataCentres.size());
    for (const DataCentreId& dataCentre : dataCentres)
        names.push_back(dataCentre.value());
    const YAML::Node backers = (*document)["backers"];
    for (size_t i = 0; i < backers.size(); ++i) {
        const YAML::Node home = backers[i]["home"];
        if (dataCentres.count(DataCentreId(home.Scalar())) == 0)
            faults.add(home, absl::StrCat("backers[", i, "].home"), absl::StrCat("'", home.Scalar(), "' is no data centre of the settings"), suggestName(home.Scalar(), names));
    }
    if (!faults.empty())
        return faults.error();
    return Done {};
}

} // namespace trefoilwing
