/// Defines how the fields of a JSON body are read: bounded in size and depth, typed, and with
/// findings for whatever is missing, of the wrong type, out of bounds or unknown. Internal to the
/// package.
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

/// Returns true if objects and arrays nest at most \p depth deep in the JSON text \p body. Checked
/// before parsing, so that the parser does no work for a hostile body.
bool isJsonWithinDepth(std::string_view body, int depth);

/// Parses a body that is one JSON object of at most \p maxBytes bytes and \p maxDepth levels.
/// Appends a finding and returns null if it is not.
nlohmann::json parseJsonObject(std::string_view body, std::size_t maxBytes, int maxDepth,
                               findings &found);

/// Formats JSON; bytes that are not UTF-8 are replaced by U+FFFD.
std::string dumpJson(const nlohmann::json &value);

/// Puts \p bytes into \p object as `key`, or as base64 under `key_base64` if they are not UTF-8.
void putBytes(nlohmann::json &object, const std::string &key, const std::string &bytes);

/// Reads the fields of one object. Each read makes its field a known one; finish() then reports the
/// fields that no read asked for. After a mistake a read returns an empty value, 0 or false.
class json_fields
{
public:
    /// Reads \p object; findings name a field as \p prefix followed by its key.
    json_fields(const nlohmann::json &object, std::string prefix, findings &found);

    /// Returns a text of at most \p maxBytes; \p absent if missing, or a finding if that is empty.
    std::string text(const std::string &key, std::size_t maxBytes,
                     const std::optional<std::string> &absent);

    /// Returns a text that is a valid name.
    std::string name(const std::string &key);

    /// Returns bytes as putBytes() writes them, empty if missing, at most \p maxBytes.
    std::string bytes(const std::string &key, std::size_t maxBytes);

    /// Returns a whole number from \p lowest to \p highest.
    std::int64_t number(const std::string &key, std::int64_t lowest, std::int64_t highest,
                        std::optional<std::int64_t> absent);

    /// Returns thousandths of a number from \p lowest to \p highest thousandths.
    std::int64_t thousandths(const std::string &key, std::int64_t lowest, std::int64_t highest);

    /// Returns a truth value; \p absent if missing.
    bool truth(const std::string &key, bool absent);

    /// Returns an array, or null with a finding if the field is missing or of another type.
    const nlohmann::json *array(const std::string &key);

    /// Returns true if the object has \p key.
    bool has(const std::string &key) const { return m_object.contains(key); }

    /// Reports a mistake at \p key.
    void report(const std::string &key, const std::string &message);

    /// Reports all unknown fields with the nearest known one.
    void finish();

private:
    const nlohmann::json *find(const std::string &key, bool required);

    const nlohmann::json &m_object;
    std::string m_prefix;
    findings &m_found;
    std::vector<std::string> m_known;
};

} // namespace crocuswind

#endif
