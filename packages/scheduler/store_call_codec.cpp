#include "store_call_codec.h"

#include "cbor_values.h"

#include <utility>

namespace crocuswind::scheduler {

namespace {

using namespace cbor_values;

// The kind of a call is the index of its operation in store_operation, or one of these.
constexpr int watchKind = 10;
constexpr int watchEndKind = 11;
constexpr int watchProbeKind = 12;

// The kind of a helping host's answer.
constexpr int resultKind = 0;
constexpr int updateKind = 1;

std::string textAt(const json &row, std::size_t index)
{
    if (!row.at(index).is_string())
        throw std::out_of_range("expected a text");
    return row.at(index).get<std::string>();
}

template <class value>
value rangeAt(const json &row, std::size_t index, value highest)
{
    const int number = readAs<int>(row.at(index));
    if (number < 0 || number > int(highest))
        throw std::out_of_range("unknown value of an enumeration");
    return value(number);
}

json toJson(const store_entry &e)
{
    return json::array({e.key, e.value, e.createRevision, e.modRevision, e.version, e.lease});
}

store_entry entryFromJson(const json &row)
{
    store_entry e;
    e.key = textAt(row, 0);
    e.value = textAt(row, 1);
    read(row.at(2), e.createRevision);
    read(row.at(3), e.modRevision);
    read(row.at(4), e.version);
    read(row.at(5), e.lease);
    return e;
}

json fieldsOf(const store_range &o)
{
    return json::array({o.key, o.isPrefix});
}

store_range rangeFromJson(const json &row)
{
    return {textAt(row, 0), row.at(1).get<bool>()};
}

json fieldsOf(const store_transaction &o)
{
    json compares = json::array();
    for (const store_compare &c : o.compares)
        compares.push_back(json::array({c.key, c.number}));
    json puts = json::array();
    for (const store_put &p : o.puts)
        puts.push_back(json::array({p.key, p.value, p.lease}));
    json deletes = json::array();
    for (const store_delete &d : o.deletes)
        deletes.push_back(d.key);
    json reads = json::array();
    for (const store_range &r : o.readOnFailure)
        reads.push_back(fieldsOf(r));
    return json::array(
        {std::move(compares), std::move(puts), std::move(deletes), std::move(reads)});
}

store_transaction transactionFromJson(const json &j)
{
    store_transaction o;
    for (const json &row : j.at(0)) {
        store_compare &c = o.compares.emplace_back();
        c.key = textAt(row, 0);
        c.what = store_compare::property::mod_revision;
        read(row.at(1), c.number);
    }
    for (const json &row : j.at(1))
        o.puts.push_back({textAt(row, 0), textAt(row, 1), readAs<std::int64_t>(row.at(2))});
    for (std::size_t i = 0; i < j.at(2).size(); ++i)
        o.deletes.push_back({textAt(j.at(2), i)});
    for (const json &row : j.at(3))
        o.readOnFailure.push_back(rangeFromJson(row));
    return o;
}

json fieldsOf(const store_lease_grant &o)
{
    return json::array({o.ttlSeconds});
}

json fieldsOf(const store_lease_renewal &o)
{
    return json::array({o.lease});
}

json fieldsOf(const store_lease_revocation &o)
{
    return json::array({o.lease});
}

store_operation operationFromJson(int kind, const json &fields)
{
    switch (kind) {
    case 0:
        return rangeFromJson(fields);
    case 1:
        return transactionFromJson(fields);
    case 2:
        return store_lease_grant{readAs<std::int64_t>(fields.at(0))};
    case 3:
        return store_lease_renewal{readAs<std::int64_t>(fields.at(0))};
    case 4:
        return store_lease_revocation{readAs<std::int64_t>(fields.at(0))};
    default:
        throw std::out_of_range("unknown kind of store operation");
    }
}

json kindAndFields(const helped_store_call &call)
{
    if (const auto *operation = std::get_if<store_operation>(&call.what))
        return json::array({int(operation->index()),
                            std::visit([](const auto &o) { return fieldsOf(o); }, *operation)});
    if (const auto *watch = std::get_if<store_watch_request>(&call.what))
        return json::array({watchKind, json::array({watch->prefix, watch->maxSilenceMs})});
    if (const auto *end = std::get_if<store_watch_end>(&call.what))
        return json::array({watchEndKind, json::array({end->number})});
    return json::array({watchProbeKind, json::array()});
}

json toJson(const helped_store_result &help)
{
    if (!help.result)
        return json::array({resultKind, help.number, int(help.result.error())});
    const store_reply &reply = *help.result;
    json entries = json::array();
    for (const store_entry &entry : reply.entries)
        entries.push_back(toJson(entry));
    return json::array({resultKind, help.number, json(), reply.succeeded, reply.revision,
                        std::move(entries), reply.lease, reply.ttlSeconds});
}

helped_store_result resultFromJson(const json &j)
{
    helped_store_result help;
    read(j.at(1), help.number);
    if (!j.at(2).is_null()) {
        help.result = tl::unexpected(rangeAt(j, 2, store_error::refused));
        return help;
    }
    store_reply reply;
    reply.succeeded = j.at(3).get<bool>();
    read(j.at(4), reply.revision);
    for (const json &row : j.at(5))
        reply.entries.push_back(entryFromJson(row));
    read(j.at(6), reply.lease);
    read(j.at(7), reply.ttlSeconds);
    help.result = std::move(reply);
    return help;
}

json toJson(const helped_watch_update &update)
{
    json changes = json::array();
    for (const helped_watch_update::change &change : update.changes)
        changes.push_back(json::array({change.isDeleted, toJson(change.entry)}));
    return json::array({updateKind, update.number, int(update.what), update.revision,
                        std::move(changes), update.asOfCall});
}

helped_watch_update updateFromJson(const json &j)
{
    helped_watch_update update;
    read(j.at(1), update.number);
    update.what = rangeAt(j, 2, helped_watch_update::kind::lost);
    read(j.at(3), update.revision);
    for (const json &row : j.at(4))
        update.changes.push_back({row.at(0).get<bool>(), entryFromJson(row.at(1))});
    read(j.at(5), update.asOfCall);
    return update;
}

} // namespace

std::string encodeStoreCall(const helped_store_call &call)
{
    return toBytes(json::array({call.number, call.timeLeftMs, kindAndFields(call)}));
}

std::optional<helped_store_call> decodeStoreCall(std::string_view bytes)
{
    return decode<helped_store_call>(bytes, [](const json &j) {
        helped_store_call call;
        read(j.at(0), call.number);
        read(j.at(1), call.timeLeftMs);
        const int kind = readAs<int>(j.at(2).at(0));
        const json &fields = j.at(2).at(1);
        if (kind == watchKind)
            call.what = store_watch_request{textAt(fields, 0), readAs<std::int64_t>(fields.at(1))};
        else if (kind == watchEndKind)
            call.what = store_watch_end{readAs<std::uint64_t>(fields.at(0))};
        else if (kind == watchProbeKind)
            call.what = store_watch_probe();
        else
            call.what = operationFromJson(kind, fields);
        return call;
    });
}

std::string encodeStoreHelp(const store_help &help)
{
    return toBytes(std::visit([](const auto &h) { return toJson(h); }, help));
}

std::optional<store_help> decodeStoreHelp(std::string_view bytes)
{
    return decode<store_help>(bytes, [](const json &j) {
        const int kind = readAs<int>(j.at(0));
        if (kind != resultKind && kind != updateKind)
            throw std::out_of_range("unknown kind of store help");
        return kind == resultKind ? store_help(resultFromJson(j)) : store_help(updateFromJson(j));
    });
}

std::string encodeOwnerNews(const owner_info &owner)
{
    return toBytes(json::array({owner.host.value, owner.address, owner.epoch}));
}

std::optional<owner_info> decodeOwnerNews(std::string_view bytes)
{
    return decode<owner_info>(bytes, [](const json &j) {
        return owner_info{{textAt(j, 0)}, textAt(j, 1), readAs<std::int64_t>(j.at(2))};
    });
}

} // namespace crocuswind::scheduler
