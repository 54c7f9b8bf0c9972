#include "store_gateway.h"

#include "protocol/protocol.h"

#include <nlohmann/json.hpp>
#include <stdexcept>

namespace crocuswind::standin {

namespace {

using nlohmann::json;

/// Thrown for a body that the gateway does not accept. The response has status 400.
struct malformed_body : std::runtime_error
{
    using std::runtime_error::runtime_error;
};

/// Returns a member of \p object, or null if it is absent. The gateway accepts both the snake_case
/// name of the protobuf field, \p name, and its camelCase form.
const json *member(const json &object, const std::string &name)
{
    auto found = object.find(name);
    if (found == object.end()) {
        std::string camel;
        for (std::size_t i = 0; i < name.size(); ++i) {
            if (name[i] == '_' && i + 1 < name.size())
                camel += char(std::toupper(name[++i]));
            else
                camel += name[i];
        }
        found = object.find(camel);
    }
    return found == object.end() || found->is_null() ? nullptr : &*found;
}

std::string bytesOf(const json &object, const std::string &name)
{
    const json *value = member(object, name);
    if (!value)
        return {};
    if (!value->is_string())
        throw malformed_body(name + " must be base64");
    const auto decoded = fromBase64(value->get<std::string>());
    if (!decoded)
        throw malformed_body("illegal base64 data in " + name);
    return *decoded;
}

std::int64_t numberOf(const json &object, const std::string &name)
{
    const json *value = member(object, name);
    if (!value)
        return 0;
    if (value->is_number_integer())
        return value->get<std::int64_t>();
    if (value->is_string()) {
        try {
            std::size_t used = 0;
            const std::string text = value->get<std::string>();
            const std::int64_t number = std::stoll(text, &used);
            if (used == text.size())
                return number;
        } catch (const std::logic_error &) { }
    }
    throw malformed_body(name + " must be a number");
}

std::string wordOf(const json &object, const std::string &name, const std::string &absent)
{
    const json *value = member(object, name);
    return value && value->is_string() ? value->get<std::string>() : absent;
}

key_range rangeOf(const json &object)
{
    return {bytesOf(object, "key"), bytesOf(object, "range_end")};
}

kv_put putOf(const json &object)
{
    return {bytesOf(object, "key"), bytesOf(object, "value"), numberOf(object, "lease")};
}

kv_read readOf(const json &object)
{
    return {rangeOf(object), numberOf(object, "limit")};
}

kv_request requestOf(const json &object)
{
    if (const json *put = member(object, "request_put"))
        return putOf(*put);
    if (const json *deleted = member(object, "request_delete_range"))
        return kv_delete{rangeOf(*deleted)};
    if (const json *range = member(object, "request_range"))
        return readOf(*range);
    throw malformed_body("unknown request in a transaction");
}

kv_compare compareOf(const json &object)
{
    kv_compare c;
    c.key = bytesOf(object, "key");
    const std::string how = wordOf(object, "result", "EQUAL");
    if (how == "EQUAL")
        c.how = kv_compare::relation::equal;
    else if (how == "GREATER")
        c.how = kv_compare::relation::greater;
    else if (how == "LESS")
        c.how = kv_compare::relation::less;
    else if (how == "NOT_EQUAL")
        c.how = kv_compare::relation::not_equal;
    else
        throw malformed_body("unknown comparison " + how);
    const std::string what = wordOf(object, "target", "VERSION");
    if (what == "VERSION") {
        c.what = kv_compare::target::version;
        c.number = numberOf(object, "version");
    } else if (what == "CREATE") {
        c.what = kv_compare::target::create;
        c.number = numberOf(object, "create_revision");
    } else if (what == "MOD") {
        c.what = kv_compare::target::mod;
        c.number = numberOf(object, "mod_revision");
    } else if (what == "LEASE") {
        c.what = kv_compare::target::lease;
        c.number = numberOf(object, "lease");
    } else if (what == "VALUE") {
        c.what = kv_compare::target::value;
        c.value = bytesOf(object, "value");
    } else {
        throw malformed_body("unknown target " + what);
    }
    return c;
}

kv_transaction transactionOf(const json &object)
{
    kv_transaction t;
    if (const json *compares = member(object, "compare")) {
        for (const json &c : *compares)
            t.compares.push_back(compareOf(c));
    }
    if (const json *success = member(object, "success")) {
        for (const json &r : *success)
            t.success.push_back(requestOf(r));
    }
    if (const json *failure = member(object, "failure")) {
        for (const json &r : *failure)
            t.failure.push_back(requestOf(r));
    }
    return t;
}

/// Adds a number as a string. Zeros are omitted.
void putNumber(json &object, const char *name, std::int64_t value)
{
    if (value != 0)
        object[name] = std::to_string(value);
}

void putBase64(json &object, const char *name, const std::string &bytes)
{
    if (!bytes.empty())
        object[name] = toBase64(bytes);
}

json header(std::int64_t revision)
{
    return {{"cluster_id", "14841639068965178418"},
            {"member_id", "10276657743932975437"},
            {"revision", std::to_string(revision)},
            {"raft_term", "2"}};
}

json toJson(const store_entry &entry)
{
    json kv = json::object();
    putBase64(kv, "key", entry.key);
    putNumber(kv, "create_revision", entry.createRevision);
    putNumber(kv, "mod_revision", entry.modRevision);
    putNumber(kv, "version", entry.version);
    putBase64(kv, "value", entry.value);
    putNumber(kv, "lease", entry.lease);
    return kv;
}

json toJson(const kv_response &response, std::int64_t revision)
{
    json object = {{"header", {{"revision", std::to_string(revision)}}}};
    if (response.what == kv_response::kind::deleted)
        putNumber(object, "deleted", response.count);
    if (response.what == kv_response::kind::read) {
        for (const store_entry &entry : response.entries)
            object["kvs"].push_back(toJson(entry));
        putNumber(object, "count", response.count);
        if (response.count > std::int64_t(response.entries.size()))
            object["more"] = true;
    }
    return object;
}

json toJson(const kv_result &result)
{
    json object = {{"header", header(result.revision)}};
    if (result.succeeded)
        object["succeeded"] = true;
    for (const kv_response &response : result.responses) {
        const char *name = response.what == kv_response::kind::put ? "response_put"
            : response.what == kv_response::kind::deleted          ? "response_delete_range"
                                                                   : "response_range";
        object["responses"].push_back({{name, toJson(response, result.revision)}});
    }
    return object;
}

gateway_answer errorAnswer(const kv_error &error)
{
    return {
        error.httpStatus,
        json({{"error", error.message}, {"code", error.code}, {"message", error.message}}).dump()};
}

/// Executes a single request outside of a transaction.
gateway_answer answerSingle(store_model &store, instant now, const kv_request &request)
{
    const auto result = store.transact(now, {{}, {request}, {}});
    if (!result)
        return errorAnswer(result.error());
    json object = toJson(result->responses.front(), result->revision);
    object["header"] = header(result->revision);
    return {200, object.dump()};
}

gateway_answer answerLease(store_model &store, instant now, const std::string &path,
                           const json &object)
{
    if (path == "/v3/lease/grant") {
        const auto lease = store.grant(now, numberOf(object, "TTL"), numberOf(object, "ID"));
        if (!lease)
            return errorAnswer(lease.error());
        return {200,
                json({{"header", header(store.revision())},
                      {"ID", std::to_string(lease->lease)},
                      {"TTL", std::to_string(lease->ttlSeconds)}})
                    .dump()};
    }
    if (path == "/v3/lease/keepalive") {
        const lease_state lease = store.keepAlive(now, numberOf(object, "ID"));
        json result = {{"header", header(store.revision())}, {"ID", std::to_string(lease.lease)}};
        putNumber(result, "TTL", lease.ttlSeconds);
        // The call is a stream in gRPC. The gateway wraps each message of a stream in an object and
        // terminates it with a newline.
        return {200, json({{"result", result}}).dump() + "\n"};
    }
    const auto revoked = store.revoke(now, numberOf(object, "ID"));
    if (!revoked)
        return errorAnswer(revoked.error());
    return {200, json({{"header", header(store.revision())}}).dump()};
}

gateway_answer answerParsed(store_model &store, instant now, const std::string &path,
                            const json &object)
{
    if (path == "/v3/kv/range")
        return answerSingle(store, now, readOf(object));
    if (path == "/v3/kv/put")
        return answerSingle(store, now, putOf(object));
    if (path == "/v3/kv/deleterange")
        return answerSingle(store, now, kv_delete{rangeOf(object)});
    if (path == "/v3/kv/txn") {
        const auto result = store.transact(now, transactionOf(object));
        if (!result)
            return errorAnswer(result.error());
        return {200, toJson(*result).dump()};
    }
    if (path == "/v3/lease/grant" || path == "/v3/lease/keepalive" || path == "/v3/lease/revoke"
        || path == "/v3/kv/lease/revoke")
        return answerLease(store, now, path, object);
    return errorAnswer({404, 5, "Not Found"});
}

} // namespace

gateway_answer answerStoreCall(store_model &store, instant now, const std::string &path,
                               const std::string &body)
{
    const json object = json::parse(body, nullptr, false);
    if (!object.is_object())
        return errorAnswer({400, 3, "the body is not a JSON object"});
    try {
        return answerParsed(store, now, path, object);
    } catch (const malformed_body &error) {
        return errorAnswer({400, 3, error.what()});
    } catch (const json::exception &error) {
        return errorAnswer({400, 3, error.what()});
    }
}

bool isStoreWrite(const std::string &path, const std::string &body)
{
    return path != "/v3/kv/range" && path != "/v3/watch"
        && (path != "/v3/kv/txn" || body.find("request_put") != std::string::npos
            || body.find("request_delete_range") != std::string::npos
            || body.find("requestPut") != std::string::npos
            || body.find("requestDeleteRange") != std::string::npos);
}

tl::expected<watch_request, gateway_answer> parseWatchRequest(const std::string &body)
{
    const json object = json::parse(body, nullptr, false);
    const json *create = object.is_object() ? member(object, "create_request") : nullptr;
    if (!create || !create->is_object())
        return tl::unexpected(errorAnswer({400, 3, "a watch begins with a create_request"}));
    try {
        return watch_request{rangeOf(*create), numberOf(*create, "start_revision")};
    } catch (const malformed_body &error) {
        return tl::unexpected(errorAnswer({400, 3, error.what()}));
    }
}

std::string watchCreatedMessage(std::int64_t revision)
{
    return json({{"result", {{"header", header(revision)}, {"created", true}}}}).dump() + "\n";
}

std::string watchChangesMessage(std::int64_t revision, const std::vector<kv_change> &changes)
{
    std::string messages;
    for (std::size_t i = 0; i < changes.size();) {
        json events = json::array();
        const std::int64_t changed = changes[i].entry.modRevision;
        for (; i < changes.size() && changes[i].entry.modRevision == changed; ++i) {
            json event = {{"kv", toJson(changes[i].entry)}};
            if (changes[i].isDeleted)
                event["type"] = "DELETE";
            events.push_back(std::move(event));
        }
        messages
            += json({{"result", {{"header", header(revision)}, {"events", events}}}}).dump() + "\n";
    }
    return messages;
}

} // namespace crocuswind::standin
