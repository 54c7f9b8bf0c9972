// Passes mutated and random bytes to the decoder of peer messages. Guards against crashes, reads
// past the end (with the sanitizers) and accepted messages that cannot be encoded again.

#include "protocol/protocol.h"

#include <gtest/gtest.h>

using namespace crocuswind;

namespace {

std::vector<std::string> samples()
{
    member_report r;
    r.host = {"entry-1.dc-1"};
    r.dataCentre = {"dc-1"};
    r.address = "10.0.0.1:9000";
    r.seat = 1;
    r.seatEpoch = 40;
    r.waits = {{1, 2}, {3, 4}};
    const member_digest digest{{r, r, r}, true, {{1, 40, r.host}}};
    const request_id id{r.host, 5, 6};
    forward_request request;
    request.id = id;
    request.content = {{"drift-check"}, {"lab"}, true, urgency::urgent, "payload", {}};
    const std::vector<peer_message> messages
        = {peer_hello{r.host, r.dataCentre, r.address, 3},
           membership_probe{1, digest},
           membership_probe_answer{1, r.host, digest},
           membership_indirect_probe{1, r},
           request,
           forward_answer{id, 1, 2, {outcome_kind::answered, outcome_reason::none, "answer"}},
           ask_outcome{id, 1, 2},
           forward_job{{r.dataCentre, 1}, 9, "{}"},
           peer_config{"{}"}};
    std::vector<std::string> encoded;
    for (const peer_message &m : messages)
        encoded.push_back(encodePeerMessage(m));
    return encoded;
}

void mutate(std::string *bytes, seeded_random &random)
{
    for (std::uint64_t i = 1 + random.below(4); i > 0 && !bytes->empty(); --i) {
        const std::size_t at = random.below(bytes->size());
        switch (random.below(5)) {
        case 0:
            (*bytes)[at] = char(random.next());
            break;
        case 1:
            (*bytes)[at] = char((*bytes)[at] ^ (1 << random.below(8)));
            break;
        case 2:
            bytes->resize(at);
            break;
        case 3:
            bytes->insert(at, std::string(1 + random.below(8), char(random.next())));
            break;
        default:
            bytes->insert(at, bytes->substr(random.below(bytes->size()), random.below(32)));
        }
    }
}

} // namespace

TEST(PeerCodecFuzz, SurvivesMutatedMessages)
{
    const auto originals = samples();
    seeded_random random(20261204);
    int accepted = 0;
    constexpr int runs = 60'000;
    for (int run = 0; run < runs; ++run) {
        std::string bytes = originals[random.below(originals.size())];
        mutate(&bytes, random);
        const auto decoded = decodePeerMessage(bytes);
        if (!decoded)
            continue;
        ++accepted;
        const auto again = decodePeerMessage(encodePeerMessage(*decoded));
        ASSERT_TRUE(again) << "run " << run << ": " << again.error().detail;
        ASSERT_EQ(again->index(), decoded->index()) << "run " << run;
    }
    // The decoder both accepts and refuses messages.
    EXPECT_GT(accepted, runs / 100);
    EXPECT_LT(accepted, runs / 2);
}

TEST(PeerCodecFuzz, SurvivesRandomBytes)
{
    seeded_random random(20261205);
    for (int run = 0; run < 60'000; ++run) {
        std::string bytes(random.below(200), '\0');
        for (char &c : bytes)
            c = char(random.next());
        // Half of the inputs start with a map header, so that the parser goes beyond the first
        // byte.
        if (!bytes.empty() && run % 2 == 0)
            bytes[0] = char(0xa0 + random.below(32));
        EXPECT_FALSE(decodePeerMessage(bytes));
    }
}
