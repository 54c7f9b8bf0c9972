// Measures the cost of a routing decision and of a complete request in the request core, by number
// of runners.

#include "urgent/routing_policy.h"
#include "urgent/urgent.h"

#include <benchmark/benchmark.h>
#include <fmt/format.h>

using namespace crocuswind;

namespace {

/// One routing decision with the view updates that it causes: one for the dispatch and one for an
/// answer.
void routingDecision(benchmark::State &state)
{
    const auto kind = routing_kind(state.range(0));
    const auto runners = std::size_t(state.range(1));
    const auto policy = makeRoutingPolicy(kind, 1);
    seeded_random random(1);
    std::vector<runner_view> views(runners);
    for (std::size_t r = 0; r < runners; ++r) {
        views[r] = {true, 0, double(random.below(8)), 40'000 + double(random.below(20'000)), 0};
        policy->update(r, views[r]);
    }
    std::vector<std::size_t> open;
    for (auto _ : state) {
        const std::size_t r = *policy->choose(random, std::nullopt, false);
        views[r].isEligible = ++views[r].inFlight < 8;
        policy->update(r, views[r]);
        open.push_back(r);
        if (open.size() >= runners * 4) { // Keeps half of the slots taken.
            const std::size_t place = random.below(open.size());
            const std::size_t done = open[place];
            open[place] = open.back();
            open.pop_back();
            views[done].serviceTime
                += 0.2 * (40'000 + double(random.below(20'000)) - views[done].serviceTime);
            views[done].isEligible = --views[done].inFlight < 8;
            policy->update(done, views[done]);
        }
    }
    state.SetComplexityN(state.range(1));
}

/// A request from its arrival to its answer, in a cluster of 27 entry hosts.
void wholeRequest(benchmark::State &state)
{
    urgent_settings settings;
    settings.host = host_id{"entry-1"};
    settings.epoch = 1;
    settings.dataCentre = data_centre_id{"dakar-0"};
    request_core core(settings);
    instant now;
    const service_id service{"drift"};
    runners_listed listed;
    for (int r = 0; r < int(state.range(0)); ++r)
        listed.runners.push_back({runner_id{fmt::format("runner-{}", r)}, service, 8, 64, false});
    urgent_peers_listed peers;
    for (int p = 0; p < 26; ++p)
        peers.peers.push_back({host_id{fmt::format("peer-{}", p)},
                               1,
                               data_centre_id{fmt::format("dakar-{}", p % 9)},
                               true,
                               false,
                               8ms,
                               {{service, 5ms}}});
    urgent_quotas_applied quotas;
    for (int t = 0; t < 25; ++t)
        quotas.teams.push_back({team_id{fmt::format("team-{}", t)}, 1});
    core.handle({now, quotas});
    core.handle({now, listed});
    core.handle({now, peers});
    core.handle({now, urgent_seat_granted{0, 1, instant::max(), true}});
    request_content content;
    content.service = service;
    content.team = team_id{"team-7"};
    content.isRepeatable = true;
    content.level = urgency::urgent;
    content.payload = std::string(200, 'p');
    caller_token caller = 0;
    for (auto _ : state) {
        now += duration(1700us); // 590 requests a second.
        const auto actions = core.handle(
            {now, request_submitted{++caller, std::nullopt, now + duration(1s), content}});
        for (const urgent_action &a : actions) {
            if (const auto *d = std::get_if<dispatch_to_runner>(&a))
                core.handle({now,
                             runner_result{d->attempt, runner_result::kind::answered, "answer",
                                           d->id, false}});
        }
    }
}

} // namespace

BENCHMARK(routingDecision)->ArgsProduct({{0, 1, 2, 3, 4}, {10, 108, 970, 9700}});
BENCHMARK(wholeRequest)->Arg(10)->Arg(108)->Arg(970);
BENCHMARK_MAIN();
