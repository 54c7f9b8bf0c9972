/// Reads the fields of JSON bodies of bounded size and depth, and reports fields that are missing,
/// of the wrong type, out of bounds or unknown. Internal to the package.
#ifndef CROCUSWIND_PROTOCOL_WORKLOAD_JSON_H
#define CROCUSWIND_PROTOCOL_WORKLOAD_JSON_H

#include "base/base.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace crocuswind {

/// Returns true if objects and arrays in the JSON text \p body nest at most \p depth levels. Called
/// before parsing, so that a hostile body does not reach the parser.
bool isJsonWithinDepth(std::string_view body, int depth);

/// Parses a body that is one JSON object of at most \p maxBytes bytes and \p maxDepth levels. For
/// any other body appends a finding and returns a JSON null.
nlohmann::json parseJsonObject(std::string_view body, std::size_t maxBytes, int maxDepth,
                               findings &found);

/// Formats JSON. Replaces bytes that are not UTF-8 by U+FFFD.
std::string dumpJson(const nlohmann::json &value);

/// Stores \p bytes in \p object as text under \p key if they are UTF-8, or else as base64 under
/// \p key followed by `_base64`.
void putBytes(nlohmann::json &object, const std::string &key, const std::string &bytes);

/// Reads the fields of one object. Reading a field marks it as known; reportUnknownFields() then
/// reports all others. After a mistake, text is empty, a number is 0 and a flag has its default.
class json_fields
{
public:
    /// Reads \p object. Findings refer to a field as \p prefix followed by its key.
    json_fields(const nlohmann::json &object, std::string prefix, findings &found);

    /// Returns a text of at most \p maxBytes. Returns \p defaultValue if the field is missing;
    /// without a default, a missing field is a mistake.
    std::string text(const std::string &key, std::size_t maxBytes,
                     const std::optional<std::string> &defaultValue);

    /// Returns a required text that is a valid name.
    std::string name(const std::string &key);

    /// Returns at most \p maxBytes bytes as written by putBytes(); empty if the field is missing.
    std::string bytes(const std::string &key, std::size_t maxBytes);

    /// Returns a whole number from \p lowest to \p highest. Returns \p defaultValue if the field is
    /// missing; without a default, a missing field is a mistake.
    std::int64_t number(const std::string &key, std::int64_t lowest, std::int64_t highest,
                        std::optional<std::int64_t> defaultValue);

    /// Returns a required number, which may have a fraction, in thousandths. The bounds are in
    /// thousandths as well.
    std::int64_t thousandths(const std::string &key, std::int64_t lowest, std::int64_t highest);

    /// Returns a boolean, or \p defaultValue if the field is missing.
    bool flag(const std::string &key, bool defaultValue);

    /// Returns an array, or null with a finding if the field is missing or of another type.
    const nlohmann::json *array(const std::string &key);

    /// Returns true if the object has \p key.
    bool has(const std::string &key) const { return m_object.contains(key); }

    /// Reports a mistake at \p key.
    void report(const std::string &key, const std::string &message);

    /// Reports all unknown fields, each with the most similar known one.
    void reportUnknownFields();

private:
    const nlohmann::json *find(const std::string &key, bool required);

    const nlohmann::json &m_object;
    std::string m_prefix;
    findings &m_found;
    std::vector<std::string> m_known;
};

} // namespace crocuswind

#endif
