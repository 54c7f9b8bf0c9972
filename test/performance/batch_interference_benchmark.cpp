// Compares the interference policies in virtual time. On 12 workers of 16 cores, 24
// latency-critical tasks of 2 cores share the fleet with a stream of finite batch jobs of several
// kinds, one of which causes most of the slowdown and arrives in bursts. The policies do not know
// which kind slows down which; they see usage that is 3 s old. Prints one line per policy and seed.

#include "correctness/batch_world.h"

#include <algorithm>
#include <numeric>

using namespace crocuswind;

namespace {

constexpr duration runTime = 900s;

/// Returns the slowdown beyond 1 that a worker filled with this kind of work causes.
double hiddenPressure(const std::string &workKind)
{
    if (workKind == "lab/scan")
        return 3.0;
    if (workKind == "yard/pack")
        return 0.8;
    return 0.1;
}

/// Returns the actual slowdown of the latency-critical tasks on a worker, in permille.
int slowdownOn(const fake_worker &worker, instant now)
{
    double slowdown = 1;
    for (const auto &[id, task] : worker.tasks) {
        if (!worker.isRunning(id, now) || id.job.team.value == "web")
            continue;
        slowdown += hiddenPressure(workKindOf(id.job)) * double(task.size.milliCores)
            * task.throttlePermille / 1000 / double(worker.info.capacity.milliCores);
    }
    return int(slowdown * 1000);
}

struct outcome
{
    int median = 0;
    int p99 = 0;
    double slowShare = 0;
    int done = 0;
    double hoursDone = 0;
    int extraAttempts = 0;
    std::size_t violations = 0;
};

outcome runPolicy(interference_control control, std::uint64_t seed)
{
    world_options options;
    options.hosts = 1;
    options.workers = 12;
    options.capacity = {16000, 60000, 0};
    options.seed = seed;
    options.control = control;
    world w(options);
    // The slowdowns of the last 3 s. Tasks report the oldest one.
    std::map<worker_id, std::deque<int>> lagging;
    std::vector<int> samples;
    for (const auto &worker : w.workers) {
        const fake_worker *at = worker.get();
        worker->usageOf = [&lagging, at](const task_id &id) -> std::optional<task_usage> {
            const std::deque<int> &values = lagging[at->info.worker];
            if (values.empty() || id.job.team.value != "web")
                return std::nullopt;
            return task_usage{1000, 1000, values.front(), 3000};
        };
    }
    w.runFor(5s);
    for (int k = 0; k < 6; ++k) {
        job_spec spec = finiteJob("shop-" + std::to_string(k), 2000);
        spec.id.team.value = "web";
        spec.kind = job_kind::service;
        spec.replicas = 4;
        w.submit(0, spec, 0s);
    }
    seeded_random random(stableHash("jobs", seed));
    int number = 0;
    const instant end = w.now + runTime;
    for (instant at = w.now + 10s; at < end; at += 1s) {
        const bool isWave = (at.time_since_epoch() / 1s) % 300 < 90;
        const std::uint64_t kind = random.below(isWave ? 5 : 3);
        job_spec spec = finiteJob("", 1000 + std::int64_t(random.below(3000)));
        spec.id = kind == 0 ? job_id{team_id{"yard"}, "pack-"}
            : kind < 3      ? job_id{team_id{"lab"}, "cert-"}
                            : job_id{team_id{"lab"}, "scan-"};
        spec.id.name += std::to_string(++number);
        const auto length = 1s * std::int64_t(20 + random.below(80));
        w.at(at, [&w, spec, length] { w.submit(0, spec, length); });
    }
    while (w.now < end) {
        w.runFor(1s);
        for (const auto &worker : w.workers) {
            const int value = slowdownOn(*worker, w.now);
            std::deque<int> &values = lagging[worker->info.worker];
            values.push_back(value);
            if (values.size() > 3)
                values.pop_front();
            for (const auto &[id, task] : worker->tasks) {
                if (id.job.team.value == "web" && worker->isRunning(id, w.now))
                    samples.push_back(value);
            }
        }
    }
    outcome result;
    std::sort(samples.begin(), samples.end());
    result.median = samples[samples.size() / 2];
    result.p99 = samples[samples.size() * 99 / 100];
    result.slowShare
        = double(std::count_if(samples.begin(), samples.end(), [](int s) { return s > 1250; }))
        / double(samples.size());
    for (const auto &[id, truth] : w.ledger.truths) {
        if (truth.spec.kind != job_kind::finite)
            continue;
        result.done += truth.completions;
        if (truth.completions > 0)
            result.hoursDone
                += double(truth.length.count()) / 3.6e9 * double(truth.spec.size.milliCores) / 1000;
        if (!truth.startedAttempts.empty())
            result.extraAttempts += int(truth.startedAttempts.size()) - 1;
    }
    result.violations = w.ledger.violations.size();
    return result;
}

} // namespace

int main()
{
    const std::vector<std::pair<const char *, interference_control>> policies{
        {"none", interference_control::none},
        {"separation", interference_control::separation},
        {"threshold", interference_control::threshold},
        {"learned", interference_control::learned}};
    fmt::print("policy      seed  slowdown p50  p99  over 1.25  jobs done  core hours  evictions  "
               "violations\n");
    for (const auto &[name, control] : policies) {
        for (const std::uint64_t seed : {1, 2, 3}) {
            const outcome o = runPolicy(control, seed);
            fmt::print("{:11} {:4}  {:12.2f}  {:.2f}  {:8.1f}%  {:9}  {:10.1f}  {:9}  {:10}\n",
                       name, seed, o.median / 1000.0, o.p99 / 1000.0, 100 * o.slowShare, o.done,
                       o.hoursDone, o.extraAttempts, o.violations);
        }
    }
    return 0;
}
