#include "store_bodies.h"

#include <array>
#include <charconv>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <utility>

namespace crocuswind {

namespace {

using json = nlohmann::json;

constexpr int maxJsonDepth = 16;
constexpr std::string_view base64Alphabet
    = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::array<int, 256> base64Values()
{
    std::array<int, 256> values = {};
    values.fill(-1);
    for (std::size_t i = 0; i < base64Alphabet.size(); ++i)
        values[static_cast<unsigned char>(base64Alphabet[i])] = int(i);
    return values;
}

// Thrown for a body that does not follow the protocol; caught in this file.
struct malformed_body
{
    std::string message;
};

const json *memberOf(const json &object, const char *name)
{
    if (!object.is_object())
        throw malformed_body{fmt::format("expected an object with '{}'", name)};
    const auto found = object.find(name);
    return found == object.end() || found->is_null() ? nullptr : &*found;
}

// The gateway writes 64-bit numbers as strings and omits a field that is zero.
std::int64_t numberOf(const json &object, const char *name)
{
    const json *field = memberOf(object, name);
    if (field == nullptr)
        return 0;
    if (field->is_number_unsigned() && field->get<std::uint64_t>() > std::uint64_t(INT64_MAX))
        throw malformed_body{fmt::format("'{}' is out of range", name)};
    if (field->is_number_integer())
        return field->get<std::int64_t>();
    if (!field->is_string())
        throw malformed_body{fmt::format("'{}' is not a number", name)};
    const auto &text = field->get_ref<const std::string &>();
    std::int64_t number = 0;
    const auto [stop, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc() || stop != text.data() + text.size())
        throw malformed_body{fmt::format("'{}' is not a number", name)};
    return number;
}

bool boolOf(const json &object, const char *name)
{
    const json *field = memberOf(object, name);
    if (field != nullptr && !field->is_boolean())
        throw malformed_body{fmt::format("'{}' is not true or false", name)};
    return field != nullptr && field->get<bool>();
}

std::string bytesOf(const json &object, const char *name)
{
    const json *field = memberOf(object, name);
    if (field == nullptr)
        return {};
    std::optional<std::string> bytes;
    if (field->is_string())
        bytes = fromBase64(field->get_ref<const std::string &>());
    if (!bytes)
        throw malformed_body{fmt::format("'{}' is not base64", name)};
    return *std::move(bytes);
}

const json &arrayOf(const json &object, const char *name)
{
    static const json empty = json::array();
    const json *field = memberOf(object, name);
    if (field == nullptr)
        return empty;
    if (!field->is_array())
        throw malformed_body{fmt::format("'{}' is not a list", name)};
    return *field;
}

std::int64_t revisionOf(const json &body)
{
    const json *header = memberOf(body, "header");
    if (header == nullptr)
        throw malformed_body{"there is no 'header'"};
    return numberOf(*header, "revision");
}

store_entry entryOf(const json &kv)
{
    store_entry entry;
    entry.key = bytesOf(kv, "key");
    entry.value = bytesOf(kv, "value");
    entry.createRevision = numberOf(kv, "create_revision");
    entry.modRevision = numberOf(kv, "mod_revision");
    entry.version = numberOf(kv, "version");
    entry.lease = numberOf(kv, "lease");
    return entry;
}

void appendEntries(const json &range, std::vector<store_entry> &entries)
{
    if (boolOf(range, "more"))
        throw malformed_body{"the range is not complete"};
    for (const json &kv : arrayOf(range, "kvs"))
        entries.push_back(entryOf(kv));
}

json parseOrThrow(std::string_view text)
{
    auto body = parseBoundedJson(text);
    if (!body)
        throw malformed_body{"not JSON, or nested too deeply"};
    if (!body->is_object())
        throw malformed_body{"not an object"};
    return *std::move(body);
}

// Each message of a streaming call is {"result": ...} or {"error": ...}.
const json &streamResult(const json &body)
{
    if (const json *error = memberOf(body, "error")) {
        const json *message = error->is_object() ? memberOf(*error, "message") : nullptr;
        throw malformed_body{fmt::format(
            "the store reports an error: {}",
            message != nullptr && message->is_string() ? message->get<std::string>() : "unnamed")};
    }
    const json *result = memberOf(body, "result");
    if (result == nullptr)
        throw malformed_body{"there is no 'result'"};
    return *result;
}

json rangeBody(const store_range &range)
{
    // etcd does not accept an empty key; a range that starts at the zero byte contains all keys.
    const std::string key = range.isPrefix && range.key.empty() ? std::string(1, '\0') : range.key;
    json body = {{"key", toBase64(key)}};
    if (range.isPrefix)
        body["range_end"] = toBase64(prefixRangeEnd(range.key));
    return body;
}

json compareBody(const store_compare &compare)
{
    json body = {{"key", toBase64(compare.key)}, {"result", "EQUAL"}};
    const std::string number = std::to_string(compare.number);
    switch (compare.what) {
    case store_compare::property::create_revision:
        body["target"] = "CREATE";
        body["create_revision"] = number;
        break;
    case store_compare::property::mod_revision:
        body["target"] = "MOD";
        body["mod_revision"] = number;
        break;
    case store_compare::property::version:
        body["target"] = "VERSION";
        body["version"] = number;
        break;
    case store_compare::property::value:
        body["target"] = "VALUE";
        body["value"] = toBase64(compare.value);
        break;
    }
    return body;
}

json transactionBody(const store_transaction &transaction)
{
    json compares = json::array();
    for (const store_compare &compare : transaction.compares)
        compares.push_back(compareBody(compare));
    json success = json::array();
    for (const store_put &put : transaction.puts) {
        json body = {{"key", toBase64(put.key)}, {"value", toBase64(put.value)}};
        if (put.lease != 0)
            body["lease"] = std::to_string(put.lease);
        success.push_back({{"request_put", std::move(body)}});
    }
    for (const store_delete &erase : transaction.deletes)
        success.push_back({{"request_delete_range", {{"key", toBase64(erase.key)}}}});
    json failure = json::array();
    for (const store_range &range : transaction.readOnFailure)
        failure.push_back({{"request_range", rangeBody(range)}});
    return {{"compare", std::move(compares)},
            {"success", std::move(success)},
            {"failure", std::move(failure)}};
}

struct call_writer
{
    store_call operator()(const store_range &range) const
    {
        return {"/v3/kv/range", rangeBody(range).dump()};
    }
    store_call operator()(const store_transaction &transaction) const
    {
        return {"/v3/kv/txn", transactionBody(transaction).dump()};
    }
    store_call operator()(const store_lease_grant &grant) const
    {
        return {"/v3/lease/grant", json{{"TTL", std::to_string(grant.ttlSeconds)}}.dump()};
    }
    store_call operator()(const store_lease_renewal &renewal) const
    {
        return {"/v3/lease/keepalive", json{{"ID", std::to_string(renewal.lease)}}.dump()};
    }
    store_call operator()(const store_lease_revocation &revocation) const
    {
        return {"/v3/lease/revoke", json{{"ID", std::to_string(revocation.lease)}}.dump()};
    }
};

struct reply_reader
{
    const json &body;

    store_reply operator()(const store_range &) const
    {
        store_reply reply;
        reply.revision = revisionOf(body);
        appendEntries(body, reply.entries);
        return reply;
    }
    store_reply operator()(const store_transaction &) const
    {
        store_reply reply;
        reply.revision = revisionOf(body);
        reply.succeeded = boolOf(body, "succeeded");
        for (const json &response : arrayOf(body, "responses")) {
            if (const json *range = memberOf(response, "response_range"))
                appendEntries(*range, reply.entries);
        }
        return reply;
    }
    store_reply operator()(const store_lease_grant &) const
    {
        const json *error = memberOf(body, "error");
        if (error != nullptr && *error != "")
            throw malformed_body{"the store granted no lease"};
        store_reply reply = leaseReply(body);
        if (reply.lease == 0)
            throw malformed_body{"there is no 'ID'"};
        return reply;
    }
    store_reply operator()(const store_lease_renewal &) const
    {
        return leaseReply(streamResult(body));
    }
    store_reply operator()(const store_lease_revocation &) const
    {
        store_reply reply;
        reply.revision = revisionOf(body);
        return reply;
    }

    static store_reply leaseReply(const json &source)
    {
        store_reply reply;
        reply.revision = revisionOf(source);
        reply.lease = numberOf(source, "ID");
        reply.ttlSeconds = numberOf(source, "TTL");
        return reply;
    }
};

} // namespace

std::optional<nlohmann::json> parseBoundedJson(std::string_view text)
{
    bool isTooDeep = false;
    const auto checkDepth = [&isTooDeep](int depth, json::parse_event_t, const json &) {
        isTooDeep = isTooDeep || depth > maxJsonDepth;
        return !isTooDeep;
    };
    json parsed = json::parse(text.begin(), text.end(), checkDepth, false);
    if (isTooDeep || parsed.is_discarded())
        return std::nullopt;
    return parsed;
}

std::string toBase64(std::string_view bytes)
{
    std::string text;
    text.reserve((bytes.size() + 2) / 3 * 4);
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        const std::size_t count = std::min<std::size_t>(3, bytes.size() - i);
        unsigned group = 0;
        for (std::size_t k = 0; k < 3; ++k)
            group = group << 8 | (k < count ? static_cast<unsigned char>(bytes[i + k]) : 0U);
        for (std::size_t k = 0; k < 4; ++k)
            text += k <= count ? base64Alphabet[group >> (18 - 6 * k) & 63] : '=';
    }
    return text;
}

std::optional<std::string> fromBase64(std::string_view text)
{
    static const std::array<int, 256> values = base64Values();
    if (text.size() % 4 != 0)
        return std::nullopt;
    std::string bytes;
    bytes.reserve(text.size() / 4 * 3);
    for (std::size_t i = 0; i < text.size(); i += 4) {
        const bool isLast = i + 4 == text.size();
        std::size_t padding = 0;
        if (isLast && text[i + 3] == '=')
            padding = text[i + 2] == '=' ? 2 : 1;
        unsigned group = 0;
        for (std::size_t k = 0; k < 4; ++k) {
            const int value = k < 4 - padding ? values[static_cast<unsigned char>(text[i + k])] : 0;
            if (value < 0)
                return std::nullopt;
            group = group << 6 | unsigned(value);
        }
        for (std::size_t k = 0; k < 3 - padding; ++k)
            bytes += char(group >> (16 - 8 * k) & 0xff);
        // The unused bits before the padding must be zero, so that each value has one encoding.
        if (padding != 0 && (group & (padding == 1 ? 0xffU : 0xffffU)) != 0)
            return std::nullopt;
    }
    return bytes;
}

std::string prefixRangeEnd(std::string_view prefix)
{
    std::string end(prefix);
    while (!end.empty() && static_cast<unsigned char>(end.back()) == 0xff)
        end.pop_back();
    if (end.empty())
        return std::string(1, '\0');
    end.back() = char(static_cast<unsigned char>(end.back()) + 1);
    return end;
}

store_call toStoreCall(const store_operation &operation)
{
    return std::visit(call_writer(), operation);
}

tl::expected<store_reply, std::string> parseStoreReply(const store_operation &operation,
                                                       std::string_view body)
{
    try {
        const json parsed = parseOrThrow(body);
        return std::visit(reply_reader{parsed}, operation);
    } catch (const malformed_body &fault) {
        return tl::unexpected(fault.message);
    }
}

store_call toWatchCall(std::string_view prefix)
{
    json request = rangeBody({std::string(prefix), true});
    request["progress_notify"] = true;
    return {"/v3/watch", json{{"create_request", std::move(request)}}.dump()};
}

tl::expected<store_watch_message, std::string> parseWatchMessage(std::string_view object)
{
    try {
        const json body = parseOrThrow(object);
        const json &result = streamResult(body);
        store_watch_message message;
        message.revision = revisionOf(result);
        message.isCreated = boolOf(result, "created");
        message.isCancelled = boolOf(result, "canceled");
        for (const json &event : arrayOf(result, "events")) {
            store_change change;
            const json *type = memberOf(event, "type");
            change.isDeleted = type != nullptr && (*type == "DELETE" || *type == 1);
            const json *kv = memberOf(event, "kv");
            if (kv == nullptr)
                throw malformed_body{"an event has no 'kv'"};
            change.entry = entryOf(*kv);
            message.changes.push_back(std::move(change));
        }
        return message;
    } catch (const malformed_body &fault) {
        return tl::unexpected(fault.message);
    }
}

json_object_splitter::json_object_splitter(std::size_t maxObjectBytes)
    : m_maxObjectBytes(maxObjectBytes)
{ }

bool json_object_splitter::feed(std::string_view bytes, std::vector<std::string> &objects)
{
    for (char c : bytes) {
        if (m_isBroken)
            return false;
        if (m_depth == 0 && (c == ' ' || c == '\n' || c == '\r' || c == '\t'))
            continue;
        m_isBroken = (m_depth == 0 && c != '{') || m_object.size() >= m_maxObjectBytes;
        if (m_isBroken)
            return false;
        m_object += c;
        if (m_isInString) {
            const bool isEnd = c == '"' && !m_isEscaped;
            m_isEscaped = c == '\\' && !m_isEscaped;
            m_isInString = !isEnd;
        } else if (c == '"') {
            m_isInString = true;
        } else if (c == '{' || c == '[') {
            ++m_depth;
        } else if (c == '}' || c == ']') {
            --m_depth;
        }
        if (m_depth == 0) {
            objects.push_back(std::move(m_object));
            m_object.clear();
        }
    }
    return !m_isBroken;
}

} // namespace crocuswind
