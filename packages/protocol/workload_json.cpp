#include "workload_json.h"

#include "store_bodies.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>

namespace crocuswind {

bool isJsonWithinDepth(std::string_view body, int depth)
{
    int level = 0;
    bool isInString = false;
    for (std::size_t i = 0; i < body.size(); ++i) {
        const char c = body[i];
        if (isInString) {
            if (c == '\\')
                ++i;
            else if (c == '"')
                isInString = false;
        } else if (c == '"') {
            isInString = true;
        } else if (c == '{' || c == '[') {
            if (++level > depth)
                return false;
        } else if (c == '}' || c == ']') {
            --level;
        }
    }
    return true;
}

nlohmann::json parseJsonObject(std::string_view body, std::size_t maxBytes, int maxDepth,
                               findings &found)
{
    const source_place place{"body"};
    if (body.size() > maxBytes) {
        found.push_back(
            {place, fmt::format("has {} bytes; the limit is {}", body.size(), maxBytes)});
        return nullptr;
    }
    if (!isJsonWithinDepth(body, maxDepth)) {
        found.push_back({place, fmt::format("nests deeper than {} levels", maxDepth)});
        return nullptr;
    }
    nlohmann::json value = nlohmann::json::parse(body, nullptr, false);
    if (value.is_discarded()) {
        found.push_back({place, "is not JSON in UTF-8"});
        return nullptr;
    }
    if (!value.is_object()) {
        found.push_back({place, "must be a JSON object"});
        return nullptr;
    }
    return value;
}

std::string dumpJson(const nlohmann::json &value)
{
    return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void putBytes(nlohmann::json &object, const std::string &key, const std::string &bytes)
{
    const nlohmann::json text = bytes;
    try {
        // dump() throws for bytes that are not UTF-8.
        (void)text.dump();
        object[key] = bytes;
    } catch (const nlohmann::json::type_error &) {
        object[key + "_base64"] = toBase64(bytes);
    }
}

json_fields::json_fields(const nlohmann::json &object, std::string prefix, findings &found)
    : m_object(object)
    , m_prefix(std::move(prefix))
    , m_found(found)
{ }

void json_fields::report(const std::string &key, const std::string &message)
{
    m_found.push_back({source_place{m_prefix + key}, message});
}

const nlohmann::json *json_fields::find(const std::string &key, bool required)
{
    m_known.push_back(key);
    const auto found = m_object.find(key);
    if (found != m_object.end())
        return &*found;
    if (required)
        report(key, "is missing");
    return nullptr;
}

std::string json_fields::text(const std::string &key, std::size_t maxBytes,
                              const std::optional<std::string> &defaultValue)
{
    const nlohmann::json *value = find(key, !defaultValue);
    if (!value)
        return defaultValue.value_or("");
    if (!value->is_string()) {
        report(key, fmt::format("must be a text, not {}", value->type_name()));
        return {};
    }
    auto content = value->get<std::string>();
    if (content.size() > maxBytes) {
        report(key, fmt::format("has {} bytes; the limit is {}", content.size(), maxBytes));
        return {};
    }
    return content;
}

std::string json_fields::name(const std::string &key)
{
    const std::size_t before = m_found.size();
    std::string content = text(key, 1024, std::nullopt);
    if (m_found.size() == before && !isValidName(content)) {
        report(key, "must be a name of 1 to 63 characters from a-z, 0-9, '-' and '.'");
        return {};
    }
    return content;
}

std::string json_fields::bytes(const std::string &key, std::size_t maxBytes)
{
    const std::string encodedKey = key + "_base64";
    if (!has(encodedKey)) {
        m_known.push_back(encodedKey);
        return text(key, maxBytes, "");
    }
    m_known.push_back(key);
    if (has(key))
        report(encodedKey, fmt::format("must not be given together with '{}'", key));
    const std::string encoded = text(encodedKey, (maxBytes + 2) / 3 * 4, "");
    std::optional<std::string> decoded = fromBase64(encoded);
    if (!decoded)
        report(encodedKey, "must be base64 with padding");
    return std::move(decoded).value_or("");
}

std::int64_t json_fields::number(const std::string &key, std::int64_t lowest, std::int64_t highest,
                                 std::optional<std::int64_t> defaultValue)
{
    const nlohmann::json *value = find(key, !defaultValue);
    if (!value)
        return defaultValue.value_or(0);
    if (!value->is_number_integer()) {
        report(key, fmt::format("must be a whole number, not {}", value->type_name()));
        return 0;
    }
    // An unsigned number above the signed range would become negative.
    const bool isTooLarge = value->is_number_unsigned()
        && value->get<std::uint64_t>() > std::uint64_t(std::max<std::int64_t>(highest, 0));
    const auto content = value->get<std::int64_t>();
    if (isTooLarge || content < lowest || content > highest) {
        report(key, fmt::format("is {} and must be from {} to {}", value->dump(), lowest, highest));
        return 0;
    }
    return content;
}

std::int64_t json_fields::thousandths(const std::string &key, std::int64_t lowest,
                                      std::int64_t highest)
{
    const nlohmann::json *value = find(key, true);
    if (!value)
        return 0;
    if (!value->is_number()) {
        report(key, fmt::format("must be a number, not {}", value->type_name()));
        return 0;
    }
    const double scaled = value->get<double>() * 1000;
    if (!(scaled >= double(lowest) && scaled <= double(highest))) {
        report(key,
               fmt::format("is {} and must be from {} to {}", value->dump(), double(lowest) / 1000,
                           double(highest) / 1000));
        return 0;
    }
    return std::llround(scaled);
}

bool json_fields::flag(const std::string &key, bool defaultValue)
{
    const nlohmann::json *value = find(key, false);
    if (!value)
        return defaultValue;
    if (!value->is_boolean()) {
        report(key, fmt::format("must be true or false, not {}", value->type_name()));
        return defaultValue;
    }
    return value->get<bool>();
}

const nlohmann::json *json_fields::array(const std::string &key)
{
    const nlohmann::json *value = find(key, true);
    if (value && !value->is_array()) {
        report(key, fmt::format("must be an array, not {}", value->type_name()));
        return nullptr;
    }
    return value;
}

void json_fields::reportUnknownFields()
{
    for (const auto &[key, value] : m_object.items()) {
        if (std::find(m_known.begin(), m_known.end(), key) != m_known.end())
            continue;
        const std::string nearest = nearestWord(key, m_known);
        report(key.substr(0, 100),
               nearest.empty() ? "is not a known field"
                               : fmt::format("is not a known field; did you mean '{}'?", nearest));
    }
}

} // namespace crocuswind
