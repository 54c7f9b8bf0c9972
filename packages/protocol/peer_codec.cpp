#include "peer_codec.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace crocuswind {

namespace {

using nlohmann::json;

/// Largest length of a name or address in a message.
constexpr std::size_t maxTextLength = 128;

/// Largest number of seats of a data centre in a digest (design section 2.4).
constexpr std::size_t maxDigestSeats = 8;

[[noreturn]] void fail(peer_codec_fault fault, std::string detail)
{
    throw peer_codec_error{fault, std::move(detail)};
}

peer_codec_fault faultOf(cbor_fault fault)
{
    switch (fault) {
    case cbor_fault::too_deep:
        return peer_codec_fault::too_deep;
    case cbor_fault::too_many:
        return peer_codec_fault::too_many;
    case cbor_fault::malformed:
        break;
    }
    return peer_codec_fault::malformed;
}

const json &field(const json &map, const char *name)
{
    if (!map.is_object())
        fail(peer_codec_fault::bad_field, "a map is expected");
    const auto found = map.find(name);
    if (found == map.end())
        fail(peer_codec_fault::bad_field, fmt::format("{} is missing", name));
    return *found;
}

std::uint64_t unsignedField(const json &map, const char *name)
{
    const json &value = field(map, name);
    if (!value.is_number_unsigned())
        fail(peer_codec_fault::bad_field, name);
    return value.get<std::uint64_t>();
}

std::int64_t countField(const json &map, const char *name,
                        std::int64_t max = std::numeric_limits<std::int64_t>::max())
{
    const std::uint64_t value = unsignedField(map, name);
    if (value > std::uint64_t(max))
        fail(peer_codec_fault::bad_field, name);
    return std::int64_t(value);
}

bool boolField(const json &map, const char *name)
{
    const json &value = field(map, name);
    if (!value.is_boolean())
        fail(peer_codec_fault::bad_field, name);
    return value.get<bool>();
}

std::string textField(const json &map, const char *name)
{
    const json &value = field(map, name);
    if (!value.is_string() || value.get_ref<const std::string &>().size() > maxTextLength)
        fail(peer_codec_fault::bad_field, name);
    return value.get<std::string>();
}

template <class name_type>
name_type nameField(const json &map, const char *name)
{
    name_type result{textField(map, name)};
    if (!isValidName(result.value))
        fail(peer_codec_fault::bad_field, name);
    return result;
}

json toBytes(const std::string &bytes)
{
    return json::binary({bytes.begin(), bytes.end()});
}

std::string bytesField(const json &map, const char *name)
{
    const json &value = field(map, name);
    if (!value.is_binary())
        fail(peer_codec_fault::bad_field, name);
    const auto &bytes = value.get_binary();
    return {bytes.begin(), bytes.end()};
}

const json &listField(const json &map, const char *name, std::size_t max)
{
    const json &value = field(map, name);
    if (!value.is_array())
        fail(peer_codec_fault::bad_field, name);
    if (value.size() > max)
        fail(peer_codec_fault::too_many, name);
    return value;
}

request_id requestIdField(const json &map)
{
    const auto id = parseRequestId(textField(map, "id"));
    if (!id)
        fail(peer_codec_fault::bad_field, "id");
    return *id;
}

shard_id shardField(const json &map)
{
    constexpr std::int64_t maxShard = 1023;
    return {nameField<data_centre_id>(map, "data_centre"), int(countField(map, "shard", maxShard))};
}

// The field names of a report are short because each message carries up to 16 reports.
json toJson(const member_report &r)
{
    json map = {{"h", r.host.value},        {"d", r.dataCentre.value}, {"a", r.address},
                {"i", r.incarnationNumber}, {"r", r.refutation},       {"s", int(r.state)},
                {"b", r.heartbeat},         {"l", r.loadPercent},      {"c", r.configRevision}};
    if (r.leaving)
        map["g"] = true;
    if (r.watching)
        map["v"] = true;
    if (r.seat) {
        map["n"] = *r.seat;
        map["e"] = r.seatEpoch;
    }
    if (!r.waits.empty()) {
        json &waits = map["w"];
        for (const auto &[key, waitMs] : r.waits) {
            waits.push_back(key);
            waits.push_back(waitMs);
        }
    }
    return map;
}

member_report toReport(const json &map)
{
    constexpr std::int64_t maxLoad = 1000;
    constexpr auto max32 = std::numeric_limits<std::uint32_t>::max();
    member_report r;
    r.host = nameField<host_id>(map, "h");
    r.dataCentre = nameField<data_centre_id>(map, "d");
    r.address = textField(map, "a");
    r.incarnationNumber = countField(map, "i");
    r.refutation = countField(map, "r");
    r.state = member_state(countField(map, "s", std::int64_t(member_state::left)));
    r.heartbeat = countField(map, "b");
    r.loadPercent = int(countField(map, "l", maxLoad));
    r.configRevision = countField(map, "c");
    r.leaving = map.contains("g") && boolField(map, "g");
    r.watching = map.contains("v") && boolField(map, "v");
    if (map.contains("n")) {
        r.seat = int(countField(map, "n", maxDigestSeats - 1));
        r.seatEpoch = countField(map, "e");
    }
    if (map.contains("w")) {
        const json &waits = listField(map, "w", 2 * maxReportedWaits);
        for (const json &w : waits) {
            if (!w.is_number_unsigned() || w.get<std::uint64_t>() > max32)
                fail(peer_codec_fault::bad_field, "w");
        }
        for (std::size_t i = 0; i + 1 < waits.size(); i += 2)
            r.waits.emplace_back(waits[i].get<std::uint32_t>(), waits[i + 1].get<std::uint32_t>());
    }
    return r;
}

json toJson(const member_digest &digest)
{
    json map = {{"members", json::array()}};
    for (const member_report &r : digest.members)
        map["members"].push_back(toJson(r));
    if (digest.seatsKnown)
        map["known"] = true;
    for (const seat_claim &c : digest.seats)
        map["seats"].push_back({{"n", c.seat}, {"e", c.epoch}, {"h", c.holder.value}});
    return map;
}

member_digest toDigest(const json &map)
{
    member_digest digest;
    for (const json &m : listField(map, "members", maxDigestMembers))
        digest.members.push_back(toReport(m));
    digest.seatsKnown = map.contains("known") && boolField(map, "known");
    if (map.contains("seats")) {
        for (const json &s : listField(map, "seats", maxDigestSeats)) {
            digest.seats.push_back({int(countField(s, "n", maxDigestSeats - 1)), countField(s, "e"),
                                    nameField<host_id>(s, "h")});
        }
    }
    return digest;
}

json toJson(const request_outcome &o)
{
    json map = {{"kind", toString(o.kind)}, {"reason", toString(o.reason)}};
    if (o.kind == outcome_kind::answered)
        map["answer"] = toBytes(o.answer);
    return map;
}

request_outcome toOutcome(const json &map)
{
    const auto kind = parseOutcomeKind(textField(map, "kind"));
    // A later version may add reasons, so an unknown reason is accepted. The kind must be known.
    const auto reason = parseOutcomeReason(textField(map, "reason"));
    if (!kind)
        fail(peer_codec_fault::bad_field, "kind");
    request_outcome o;
    o.kind = *kind;
    o.reason = reason.value_or(outcome_reason::none);
    if (o.kind == outcome_kind::answered)
        o.answer = bytesField(map, "answer");
    return o;
}

json body(const peer_hello &m)
{
    return {{"type", "hello"},
            {"host", m.host.value},
            {"data_centre", m.dataCentre.value},
            {"address", m.address},
            {"incarnation", m.incarnationNumber}};
}

json body(const membership_probe &m)
{
    return {{"type", "probe"}, {"sequence", m.sequence}, {"digest", toJson(m.digest)}};
}

json body(const membership_probe_answer &m)
{
    json map = {{"type", "probe_answer"}, {"sequence", m.sequence}, {"digest", toJson(m.digest)}};
    if (!m.subject.empty())
        map["subject"] = m.subject.value;
    return map;
}

json body(const membership_indirect_probe &m)
{
    return {{"type", "indirect_probe"}, {"sequence", m.sequence}, {"target", toJson(m.target)}};
}

json body(const forward_request &m)
{
    const request_content &c = m.content;
    json map = {{"type", "forward_request"},
                {"purpose", m.what == forward_request::purpose::decide ? "decide" : "dispatch"},
                {"id", toString(m.id)},
                {"forwarding", m.forwarding},
                {"sender_incarnation", m.senderEpoch},
                {"receiver_incarnation", m.receiverEpoch},
                {"time_left_ms", std::max(m.timeLeftMs, std::int64_t(0))},
                {"service", c.service.value},
                {"team", c.team.value},
                {"repeatable", c.isRepeatable},
                {"urgency", toString(c.level)},
                {"payload", toBytes(c.payload)}};
    if (c.trace)
        map["traceparent"] = toTraceparent(*c.trace);
    return map;
}

json body(const forward_answer &m)
{
    return {{"type", "forward_answer"},
            {"id", toString(m.id)},
            {"forwarding", m.forwarding},
            {"sender_incarnation", m.senderEpoch},
            {"result", toJson(m.result)}};
}

json body(const ask_outcome &m)
{
    return {{"type", "ask_outcome"},
            {"id", toString(m.id)},
            {"question", m.query},
            {"sender_incarnation", m.senderEpoch}};
}

json body(const outcome &m)
{
    return {{"type", "outcome"},
            {"id", toString(m.id)},
            {"question", m.query},
            {"sender_incarnation", m.senderEpoch},
            {"result", toJson(m.result)}};
}

template <class message>
json jobBody(const char *type, const message &m)
{
    return {{"type", type},
            {"data_centre", m.shard.dataCentre.value},
            {"shard", m.shard.index},
            {"token", m.token},
            {"body", toBytes(m.body)}};
}

json body(const forward_job &m)
{
    return jobBody("forward_job", m);
}

json body(const job_answer &m)
{
    return jobBody("job_answer", m);
}

json body(const ask_config &m)
{
    return {{"type", "ask_config"}, {"above", m.above}};
}

json body(const peer_config &m)
{
    return {{"type", "config"}, {"encoded", toBytes(m.encoded)}};
}

forward_request toForwardRequest(const json &map)
{
    forward_request m;
    const std::string purpose = textField(map, "purpose");
    if (purpose == "dispatch")
        m.what = forward_request::purpose::dispatch;
    else if (purpose != "decide")
        fail(peer_codec_fault::bad_field, "purpose");
    m.id = requestIdField(map);
    m.forwarding = unsignedField(map, "forwarding");
    m.senderEpoch = countField(map, "sender_incarnation");
    m.receiverEpoch = countField(map, "receiver_incarnation");
    // One day. An unbounded value would overflow when it is added to the current time.
    constexpr std::int64_t maxTimeLeftMs = 86'400'000;
    m.timeLeftMs = countField(map, "time_left_ms", maxTimeLeftMs);
    m.content.service = nameField<service_id>(map, "service");
    m.content.team = nameField<team_id>(map, "team");
    m.content.isRepeatable = boolField(map, "repeatable");
    const std::string level = textField(map, "urgency");
    if (level != toString(urgency::urgent) && level != toString(urgency::normal))
        fail(peer_codec_fault::bad_field, "urgency");
    m.content.level = level == toString(urgency::urgent) ? urgency::urgent : urgency::normal;
    m.content.payload = bytesField(map, "payload");
    if (map.contains("traceparent"))
        m.content.trace = parseTraceparent(textField(map, "traceparent"));
    return m;
}

peer_message toMessage(const std::string &type, const json &map)
{
    if (type == "hello") {
        return peer_hello{nameField<host_id>(map, "host"),
                          nameField<data_centre_id>(map, "data_centre"), textField(map, "address"),
                          countField(map, "incarnation")};
    }
    if (type == "probe")
        return membership_probe{countField(map, "sequence"), toDigest(field(map, "digest"))};
    if (type == "probe_answer") {
        host_id subject;
        if (map.contains("subject"))
            subject = nameField<host_id>(map, "subject");
        return membership_probe_answer{countField(map, "sequence"), subject,
                                       toDigest(field(map, "digest"))};
    }
    if (type == "indirect_probe")
        return membership_indirect_probe{countField(map, "sequence"),
                                         toReport(field(map, "target"))};
    if (type == "forward_request")
        return toForwardRequest(map);
    if (type == "forward_answer") {
        return forward_answer{requestIdField(map), unsignedField(map, "forwarding"),
                              countField(map, "sender_incarnation"),
                              toOutcome(field(map, "result"))};
    }
    if (type == "ask_outcome") {
        return ask_outcome{requestIdField(map), unsignedField(map, "question"),
                           countField(map, "sender_incarnation")};
    }
    if (type == "outcome") {
        return outcome{requestIdField(map), unsignedField(map, "question"),
                       countField(map, "sender_incarnation"), toOutcome(field(map, "result"))};
    }
    if (type == "forward_job")
        return forward_job{shardField(map), unsignedField(map, "token"), bytesField(map, "body")};
    if (type == "job_answer")
        return job_answer{shardField(map), unsignedField(map, "token"), bytesField(map, "body")};
    if (type == "ask_config")
        return ask_config{countField(map, "above")};
    if (type == "config")
        return peer_config{bytesField(map, "encoded")};
    fail(peer_codec_fault::unknown_type, type);
}

} // namespace

std::string_view toString(peer_codec_fault fault)
{
    constexpr std::array<std::string_view, 7> words
        = {"too_large",     "too_deep",     "too_many", "malformed",
           "other_version", "unknown_type", "bad_field"};
    return words.at(std::size_t(fault));
}

std::string encodePeerMessage(const peer_message &message)
{
    json map = std::visit([](const auto &m) { return body(m); }, message);
    map["version"] = peerVersion;
    std::string bytes;
    json::to_cbor(map, bytes);
    return bytes;
}

tl::expected<peer_message, peer_codec_error> decodePeerMessage(std::string_view bytes)
{
    if (bytes.size() > maxPeerMessageBytes) {
        return tl::unexpected(
            peer_codec_error{peer_codec_fault::too_large, fmt::format("{} bytes", bytes.size())});
    }
    try {
        const auto cborError = checkCbor(bytes, maxPeerMessageDepth, maxPeerMessageValues);
        if (cborError)
            fail(faultOf(cborError->fault), cborError->detail);
        const json map = json::from_cbor(bytes);
        if (!map.is_object())
            fail(peer_codec_fault::malformed, "not a map");
        const auto version = map.find("version");
        if (version == map.end() || !version->is_number_unsigned()
            || version->get<std::uint64_t>() / 100 != std::uint64_t(peerVersion / 100))
            fail(peer_codec_fault::other_version, version == map.end() ? "none" : version->dump());
        return toMessage(textField(map, "type"), map);
    } catch (const peer_codec_error &error) {
        return tl::unexpected(error);
    } catch (const json::exception &error) {
        return tl::unexpected(peer_codec_error{peer_codec_fault::malformed, error.what()});
    }
}

} // namespace crocuswind
