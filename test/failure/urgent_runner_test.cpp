// Guards against failing runners that keep or attract load, against ejections that remove most
// runners of a service, and against retries that multiply the load.

#include "../correctness/urgent_single_core.h"

#include <map>

using namespace crocuswind;
using kind = runner_result::kind;

namespace {

/// Sends \p requests requests in batches of \p batchSize every 10 ms. \p resultFor returns the
/// result of each dispatch. Returns the number of dispatches by runner.
template <class function>
std::map<std::string, int> serve(single_core &c, int requests, int batchSize, function resultFor)
{
    std::map<std::string, int> count;
    std::vector<dispatch_to_runner> open;
    const auto collect = [&] {
        for (const urgent_action &a : c.actions) {
            if (const auto *d = std::get_if<dispatch_to_runner>(&a))
                open.push_back(*d);
        }
    };
    for (int sent = 0; sent < requests;) {
        for (int i = 0; i < batchSize && sent < requests; ++i, ++sent) {
            c.submit();
            collect();
        }
        c.wait(10ms);
        collect();
        while (!open.empty()) {
            const dispatch_to_runner d = open.front();
            open.erase(open.begin());
            ++count[d.runner.value];
            c.result(d, resultFor(d));
            collect();
        }
    }
    return count;
}

} // namespace

TEST(RunnerHealth, EjectsARunnerThatFailsImmediatelyAndProbesIt)
{
    single_core c(10, 8);
    const auto fails = [](const dispatch_to_runner &d) {
        return d.runner.value == "runner-3" ? kind::failed : kind::answered;
    };
    serve(c, 600, 60, fails);
    EXPECT_EQ(c.core.counts().ejectedRunners, 1U);
    const auto later = serve(c, 12'000, 60, fails);
    const auto found = later.find("runner-3");
    const int share = found == later.end() ? 0 : found->second;
    EXPECT_GE(share, 1); // Probes continue.
    EXPECT_LT(share, 240); // 2% of the requests.
    const auto good = [](const dispatch_to_runner &) { return kind::answered; };
    c.wait(60s);
    serve(c, 600, 60, good);
    EXPECT_EQ(c.core.counts().ejectedRunners, 0U);
}

TEST(RunnerHealth, EjectsAtMostHalfOfAService)
{
    single_core c(6, 8);
    std::map<std::string, int> calls;
    serve(c, 600, 12, [&calls](const dispatch_to_runner &d) {
        // All runners but one fail in bursts, so that each of them would qualify for ejection.
        return d.runner.value != "runner-0" && ++calls[d.runner.value] % 8 < 4 ? kind::failed
                                                                               : kind::answered;
    });
    EXPECT_GE(c.core.counts().ejectedRunners, 1U);
    EXPECT_LE(c.core.counts().ejectedRunners, 3U);
}

TEST(RunnerHealth, EjectsAnUnreachableRunnerImmediatelyAndDetectsItsRecovery)
{
    single_core c(2, 8);
    const auto down = serve(c, 20, 12, [](const dispatch_to_runner &d) {
        return d.runner.value == "runner-1" ? kind::not_connected : kind::answered;
    });
    EXPECT_LE(down.at("runner-1"), 6); // Only the requests of one batch.
    c.wait(6s);
    serve(c, 200, 12, [](const dispatch_to_runner &) { return kind::answered; });
    EXPECT_EQ(c.core.counts().ejectedRunners, 0U);
}

TEST(RunnerHealth, DoesNotProbeWithUnrepeatableRequestsAfterFailures)
{
    single_core c(2, 8);
    serve(c, 100, 12, [](const dispatch_to_runner &d) {
        return d.runner.value == "runner-1" ? kind::failed : kind::answered;
    });
    ASSERT_EQ(c.core.counts().ejectedRunners, 1U);
    c.wait(40s); // The probe delay is over and a probe is due.
    c.submit(false);
    EXPECT_EQ(c.last<dispatch_to_runner>()->runner.value, "runner-0");
    c.submit(true);
    EXPECT_EQ(c.last<dispatch_to_runner>()->runner.value, "runner-1");
}

TEST(RunnerHealth, StopsUsingARunnerThatRefusedAConnection)
{
    single_core c(2, 8);
    c.submit();
    const auto first = *c.last<dispatch_to_runner>();
    c.result(first, kind::not_connected);
    EXPECT_EQ(c.core.counts().ejectedRunners, 1U);
    for (int i = 0; i < 8; ++i)
        c.submit();
    for (const auto &d : c.allOf<dispatch_to_runner>())
        EXPECT_TRUE(d.attempt == first.attempt || d.runner != first.runner);
}

TEST(Retries, EndAfterTheSecondAttempt)
{
    single_core c(4, 8);
    const caller_token caller = c.submit(false);
    for (int i = 0; i < 2; ++i)
        c.result(*c.last<dispatch_to_runner>(), kind::not_connected);
    EXPECT_EQ(c.replyTo(caller), notRun(outcome_reason::refused_by_runner));
    EXPECT_EQ(c.allOf<dispatch_to_runner>().size(), 2U);
}

TEST(Retries, StayWithinTheBudgetWhenEverythingFails)
{
    single_core c(4, 8);
    serve(c, 500, 12, [](const dispatch_to_runner &) { return kind::failed; });
    const request_counts counts = c.core.counts();
    EXPECT_GT(counts.retries, 0U);
    EXPECT_LE(counts.retries * 10, counts.firstAttempts);
}
