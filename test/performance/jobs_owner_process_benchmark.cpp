// Measures the processor time of a whole entry host that owns the jobs: decisions, JSON, HTTP, log
// and commits. Starts one host against stand-ins for the store and the workers, submits jobs at a
// constant rate, and prints the host's processor time per start. Prints results and asserts
// nothing. With an idle time, the host can be profiled by its process identifier meanwhile.
// Usage: jobs_owner_process_benchmark [WORKERS [STARTS-A-SECOND [SECONDS]]]

#include "standin/child_process.h"
#include "standin/platform_site.h"

#include <cstdio>
#include <cstdlib>
#include <fmt/format.h>
#include <fstream>
#include <sstream>
#include <unistd.h>

using namespace crocuswind;
using namespace crocuswind::standin;
using json = nlohmann::json;

namespace {

constexpr duration runTime = 1500ms;
constexpr duration warmUp = 3s;
constexpr int tasksOfJob = 20;
constexpr int lastingImages = 5;
constexpr int finiteKinds = 16;

int freePort(event_loop &loop)
{
    http_server probe(loop, http_server_settings(), [](const auto &, const auto &) {});
    return probe.listen({"127.0.0.1", 0})->port;
}

/// The processor time of a process in user and in system mode, in milliseconds.
struct processor_time
{
    std::int64_t userMs = 0;
    std::int64_t systemMs = 0;
};

processor_time readProcessorTime(pid_t process)
{
    std::ifstream file(fmt::format("/proc/{}/stat", process));
    std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
    std::istringstream fields(text.substr(text.rfind(')') + 2));
    std::string skipped;
    // The two times are the 12th and 13th fields behind the name of the program.
    for (int i = 0; i < 11; ++i)
        fields >> skipped;
    std::int64_t user = 0;
    std::int64_t system = 0;
    fields >> user >> system;
    const std::int64_t msPerTick = 1000 / sysconf(_SC_CLK_TCK);
    return {user * msPerTick, system * msPerTick};
}

struct process_site
{
    process_site(int workerCount)
        : store(loop)
        , client(loop, http_client_settings())
    {
        for (int i = 0; i < workerCount; ++i) {
            workers.push_back(
                std::make_unique<platform_worker>(loop, fmt::format("i-{:04}", i), runTime));
            store.put("servers/" + workers.back()->id(), workers.back()->entry());
        }
        store.put("op/config", oneQueueConfiguration());
    }

    ~process_site() { std::remove(settings.c_str()); }

    void startHost()
    {
        callers = {"127.0.0.1", std::uint16_t(freePort(loop))};
        const int ready = freePort(loop);
        const int peers = freePort(loop);
        settings = fmt::format("/tmp/crocuswind-{}.conf", getpid());
        std::ofstream(settings) << fmt::format(
            "node=host-0\nip=127.0.0.1\nzone=a\nlisten.front={}\nlisten.ready=127.0.0.1:{}\n"
            "portRange={},{}\nplatform.address={}\nlimits.cpuShare=1\n",
            toString(callers), ready, peers, peers + 1, store.address());
        host = std::make_unique<child_process>(
            std::string(CROCUSWIND_BIN) + "/crocuswindd", std::vector<std::string>{},
            std::vector<std::string>{"CROCUSWIND_NODE_FILE=" + settings});
    }

    // Places lasting tasks with a latency target on every second worker.
    void submitLasting()
    {
        for (int image = 0; image < lastingImages; ++image) {
            const json step = {{"count", int(workers.size()) / 2 / lastingImages},
                               {"cpu", 2000},
                               {"memMb", 1000},
                               {"longRunning", true},
                               {"antiAffinity", 1},
                               {"targetMs", 100},
                               {"image", fmt::format("serving-{}", image)}};
            send(step, "lasting" + std::string(600, 'x'));
        }
    }

    // Submits a job of one of several kinds; three of four use what serving tasks leave.
    void submit()
    {
        const int kind = int(lastJob % finiteKinds);
        const json step = {{"count", tasksOfJob},    {"cpu", 100 * (1 + kind % 3)},
                           {"memMb", 100},           {"estimateMs", 1500},
                           {"fills", kind % 4 != 0}, {"image", fmt::format("filling-{}", kind)}};
        send(step, std::string(600, 'x'));
    }

    void send(const json &step, const std::string &payload)
    {
        http_call call;
        call.to = callers;
        call.method = "POST";
        call.path = fmt::format("/q/{:016x}", ++lastJob);
        call.headers = {{"Host", "jobs.example"},
                        {"Deadline-Ms", "3000"},
                        {"Content-Type", "application/json"}};
        const json body = {{"spec", payload}, {"steps", json::array({step})}};
        call.body = body.dump();
        call.deadline = loop.now() + 3s;
        client.send(std::move(call), [this](const http_result &result) {
            accepted += result.status / 100 == 2 ? 1 : 0;
            ++answered;
        });
    }

    std::int64_t starts() const
    {
        std::int64_t total = 0;
        for (const auto &worker : workers)
            total += std::int64_t(worker->starts().size());
        return total;
    }

    // Submits jobs for a while, and discards the host's output so that its pipe never fills.
    void load(duration howLong, double jobsPerSecond)
    {
        const instant begin = loop.now();
        std::int64_t sent = 0;
        while (loop.now() < begin + howLong) {
            const double due = double((loop.now() - begin).count()) / 1e6 * jobsPerSecond;
            for (; double(sent) < due; ++sent)
                submit();
            loop.runUntil([] { return false; }, 5ms);
        }
    }

    event_loop loop;
    platform_store store;
    http_client client;
    std::vector<std::unique_ptr<platform_worker>> workers;
    ip_endpoint callers;
    std::string settings;
    std::unique_ptr<child_process> host;
    std::uint64_t lastJob = 0;
    int accepted = 0;
    int answered = 0;
};

} // namespace

int main(int argc, char **argv)
{
    const int workers = argc > 1 ? std::atoi(argv[1]) : 200;
    const double startsPerSecond = argc > 2 ? std::atof(argv[2]) : 1000;
    const int seconds = argc > 3 ? std::atoi(argv[3]) : 10;
    process_site site(workers);
    site.startHost();
    fmt::print("host process {}\n", site.host->id());
    std::fflush(stdout);
    site.load(1s, 0);
    site.submitLasting();
    site.load(warmUp, startsPerSecond / tasksOfJob);
    const std::int64_t startsBefore = site.starts();
    const processor_time before = readProcessorTime(site.host->id());
    site.load(std::chrono::seconds(seconds), startsPerSecond / tasksOfJob);
    const processor_time after = readProcessorTime(site.host->id());
    const double starts = double(site.starts() - startsBefore);
    const double userUs = double(after.userMs - before.userMs) * 1e3 / starts;
    const double systemUs = double(after.systemMs - before.systemMs) * 1e3 / starts;
    fmt::print("{} workers, {:.0f} starts in {} s ({} of {} jobs accepted): {:.1f} us of processor "
               "time a start, {:.1f} in user and {:.1f} in system mode\n",
               workers, starts, seconds, site.accepted, site.answered, userUs + systemUs, userUs,
               systemUs);
    return 0;
}
