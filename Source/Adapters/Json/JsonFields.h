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

/// Reads and validates the fields of a JSON document. Keeps the first error, which names the field by its path.
///
/// An invalid field reads as an empty or minimal value, so that a decoder reads all fields and checks for an error
/// once, in finish().
class JsonFields {
public:
    /// Parses a whole body. Invalid JSON or a document that isn't an object counts as the first error.
    static JsonFields parse(const std::string& body);

    /// @return the string, at most maxLength bytes long.
    std::string text(const char* name, size_t maxLength) const;
    /// @return the string, which must not be empty or longer than 256 bytes.
    std::string nonEmptyText(const char* name) const;
    /// @return the non-empty string as a strong id.
    template <typename Id>
    Id id(const char* name) const
    {
        return Id(nonEmptyText(name));
    }
    /// @return the unsigned integer, which must lie within the bounds (both inclusive).
    uint64_t number(const char* name, uint64_t minimum, uint64_t maximum) const;
    /// @return the number, integer or not, which must lie within the bounds (both inclusive).
    double decimal(const char* name, double minimum, double maximum) const;
    /// @return whether the field is present.
    bool has(const char* name) const { return find(name) != nullptr; }
    /// @return a string unchanged, or any other value as JSON text; at most maxLength bytes long.
    std::string anyText(const char* name, size_t maxLength) const;
    /// @return the flag, or false if it is absent.
    bool optionalFlag(const char* name) const;
    /// @return the strings in the list, each at most 256 bytes long.
    std::vector<std::string> texts(const char* name, size_t maxCount) const;
    /// @return the numbers by name; empty if the field is absent.
    std::map<std::string, uint32_t> optionalCounts(const char* name) const;
    /// @return a reader of the nested object.
    JsonFields object(const char* name) const;
    /// @return a reader for each object in the list.
    std::vector<JsonFields> list(const char* name, size_t maxCount) const;

    /// Records that a field is invalid. Only the first error of a document is kept.
    /// @param expected what the field must be, e.g. "a string".
    void fail(const char* name, const std::string& expected) const;

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
    /// Null after an error, so that nested fields read as empty.
    const nlohmann::json* object_;
    std::string path_;
};

} // namespace trefoilwing
