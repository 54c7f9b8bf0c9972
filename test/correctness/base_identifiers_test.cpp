// Guards against identifiers that change when they are formatted and parsed, and against malformed
// ones being accepted.

#include "base/base.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace crocuswind;

TEST(RequestId, RoundTripsWithDotsInTheHome)
{
    const request_id id{host_id{"entry.dakar-1"}, 1789, 42};
    EXPECT_EQ(parseRequestId(toString(id)), id);
}

TEST(RequestId, RefusesMalformedText)
{
    for (const char *text : {"", "a", "a.1", ".1.2", "a.1.", "a..2", "a.-1.2", "a.1.2x", "A.1.2",
                             "a.1.99999999999999999999"})
        EXPECT_FALSE(parseRequestId(text)) << text;
}

TEST(JobId, NeedsExactlyTwoNames)
{
    EXPECT_EQ(parseJobId("lab/cert-7"), (job_id{team_id{"lab"}, "cert-7"}));
    for (const char *text : {"", "lab", "lab/", "/cert", "lab/a/b", "Lab/cert"})
        EXPECT_FALSE(parseJobId(text)) << text;
}

RC_GTEST_PROP(Traceparent, RoundTrips, (std::uint64_t seed))
{
    seeded_random random(seed);
    const trace_context context = startTrace(random);
    RC_ASSERT(parseTraceparent(toTraceparent(context)) == context);
}

TEST(Traceparent, RefusesOtherForms)
{
    for (const char *text :
         {"", "00-0-0-0", "01-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",
          "00-00000000000000000000000000000000-b7ad6b7169203331-01",
          "00-0AF7651916CD43DD8448EB211C80319C-b7ad6b7169203331-01"})
        EXPECT_FALSE(parseTraceparent(text)) << text;
}

TEST(NearestWord, SuggestsOnlyCloseWords)
{
    EXPECT_EQ(nearestWord("corse", {"memory", "cores", "kind"}), "cores");
    EXPECT_EQ(nearestWord("xyzzy", {"memory", "cores", "kind"}), "");
}
