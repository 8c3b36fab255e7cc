#include "Adapters/Json/JsonFields.h"

#include "Adapters/Json/JsonMembers.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <limits>

namespace trefoilwing {

namespace {

    constexpr size_t maxIdBytes = 256;
    constexpr size_t maxCountEntries = 64;

} // namespace

JsonFields::JsonFields(std::shared_ptr<Document> document, const nlohmann::json* object, std::string path)
    : document_(std::move(document))
    , object_(object)
    , path_(std::move(path))
{
}

JsonFields JsonFields::parse(const std::string& body)
{
    auto document = std::make_shared<Document>();
    Result<nlohmann::json> parsed = parseJson(body);
    if (!errorOf(parsed))
        document->root = std::get<nlohmann::json>(std::move(parsed));
    const bool isObject = document->root.is_object();
    if (!isObject)
        document->error = Error { ErrorCode::Malformed, "The body must be one JSON object of at most 16 levels.", Verdict::NotRun };
    const nlohmann::json* root = isObject ? &document->root : nullptr;
    return { std::move(document), root, "" };
}

void JsonFields::fail(const char* name, const std::string& expected) const
{
    if (!document_->error)
        document_->error = Error { ErrorCode::Malformed, absl::StrCat("The field \"", path_, name, "\" must be ", expected, "."), Verdict::NotRun };
}

const nlohmann::json* JsonFields::find(const char* name) const
{
    if (!object_)
        return nullptr;
    const auto found = object_->find(name);
    return found == object_->end() ? nullptr : &*found;
}

std::string JsonFields::text(const char* name, size_t maxLength) const
{
    const nlohmann::json* value = find(name);
    if (!value || !value->is_string()) {
        fail(name, "a string");
        return {};
    }
    const auto& text = value->get_ref<const std::string&>();
    if (text.size() > maxLength) {
        fail(name, absl::StrCat("at most ", maxLength, " bytes long"));
        return {};
    }
    return text;
}

std::string JsonFields::anyText(const char* name, size_t maxLength) const
{
    const nlohmann::json* value = find(name);
    if (!value) {
        fail(name, "given");
        return {};
    }
    if (value->is_string())
        return text(name, maxLength);
    std::string dumped = jsonText(*value);
    if (dumped.size() > maxLength) {
        fail(name, absl::StrCat("at most ", maxLength, " bytes long"));
        return {};
    }
    return dumped;
}

std::string JsonFields::nonEmptyText(const char* name) const
{
    std::string value = text(name, maxIdBytes);
    if (value.empty())
        fail(name, "a string that isn't empty");
    return value;
}

uint64_t JsonFields::number(const char* name, uint64_t minimum, uint64_t maximum) const
{
    const nlohmann::json* value = find(name);
    const bool isInRange = value && value->is_number_unsigned()
        && value->get<uint64_t>() >= minimum && value->get<uint64_t>() <= maximum;
    if (!isInRange) {
        fail(name, absl::StrCat("a whole number from ", minimum, " to ", maximum));
        return minimum;
    }
    return value->get<uint64_t>();
}

double JsonFields::decimal(const char* name, double minimum, double maximum) const
{
    const nlohmann::json* value = find(name);
    const bool isInRange = value && value->is_number() && value->get<double>() >= minimum && value->get<double>() <= maximum;
    if (!isInRange) {
        fail(name, absl::StrCat("a number from ", minimum, " to ", maximum));
        return minimum;
    }
    return value->get<double>();
}

bool JsonFields::optionalFlag(const char* name) const
{
    const nlohmann::json* value = find(name);
    if (!value)
        return false;
    if (!value->is_boolean()) {
        fail(name, "true or false");
        return false;
    }
    return value->get<bool>();
}

std::map<std::string, uint32_t> JsonFields::optionalCounts(const char* name) const
{
    const nlohmann::json* value = find(name);
    if (!value)
        return {};
    if (!value->is_object() || value->size() > maxCountEntries) {
        fail(name, absl::StrCat("an object of at most ", maxCountEntries, " numbers"));
        return {};
    }
    const JsonFields within(document_, value, absl::StrCat(path_, name, "."));
    std::map<std::string, uint32_t> counts;
    for (const auto& item : value->items())
        counts[item.key()] = static_cast<uint32_t>(within.number(item.key().c_str(), 0, std::numeric_limits<uint32_t>::max()));
    return counts;
}

std::vector<std::string> JsonFields::texts(const char* name, size_t maxCount) const
{
    const nlohmann::json* value = find(name);
    const auto isText = [](const nlohmann::json& item) { return item.is_string() && item.get_ref<const std::string&>().size() <= maxIdBytes; };
    if (!value || !value->is_array() || value->size() > maxCount || !std::all_of(value->begin(), value->end(), isText)) {
        fail(name, absl::StrCat("a list of at most ", maxCount, " strings of at most ", maxIdBytes, " bytes"));
        return {};
    }
    return value->get<std::vector<std::string>>();
}

JsonFields JsonFields::object(const char* name) const
{
    const nlohmann::json* value = find(name);
    if (!value || !value->is_object()) {
        fail(name, "an object");
        value = nullptr;
    }
    return { document_, value, absl::StrCat(path_, name, ".") };
}

std::vector<JsonFields> JsonFields::list(const char* name, size_t maxCount) const
{
    const nlohmann::json* value = find(name);
    if (!value || !value->is_array() || value->size() > maxCount) {
        fail(name, absl::StrCat("a list of at most ", maxCount, " objects"));
        return {};
    }
    std::vector<JsonFields> items;
    for (const nlohmann::json& item : *value) {
        const std::string path = absl::StrCat(path_, name, "[", items.size(), "]");
        if (!item.is_object()) {
            JsonFields(document_, nullptr, "").fail(path.c_str(), "an object");
            return {};
        }
        items.push_back(JsonFields(document_, &item, path + "."));
    }
    return items;
}

} // namespace trefoilwing
