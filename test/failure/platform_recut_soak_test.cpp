// Guards against tasks that run twice, or never, when workers are back under their identifiers,
// carry out commands that were meant for their former lives, and are cut off soon after, while
// entry hosts are killed or stand still. A soak of real processes; the workers are stand-ins.
//
// CI plays a few seeds. For a longer run by hand, CROCUSWIND_SEEDS sets their number,
// CROCUSWIND_FIRST_SEED the first, CROCUSWIND_ENTRY_HOST the program of another build, and
// CROCUSWIND_LOGS a folder for the logs of the hosts.

#include "standin/platform_process.h"
#include "standin/platform_site.h"
#include "standin/restarting_worker.h"

#include <algorithm>
#include <cstdlib>
#include <fmt/format.h>
#include <gtest/gtest.h>

using namespace crocuswind;
using namespace crocuswind::standin;
using json = nlohmann::json;

namespace {

constexpr int hostCount = 3;
constexpr int workerCount = 12;
constexpr std::size_t tasksPerWorker = 8;
/// Workers that are dark, back and cut off together in a round.
constexpr std::size_t workersPerRound = 4;
constexpr int rounds = 2;
constexpr duration roundInterval = 14500ms;
constexpr duration jobInterval = 900ms;
/// Jobs that come while workers are dark.
constexpr int jobsInTheDark = 3;
constexpr duration shortRun = 1500ms;
constexpr duration longRun = 12s;
constexpr int lastingJobs = 2;
constexpr int tasksPerJob = 6;
constexpr duration waitLimit = 90s;
constexpr duration submitRetryInterval = 100ms;

/// Names of lasting jobs begin with this, those of finite ones with 0.
const std::string lastingPrefix = "c";

std::string textFrom(const char *variable, const std::string &usual)
{
    const char *const text = std::getenv(variable);
    return text == nullptr ? usual : text;
}

bool isLasting(const std::string &task)
{
    return task.rfind(lastingPrefix, 0) == 0;
}

std::optional<duration> runTimeOf(const std::string &task)
{
    if (isLasting(task))
        return std::nullopt;
    return (task.back() - '0') % 3 == 0 ? shortRun : longRun;
}

/// What happens to the hosts between the return of the workers and their cut.
enum class host_trouble { none, one_killed, all_killed, one_paused };

/// A site of real entry hosts that is played with one seed.
class recut_site
{
public:
    explicit recut_site(int seed)
        : m_random(std::uint64_t(seed))
        , m_seed(seed)
        , m_store(m_loop)
        , m_client(m_loop, http_client_settings())
    {
        m_store.put("op/config", oneQueueConfiguration());
        for (int i = 0; i < workerCount; ++i)
            m_workers.push_back(std::make_unique<restarting_worker>(m_loop, fmt::format("i-{}", i),
                                                                    m_store, m_audit, runTimeOf));
        const std::string program
            = textFrom("CROCUSWIND_ENTRY_HOST", std::string(CROCUSWIND_BIN) + "/crocuswindd");
        for (int i = 0; i < hostCount; ++i) {
            m_hosts.push_back(std::make_unique<platform_process>(
                m_loop, fmt::format("host-{}-{}", seed, i), m_store.address(), program));
            startHost(*m_hosts.back());
        }
    }

    /// Returns false if the site does not come up.
    bool start()
    {
        for (int i = 0; i < lastingJobs; ++i)
            submit(true);
        return waitUntil([this] { return runningLastingTasks() == lastingTasks(); });
    }

    void play()
    {
        const instant begin = m_loop.now();
        for (instant time = begin; time < begin + rounds * roundInterval; time += jobInterval)
            m_loop.callAt(time, [this] { submit(false); });
        for (int round = 0; round < rounds; ++round)
            m_loop.callAt(begin + 4s + round * roundInterval, [this] { recut(); });
        m_loop.runUntil([] { return false; }, rounds * roundInterval + 4s);
    }

    /// Returns whether all finite jobs are completed and all lasting tasks run.
    bool recovers()
    {
        return waitUntil([this] {
            return m_accepted.size() == std::size_t(m_jobs) && areCompleted()
                && runningLastingTasks() == lastingTasks();
        });
    }

    const run_audit &audit() const { return m_audit; }

private:
    duration between(duration low, duration high)
    {
        return low + std::chrono::duration_cast<duration>((high - low) * m_random.fraction());
    }

    bool waitUntil(const std::function<bool()> &condition)
    {
        return m_loop.runUntil(condition, waitLimit);
    }

    std::size_t lastingTasks() const { return std::size_t(lastingJobs) * tasksPerJob; }
    std::size_t runningLastingTasks() const { return m_audit.running(lastingPrefix); }

    void startHost(platform_process &host) const
    {
        const std::string folder = textFrom("CROCUSWIND_LOGS", "");
        host.start(folder.empty() ? "/dev/null" : fmt::format("{}/{}.log", folder, host.name()));
    }

    // Submits a job, at one host after the other until one accepts it.
    void submit(bool lasts)
    {
        const std::string name = fmt::format("{}{:015x}", lasts ? lastingPrefix : "0", m_jobs++);
        const json step = {{"count", tasksPerJob},
                           {"cpu", 1000},
                           {"memMb", 100},
                           {"estimateMs", 8000},
                           {"longRunning", lasts}};
        const json job = {{"spec", "work of " + name}, {"steps", json::array({step})}};
        send("POST", name, job.dump(), [this, name](const http_result &result) {
            if (result.status == 200)
                m_accepted.insert(name);
            return result.status == 200;
        });
    }

    // Sends a call to one host after the other until \p handle returns true.
    void send(const std::string &method, const std::string &job, const std::string &body,
              const std::function<bool(const http_result &)> &handle)
    {
        http_call call;
        call.to = m_hosts[m_nextHost++ % m_hosts.size()]->callers();
        call.method = method;
        call.path = "/q/" + job;
        call.headers = {{"Host", "jobs.example"}, {"Deadline-Ms", "3000"}};
        call.body = body;
        call.deadline = m_loop.now() + 3s;
        m_client.send(std::move(call), [=](const http_result &result) {
            if (handle(result))
                return;
            m_loop.callAt(m_loop.now() + submitRetryInterval,
                          [=] { send(method, job, body, handle); });
        });
    }

    // Asks for the state of each finite job that is not known to be completed. Returns whether all
    // are.
    bool areCompleted()
    {
        bool areAll = true;
        for (const std::string &job : m_accepted) {
            const bool isOpen = !isLasting(job) && m_completed.count(job) == 0;
            areAll = areAll && !isOpen;
            if (!isOpen || !m_asked.insert(job).second)
                continue;
            send("GET", job, "", [this, job](const http_result &result) {
                const json body = json::parse(result.body, nullptr, false);
                const bool isCompleted = result.status == 200 && body.is_object()
                    && body.value("state", "") == "completed";
                if (isCompleted)
                    m_completed.insert(job);
                return isCompleted;
            });
        }
        return areAll;
    }

    // Some workers are dark, restart meanwhile, are back for a short time and then cut off.
    void recut()
    {
        const instant dark = m_loop.now();
        const duration darkTime = between(300ms, 1000ms);
        const duration gap = between(200ms, 1500ms);
        const instant back = dark + darkTime;
        m_chosen = workersWithRoom();
        setReach(worker_reach::dark);
        for (int i = 0; i < jobsInTheDark; ++i)
            m_loop.callAt(dark + between(0ms, darkTime), [this] { submit(false); });
        m_loop.callAt(dark + darkTime / 2, [this] {
            for (restarting_worker *worker : m_chosen)
                worker->restart();
        });
        m_loop.callAt(back, [this] { setReach(worker_reach::connected); });
        m_loop.callAt(back + between(0ms, gap), [this] { troubleHosts(); });
        m_loop.callAt(back + gap, [this] { setReach(worker_reach::cut_off); });
        m_loop.callAt(back + gap + between(8500ms, 9500ms),
                      [this] { setReach(worker_reach::connected); });
    }

    void setReach(worker_reach reach)
    {
        for (restarting_worker *worker : m_chosen)
            worker->setReach(reach);
    }

    // Returns the fullest workers that have room. The next tasks start there.
    std::vector<restarting_worker *> workersWithRoom() const
    {
        std::vector<restarting_worker *> chosen;
        for (const auto &worker : m_workers) {
            if (m_audit.runsOn(worker->id()) < tasksPerWorker)
                chosen.push_back(worker.get());
        }
        std::sort(chosen.begin(), chosen.end(), [this](const auto *a, const auto *b) {
            return m_audit.runsOn(a->id()) > m_audit.runsOn(b->id());
        });
        chosen.resize(std::min(chosen.size(), workersPerRound));
        return chosen;
    }

    void troubleHosts()
    {
        constexpr host_trouble kinds[]
            = {host_trouble::all_killed, host_trouble::one_killed, host_trouble::all_killed,
               host_trouble::one_paused, host_trouble::none};
        const host_trouble kind = kinds[std::size_t(m_seed + m_round++) % std::size(kinds)];
        platform_process &one = *m_hosts[m_random.below(m_hosts.size())];
        if (kind == host_trouble::one_killed)
            restartHost(one);
        if (kind == host_trouble::all_killed) {
            for (const auto &host : m_hosts)
                host->kill();
            for (const auto &host : m_hosts)
                startHost(*host);
        }
        if (kind == host_trouble::one_paused) {
            one.pause();
            m_loop.callAt(m_loop.now() + between(1500ms, 5s), [&one] { one.resume(); });
        }
    }

    void restartHost(platform_process &host) const
    {
        host.kill();
        startHost(host);
    }

    seeded_random m_random;
    int m_seed;
    int m_round = 0;
    event_loop m_loop;
    platform_store m_store;
    run_audit m_audit;
    std::vector<std::unique_ptr<restarting_worker>> m_workers;
    std::vector<restarting_worker *> m_chosen; ///< Those of the present round.
    std::vector<std::unique_ptr<platform_process>> m_hosts;
    http_client m_client;
    std::size_t m_nextHost = 0;
    int m_jobs = 0;
    std::set<std::string> m_accepted;
    std::set<std::string> m_asked;
    std::set<std::string> m_completed;
};

} // namespace

TEST(PlatformRecutSoak, RunsNoTaskTwiceAndLosesNone)
{
    constexpr const char *seedsInCi = "2";
    const int first = std::stoi(textFrom("CROCUSWIND_FIRST_SEED", "1"));
    const int seeds = std::stoi(textFrom("CROCUSWIND_SEEDS", seedsInCi));
    for (int seed = first; seed < first + seeds; ++seed) {
        recut_site site(seed);
        ASSERT_TRUE(site.start()) << "seed " << seed;
        site.play();
        EXPECT_TRUE(site.recovers()) << "seed " << seed;
        EXPECT_EQ(site.audit().violations(), std::vector<std::string>()) << "seed " << seed;
        EXPECT_GT(site.audit().misdirected(), 0) << "seed " << seed;
        fmt::print("seed {}: {} starts, {} commands carried out by a later life, {} violations\n",
                   seed, site.audit().starts(), site.audit().misdirected(),
                   site.audit().violations().size());
    }
}
