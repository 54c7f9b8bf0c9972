// Guards against fields of peer messages that are lost in encoding or decoding, against hosts of
// adjacent versions that cannot communicate, and against input that exceeds a limit.

#include "protocol/protocol.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck/gtest.h>

using namespace crocuswind;
using nlohmann::json;

namespace {

member_report report(seeded_random &random)
{
    member_report r;
    r.host = {"entry-" + std::to_string(random.below(100)) + ".dc-1"};
    r.dataCentre = {"dc-1"};
    r.address = "10.0.0.1:9000";
    r.incarnationNumber = std::int64_t(random.below(1ULL << 62));
    r.refutation = std::int64_t(random.below(100));
    r.state = member_state(random.below(4));
    r.heartbeat = std::int64_t(random.below(1ULL << 40));
    r.leaving = random.below(2) == 0;
    r.watching = random.below(2) == 0;
    r.loadPercent = int(random.below(200));
    r.configRevision = std::int64_t(random.below(1000));
    if (random.below(2) == 0) {
        r.seat = int(random.below(8));
        r.seatEpoch = std::int64_t(random.below(1ULL << 50));
    }
    for (std::uint64_t i = random.below(maxReportedWaits + 1); i > 0; --i)
        r.waits.emplace_back(std::uint32_t(random.next()), std::uint32_t(random.next()));
    return r;
}

member_digest digest(seeded_random &random)
{
    member_digest d;
    for (std::uint64_t i = random.below(maxDigestMembers + 1); i > 0; --i)
        d.members.push_back(report(random));
    d.seatsKnown = random.below(2) == 0;
    for (std::uint64_t i = random.below(9); i > 0; --i)
        d.seats.push_back({int(random.below(8)), std::int64_t(random.below(1000)), {"e1"}});
    return d;
}

std::string text(seeded_random &random)
{
    std::string bytes(random.below(64), '\0');
    for (char &c : bytes)
        c = char(random.next());
    return bytes;
}

request_outcome anyOutcome(seeded_random &random)
{
    request_outcome o{outcome_kind(random.below(4)), outcome_reason(random.below(19)), {}};
    if (o.kind == outcome_kind::answered)
        o.answer = text(random);
    return o;
}

std::vector<peer_message> messages(std::uint64_t seed)
{
    seeded_random random(seed);
    const request_id id{{"entry-1.dc-2"}, std::int64_t(random.below(1ULL << 60)), 7};
    const shard_id shard{{"dc-2"}, int(random.below(8))};
    forward_request request;
    request.what = forward_request::purpose(random.below(2));
    request.id = id;
    request.forwarding = random.next();
    request.senderEpoch = 5;
    request.receiverEpoch = 6;
    request.timeLeftMs = std::int64_t(random.below(100'000));
    request.content = {{"drift-check"},          {"lab"},      random.below(2) == 0,
                       urgency(random.below(2)), text(random), {}};
    if (random.below(2) == 0)
        request.content.trace = startTrace(random);
    return {peer_hello{{"e1"}, {"dc-1"}, "10.0.0.1:9000", 17},
            membership_probe{std::int64_t(random.below(1000)), digest(random)},
            membership_probe_answer{3, {"e2"}, digest(random)},
            membership_probe_answer{3, {}, digest(random)},
            membership_indirect_probe{4, report(random)},
            request,
            forward_answer{id, random.next(), 5, anyOutcome(random)},
            ask_outcome{id, random.next(), 5},
            outcome{id, random.next(), 5, anyOutcome(random)},
            forward_job{shard, random.next(), text(random)},
            job_answer{shard, random.next(), text(random)},
            ask_config{12},
            peer_config{text(random)}};
}

peer_codec_fault faultOf(const json &map)
{
    std::string bytes;
    json::to_cbor(map, bytes);
    const auto decoded = decodePeerMessage(bytes);
    EXPECT_FALSE(decoded);
    return decoded ? peer_codec_fault::malformed : decoded.error().fault;
}

json probeWith(json digest)
{
    return {{"version", peerVersion}, {"type", "probe"}, {"sequence", 1}, {"digest", digest}};
}

} // namespace

// The encoding covers all fields, so equal bytes show that no field was lost.
RC_GTEST_PROP(PeerCodec, RoundTripsEveryMessage, (std::uint64_t seed))
{
    for (const peer_message &m : messages(seed)) {
        const std::string bytes = encodePeerMessage(m);
        const auto decoded = decodePeerMessage(bytes);
        RC_ASSERT(decoded);
        RC_ASSERT(decoded->index() == m.index());
        RC_ASSERT(encodePeerMessage(*decoded) == bytes);
        if (const auto *request = std::get_if<forward_request>(&m))
            RC_ASSERT(std::get<forward_request>(*decoded) == *request);
        if (const auto *answer = std::get_if<forward_answer>(&m))
            RC_ASSERT(std::get<forward_answer>(*decoded) == *answer);
    }
}

// During a rolling upgrade, hosts of adjacent versions exchange messages.
TEST(PeerCodec, DecodesALaterMinorVersionWithUnknownFields)
{
    for (const peer_message &m : messages(1)) {
        const std::string bytes = encodePeerMessage(m);
        json map = json::from_cbor(bytes);
        map["version"] = peerVersion + 7;
        map["later"] = {{"nested", {1, 2, 3}}};
        if (map.contains("digest")) {
            for (json &member : map["digest"]["members"])
                member["zz"] = "later";
        }
        std::string later;
        json::to_cbor(map, later);
        const auto decoded = decodePeerMessage(later);
        ASSERT_TRUE(decoded) << decoded.error().detail;
        EXPECT_EQ(encodePeerMessage(*decoded), bytes);
    }
}

TEST(PeerCodec, ReportsUnknownTypesAndOtherVersions)
{
    EXPECT_EQ(faultOf({{"version", peerVersion}, {"type", "later"}}),
              peer_codec_fault::unknown_type);
    EXPECT_EQ(faultOf({{"version", peerVersion + 100}, {"type", "hello"}}),
              peer_codec_fault::other_version);
    EXPECT_EQ(faultOf({{"type", "hello"}}), peer_codec_fault::other_version);
}

TEST(PeerCodec, RefusesMessagesAboveALimit)
{
    const std::string large(maxPeerMessageBytes + 1, 'x');
    EXPECT_EQ(decodePeerMessage(large).error().fault, peer_codec_fault::too_large);
    // A million nested arrays would overflow the stack of a recursive parser.
    EXPECT_EQ(decodePeerMessage(std::string(maxPeerMessageBytes, char(0x81))).error().fault,
              peer_codec_fault::too_deep);
    EXPECT_EQ(faultOf(json(std::vector<int>(maxPeerMessageValues + 1, 1))),
              peer_codec_fault::too_many);
    EXPECT_EQ(faultOf(probeWith({{"members", std::vector<int>(maxDigestMembers + 1)}})),
              peer_codec_fault::too_many);
}

TEST(PeerCodec, RefusesBadFields)
{
    EXPECT_EQ(faultOf(json(1)), peer_codec_fault::malformed);
    EXPECT_EQ(faultOf({{"version", peerVersion}, {"type", 3}}), peer_codec_fault::bad_field);
    EXPECT_EQ(faultOf({{"version", peerVersion}, {"type", "ask_config"}, {"above", -1}}),
              peer_codec_fault::bad_field);
    EXPECT_EQ(faultOf({{"version", peerVersion}, {"type", "ask_config"}, {"above", 1ULL << 63}}),
              peer_codec_fault::bad_field);
    EXPECT_EQ(faultOf(probeWith({{"members", {{{"h", "Not a name"}}}}})),
              peer_codec_fault::bad_field);
    EXPECT_EQ(faultOf(probeWith(json::array())), peer_codec_fault::bad_field);
    EXPECT_EQ(decodePeerMessage("").error().fault, peer_codec_fault::malformed);
}
