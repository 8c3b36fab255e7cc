#pragma once

#include "Base/Error.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace trefoilwing {

/// Reads the fields of a JSON document and keeps the first error, which names the field by its path.
///
/// A reader goes on with empty values after an error, so that a decoder reads all its fields and asks once.
class JsonFields {
public:
    /// Parses a whole body. Bad JSON, or a document that isn't an object, is the first error.
    static JsonFields parse(const std::string& body);

    /// @return the string, at most maxLength bytes long.
    std::string text(const char* name, size_t maxLength) const;
    /// @return the string of at most 256 bytes, which must not be empty.
    std::string nonEmptyText(const char* name) const;
    /// @return the same, as a strong id.
    template <typename Id>
    Id id(const char* name) const
    {
        return Id(nonEmptyText(name));
    }
    /// @return the whole number between the bounds.
    uint64_t number(const char* name, uint64_t minimum, uint64_t maximum) const;
    /// @return the number, whole or not, between the bounds.
    double decimal(const char* name, double minimum, double maximum) const;
    /// @return whether the field is there at all.
    bool has(const char* name) const { return find(name) != nullptr; }
    /// @return a string as it is, or any other value as JSON text, at most maxLength bytes long.
    std::string anyText(const char* name, size_t maxLength) const;
    /// @return the flag, or false where it is absent.
    bool optionalFlag(const char* name) const;
    /// @return the numbers by name, empty where the field is absent.
    std::map<std::string, uint32_t> optionalCounts(const char* name) const;
    /// @return a reader of the object within.
    JsonFields object(const char* name) const;
    /// @return a reader of each object of the list.
    std::vector<JsonFields> list(const char* name, size_t maxCount) const;

    /// Records that a field is wrong. Only the first error of a document is kept.
    /// @param wanted what the field must be, e.g. "a string".
    void fail(const char* name, const std::string& wanted) const;

    /// @return the value, or the document's first error.
    template <typename T>
    Result<T> finish(T value) const
    {
        if (document_->error)
            return *document_->error;
        return value;
    }

private:
    struct Document {
        nlohmann::json root;
        std::optional<Error> error;
    };

    JsonFields(std::shared_ptr<Document>, const nlohmann::json*, std::string path);

    const nlohmann::json* find(const char* name) const;

    std::shared_ptr<Document> document_;
    /// Null after an error, so that the fields within are read as empty.
    const nlohmann::json* object_;
    std::string path_;
};

} // namespace trefoilwing
