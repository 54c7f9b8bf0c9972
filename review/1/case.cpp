/// Case 1: a host that was once cut off from the store while it led never leads again. After the
/// loss of the other hosts nobody serves, although that host is in touch.
#include "../standin/stage.h"

using namespace review;

namespace {

constexpr std::int64_t cutMs = 4000; ///< The site's `core_cut` lasts up to 5.5 s.
constexpr std::int64_t finishMs = 14000; ///< `finish_s`.
constexpr int jobNumber = 7;

std::string twoStepJob()
{
    return json({{"spec", "ms=1500"},
                 {"steps",
                  {{{"count", 4}, {"cpu", 1000}, {"memMb", 100}, {"estimateMs", 1500}},
                   {{"count", 4},
                    {"cpu", 1000},
                    {"memMb", 100},
                    {"estimateMs", 1500},
                    {"after", {0}}}}}})
        .dump();
}

} // namespace

int main(int, char **argv)
{
    const std::string folder = argv[1];
    recorder out(argv[2]);
    record = &out;
    const char *const trouble = std::getenv("TROUBLE");
    const bool losesHosts = hasTrouble();
    const bool cutsLeader = losesHosts && (trouble == nullptr || std::string(trouble) != "loss");

    store platform;
    run_log log;
    platform.put("op/config", configuration(3, json::array({queueRoute()})));
    std::vector<std::unique_ptr<runner>> runners;
    for (int i = 0; i < 4; ++i)
        runners.push_back(
            std::make_unique<runner>(platform, log, runner_settings{"w-" + std::to_string(i)}));
    std::vector<std::unique_ptr<entry_host>> hosts;
    for (const char *name : {"front-a-1", "front-a-2", "front-a-3"})
        hosts.push_back(std::make_unique<entry_host>(name, platform.addAddress(), folder));
    std::vector<entry_host *> all;
    for (auto &host : hosts) {
        host->start();
        all.push_back(host.get());
    }
    const auto areAllReady = [&] {
        return std::all_of(all.begin(), all.end(),
                           [](const entry_host *h) { return h->isReady(); });
    };
    if (!waitFor(areAllReady, 15000))
        finish(2, "the hosts do not become ready");

    sleepMs(2000);
    const std::string leader = leaderName(platform);
    if (leader.empty())
        finish(2, "no host leads");
    entry_host *const former
        = *std::find_if(all.begin(), all.end(), [&](entry_host *h) { return h->name() == leader; });
    // The usual load: a job that lasts, so that the host that leads is in touch with the runners.
    const std::string lasting
        = json({{"spec", "lasting"},
                {"steps", {{{"count", 6}, {"cpu", 1000}, {"memMb", 100}, {"longRunning", true}}}}})
              .dump();
    const auto isLasting = callAny(all, "POST", "/q/" + jobId(1), lasting, 5);
    if (!isLasting || isLasting->status != 200
        || !waitFor([&] { return log.runs().size() >= 6; }, 5000))
        finish(2, "the job that lasts does not start");
    if (cutsLeader) {
        record->line("trouble: %s, which leads, is cut off from the store for %lld ms",
                     leader.c_str(), static_cast<long long>(cutMs));
        platform.setPath(former->storePort(), store_path::silent);
        sleepMs(cutMs);
        platform.setPath(former->storePort(), store_path::open);
        record->line("trouble: the cut ends");
    }
    sleepMs(6000); // More than contactMs: every host is in touch again.
    if (!waitFor(areAllReady, 10000))
        finish(2, "the hosts do not become ready after the cut");
    record->line("all hosts report ready");

    const std::string path = "/q/" + jobId(jobNumber);
    const auto accepted = callAny(all, "POST", path, twoStepJob(), 5);
    if (!accepted || accepted->status != 200)
        finish(2, "the job is not accepted");
    if (losesHosts) {
        record->line("trouble: the hosts other than %s lose power for good", leader.c_str());
        for (entry_host *host : all) {
            if (host != former)
                host->kill();
        }
    }

    // The end of the traffic. After finish_s the job is asked for.
    const std::vector<entry_host *> left = losesHosts ? std::vector<entry_host *>{former} : all;
    sleepMs(finishMs);
    std::optional<http_answer> last;
    const bool isKnown = waitFor(
        [&] {
            last = callAny(left, "GET", path, "", 1);
            return last && last->status == 200;
        },
        20000);
    int ended = 0;
    for (const started_run &run : log.runs())
        ended += run.how == "done" ? 1 : 0;
    record->line("runs that ended done: %d of 8; process of %s alive: %d", ended, leader.c_str(),
                 former->hasExited() ? 0 : 1);
    if (!isKnown)
        finish(1,
               "BROKEN LOST: an accepted job gets no answer in 20 s, asked for from finish_s after "
               "the end of the traffic, last status "
                   + (last ? std::to_string(last->status) : std::string("none")) + ", runs done "
                   + std::to_string(ended) + " of 8");
    if (ended < 8)
        finish(1,
               "BROKEN LOST: tasks of an accepted job could run and do not, done "
                   + std::to_string(ended) + " of 8");
    finish(0, "held: the job is known and has run");
}
