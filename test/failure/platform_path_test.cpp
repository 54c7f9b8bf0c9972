// End-to-end test of the platform adapter, against faults that appear only when the parts work
// together. Real hosts on loopback accept jobs, run them on workers, lose their owner and the
// store, and shut down gracefully.

#include "standin/child_process.h"
#include "standin/platform_site.h"

#include <csignal>
#include <cstdio>
#include <fmt/format.h>
#include <fstream>
#include <gtest/gtest.h>
#include <unistd.h>

using namespace crocuswind;
using namespace crocuswind::standin;
using json = nlohmann::json;

namespace {

constexpr duration waitLimit = 60s;

/// Returns a loopback port that was free when it was probed.
int freePort(event_loop &loop)
{
    http_server probe(loop, http_server_settings(), [](const auto &, const auto &) {});
    return probe.listen({"127.0.0.1", 0})->port;
}

struct platform_path : testing::Test
{
    struct host
    {
        std::string name;
        ip_endpoint callers;
        ip_endpoint ready;
        std::string settings;
        std::unique_ptr<child_process> process;
    };

    platform_path()
        : store(loop)
        , client(loop, http_client_settings())
    {
        for (int i = 0; i < 3; ++i) {
            workers.push_back(
                std::make_unique<platform_worker>(loop, fmt::format("i-{}", i), 300ms));
            store.put("servers/" + workers.back()->id(), workers.back()->entry());
        }
        store.put("servers/odd", {{"service", 7}});
        store.put("op/config", oneQueueConfiguration());
    }

    ~platform_path() override
    {
        for (const host &h : hosts)
            std::remove(h.settings.c_str());
    }

    void startHost()
    {
        host h;
        h.name = fmt::format("host-{}", hosts.size());
        h.callers = {"127.0.0.1", std::uint16_t(freePort(loop))};
        h.ready = {"127.0.0.1", std::uint16_t(freePort(loop))};
        h.settings = fmt::format("{}crocuswind-{}-{}.conf", testing::TempDir(), getpid(), h.name);
        const int peers = freePort(loop);
        std::ofstream(h.settings) << fmt::format(
            "node={}\nip=127.0.0.1\nzone=a\nlisten.front={}\nlisten.ready={}\n"
            "portRange={},{}\nplatform.address={}\nlimits.cpuShare=1\n",
            h.name, toString(h.callers), toString(h.ready), peers, peers + 1, store.address());
        h.process = std::make_unique<child_process>(
            std::string(CROCUSWIND_BIN) + "/crocuswindd", std::vector<std::string>{},
            std::vector<std::string>{"CROCUSWIND_NODE_FILE=" + h.settings});
        hosts.push_back(std::move(h));
    }

    http_result call(const ip_endpoint &to, const std::string &method, const std::string &path,
                     const std::string &body = {})
    {
        http_call c;
        c.to = to;
        c.method = method;
        c.path = path;
        c.headers = {{"Host", "jobs.example"}, {"Deadline-Ms", "5000"}};
        c.body = body;
        c.deadline = loop.now() + 6s;
        http_result result;
        bool isDone = false;
        client.send(std::move(c), [&](http_result r) {
            result = std::move(r);
            isDone = true;
        });
        loop.runUntil([&] { return isDone; }, waitLimit);
        return result;
    }

    bool isReady(const host &h) { return call(h.ready, "GET", "/ready").status == 200; }

    bool becomesReady(const host &h)
    {
        return eventually([&] { return isReady(h); });
    }

    bool eventually(const std::function<bool()> &condition)
    {
        const instant until = loop.now() + waitLimit;
        while (loop.now() < until) {
            if (condition())
                return true;
            loop.runUntil([] { return false; }, 20ms);
        }
        return false;
    }

    int submit(const host &h, const std::string &job)
    {
        return call(h.callers, "POST", "/q/" + job,
                    R"({"spec":"x","steps":[{"count":4,"cpu":1000,"memMb":100,"estimateMs":300},)"
                    R"({"count":2,"cpu":1000,"memMb":100,"estimateMs":300,"after":[0]}]})")
            .status;
    }

    std::string state(const host &h, const std::string &job)
    {
        const http_result result = call(h.callers, "GET", "/q/" + job);
        const json body = json::parse(result.body, nullptr, false);
        return result.status == 200 && body.is_object() ? body.value("state", "") : "";
    }

    bool completes(const host &h, const std::string &job)
    {
        return eventually([&] { return state(h, job) == "completed"; });
    }

    // Writes malformed entries, as another program might, under keys that begin with \p prefix.
    void putMalformedEntries(const std::string &prefix)
    {
        const json validEntry = workers[0]->entry();
        const auto with = [&](const char *field, const json &value) {
            json entry = validEntry;
            entry[json::json_pointer(field)] = value;
            return entry.dump();
        };
        std::string tooLarge = with("/capacity/cpu", "PLACE");
        tooLarge.replace(tooLarge.find("\"PLACE\""), 7, "1e400");
        const std::string bodies[] = {"",
                                      "\xff\xfe",
                                      std::string(500000, '['),
                                      tooLarge,
                                      with("/capacity/cpu", 1e300),
                                      with("/capacity/memMb", -1),
                                      with("/address", "127.0.0.1:65536"),
                                      with("/address", "127.0.0.1:0"),
                                      with("/born", 1e300),
                                      with("/state", "odd"),
                                      with("/labels", 7)};
        int number = 0;
        for (const std::string &body : bodies)
            store.putBytes(fmt::format("{}{}", prefix, number++), body);
        store.putBytes(prefix + "\r\nX: y", validEntry.dump());
        store.putBytes(prefix + "/", validEntry.dump());
    }

    int startsOf(const std::string &job) const
    {
        int sum = 0;
        for (const auto &worker : workers) {
            for (const auto &[task, starts] : worker->starts())
                sum += task.rfind(job, 0) == 0 ? starts : 0;
        }
        return sum;
    }

    // Returns how many tasks of the job were started on the worker.
    int startsOn(std::size_t worker, const std::string &job) const
    {
        int sum = 0;
        for (const auto &[task, starts] : workers[worker]->starts())
            sum += task.rfind(job, 0) == 0 ? starts : 0;
        return sum;
    }

    // Moves a worker to another data centre than that of the others.
    void moveTo(const std::string &dataCentre, std::size_t worker)
    {
        json entry = workers[worker]->entry();
        entry["zone"] = dataCentre;
        store.put("servers/" + workers[worker]->id(), entry);
    }

    // Waits until the host knows that this number of data centres is evacuated.
    bool knowsEvacuations(const host &h, int count)
    {
        const std::string line = fmt::format("crocuswind_evacuated_data_centres {}", count);
        return eventually(
            [&] { return call(h.ready, "GET", "/metrics").body.find(line) != std::string::npos; });
    }

    event_loop loop;
    platform_store store;
    std::vector<std::unique_ptr<platform_worker>> workers;
    http_client client;
    std::vector<host> hosts;
};

const char *const jobA = "00000000000000aa";
const char *const jobB = "00000000000000bb";

} // namespace

TEST_F(platform_path, JobsRunOnceWhicheverHostAcceptsThem)
{
    startHost();
    startHost();
    ASSERT_TRUE(becomesReady(hosts[0]) && becomesReady(hosts[1]));
    EXPECT_EQ(submit(hosts[0], jobA), 200);
    EXPECT_EQ(submit(hosts[1], jobA), 200);
    EXPECT_EQ(submit(hosts[1], jobB), 200);
    EXPECT_TRUE(completes(hosts[1], jobA));
    EXPECT_TRUE(completes(hosts[0], jobB));
    EXPECT_EQ(startsOf(jobA), 6);
    EXPECT_EQ(startsOf(jobB), 6);
    EXPECT_EQ(call(hosts[0].callers, "GET", "/q/00000000000000cc").status, 410);
    EXPECT_EQ(call(hosts[0].callers, "GET", "/other/").status, 404);
    EXPECT_EQ(call(hosts[0].callers, "POST", "/q/" + std::string(jobA) + "0", "{}").status, 400);
}

TEST_F(platform_path, AJobSurvivesTheDeathOfItsOwner)
{
    startHost();
    ASSERT_TRUE(becomesReady(hosts[0]));
    ASSERT_EQ(submit(hosts[0], jobA), 200);
    hosts[0].process->signal(SIGKILL);
    startHost();
    ASSERT_TRUE(becomesReady(hosts[1]));
    EXPECT_TRUE(completes(hosts[1], jobA));
    EXPECT_EQ(startsOf(jobA), 6);
}

TEST_F(platform_path, AStoppedOwnerHandsOverAndExitsByItself)
{
    startHost();
    ASSERT_TRUE(becomesReady(hosts[0]));
    startHost();
    ASSERT_TRUE(becomesReady(hosts[1]));
    ASSERT_EQ(submit(hosts[0], jobA), 200);
    hosts[0].process->signal(SIGTERM);
    EXPECT_EQ(submit(hosts[1], jobB), 200);
    EXPECT_TRUE(completes(hosts[1], jobA));
    EXPECT_TRUE(completes(hosts[1], jobB));
    EXPECT_TRUE(eventually([&] { return hosts[0].process->hasEnded(); }));
    EXPECT_EQ(hosts[0].process->wait(), 0);
    EXPECT_EQ(startsOf(jobA), 6);
}

// An owner that was stopped resigned although no other host could succeed it, and calls waited for
// an owner that no host might become.
TEST_F(platform_path, AStoppedOwnerServesOnUntilAnotherHostCanSucceedIt)
{
    startHost();
    ASSERT_TRUE(becomesReady(hosts[0]));
    ASSERT_EQ(submit(hosts[0], jobB), 200);
    hosts[0].process->signal(SIGTERM);
    ASSERT_TRUE(eventually([&] { return !isReady(hosts[0]); }));
    EXPECT_EQ(submit(hosts[0], jobA), 200);
    startHost();
    ASSERT_TRUE(becomesReady(hosts[1]));
    EXPECT_TRUE(completes(hosts[1], jobA));
    EXPECT_TRUE(eventually([&] { return hosts[0].process->hasEnded(); }));
    EXPECT_EQ(hosts[0].process->wait(), 0);
    EXPECT_EQ(startsOf(jobA), 6);
}

// A host that was elected and stopped before it had read the records ended with the owner's key in
// the store, and no other host could become the owner until its lease had expired.
TEST_F(platform_path, AStoppedHostThatNeverServedLeavesNoOwnerKey)
{
    const auto hasOwnerKey = [&] {
        const auto keys = store.keys("cw/owner");
        return std::find(keys.begin(), keys.end(), "cw/owner") != keys.end();
    };
    store.refuseRange("cw/");
    startHost();
    ASSERT_TRUE(eventually(hasOwnerKey));
    hosts[0].process->signal(SIGTERM);
    ASSERT_TRUE(eventually([&] { return hosts[0].process->hasEnded(); }));
    EXPECT_FALSE(hasOwnerKey());
    EXPECT_EQ(hosts[0].process->wait(), 0);
}

// A host that stops ended with calls that waited for an owner, or before their refusals were
// written.
TEST_F(platform_path, AStoppedHostAnswersAllCallsWithoutAnOwner)
{
    startHost();
    ASSERT_TRUE(becomesReady(hosts[0]));
    startHost();
    ASSERT_TRUE(becomesReady(hosts[1]));
    hosts[0].process->signal(SIGKILL);
    hosts[1].process->signal(SIGTERM);
    // Calls arrive until the process accepts none any more.
    std::vector<std::optional<http_result>> results(40);
    for (std::size_t i = 0; i < results.size(); ++i) {
        http_call c;
        c.to = hosts[1].callers;
        c.method = "GET";
        c.path = "/q/" + std::string(jobA);
        c.headers = {{"Host", "jobs.example"}, {"Deadline-Ms", "5000"}};
        c.deadline = loop.now() + 10s;
        client.send(std::move(c), [&results, i](const http_result &r) { results[i] = r; });
        loop.runUntil([] { return false; }, 50ms);
    }
    const auto isAnswered = [](const auto &result) { return result.has_value(); };
    EXPECT_TRUE(
        eventually([&] { return std::all_of(results.begin(), results.end(), isAnswered); }));
    for (const auto &result : results) {
        const bool isRefused = result->outcome == http_outcome::not_connected;
        EXPECT_TRUE(isRefused || result->status == 503) << result->status;
    }
    EXPECT_TRUE(eventually([&] { return hosts[1].process->hasEnded(); }));
}

// A malformed entry used to crash the process that read it, or made it stop following the list.
TEST_F(platform_path, MalformedEntriesDoNotAffectOtherWorkers)
{
    putMalformedEntries("servers/a-");
    startHost();
    ASSERT_TRUE(becomesReady(hosts[0]));
    ASSERT_EQ(submit(hosts[0], jobA), 200);
    putMalformedEntries("servers/z-");
    // Also overwrites the entries of two workers, which are restored below.
    store.putBytes("servers/i-0", std::string(500000, '['));
    json future = workers[1]->entry();
    future["born"] = 99'000'000'000'000;
    store.put("servers/i-1", future);
    EXPECT_TRUE(completes(hosts[0], jobA));
    store.put("servers/i-0", workers[0]->entry());
    store.put("servers/i-1", workers[1]->entry());
    EXPECT_EQ(submit(hosts[0], jobB), 200);
    EXPECT_TRUE(completes(hosts[0], jobB));
    EXPECT_EQ(startsOf(jobA), 6);
    EXPECT_EQ(startsOf(jobB), 6);
    EXPECT_FALSE(hosts[0].process->hasEnded());
}

TEST_F(platform_path, WithoutTheStoreJobsAreRefusedAndLaterAccepted)
{
    startHost();
    ASSERT_TRUE(becomesReady(hosts[0]));
    // Gives the host time to commit its list of workers. Otherwise the store might refuse that
    // commit instead of the job's.
    loop.runUntil([] { return false; }, 1s);
    store.setRefusing(true);
    EXPECT_TRUE(eventually([&] { return submit(hosts[0], jobB) == 503; }));
    store.setRefusing(false);
    EXPECT_TRUE(eventually([&] { return submit(hosts[0], jobB) == 200; }));
    EXPECT_TRUE(completes(hosts[0], jobB));
    EXPECT_EQ(startsOf(jobB), 6);
}

// The operator's key was read by no code, so that tasks went on starting where the operator asked
// for none.
TEST_F(platform_path, NoTaskStartsInADataCentreThatTheOperatorEvacuates)
{
    moveTo("b", 0);
    moveTo("b", 1);
    store.put("op/evacuate/b", json::object());
    startHost();
    ASSERT_TRUE(becomesReady(hosts[0]));
    ASSERT_TRUE(knowsEvacuations(hosts[0], 1));
    ASSERT_EQ(submit(hosts[0], jobA), 200);
    EXPECT_TRUE(completes(hosts[0], jobA));
    EXPECT_EQ(startsOn(2, jobA), 6);

    store.put("op/evacuate/a", json::object());
    ASSERT_TRUE(knowsEvacuations(hosts[0], 2));
    ASSERT_EQ(submit(hosts[0], jobB), 200);
    EXPECT_EQ(state(hosts[0], jobB), "queued");
    store.remove("op/evacuate/b");
    EXPECT_TRUE(completes(hosts[0], jobB));
    EXPECT_EQ(startsOn(0, jobB) + startsOn(1, jobB), 6);
    EXPECT_EQ(startsOn(2, jobB), 0);
}

// The host learns that the evacuation is over when it reads all keys again.
TEST_F(platform_path, AnEvacuationEndsAlsoIfNoWatchReportsTheRemovalOfItsKey)
{
    startHost();
    ASSERT_TRUE(becomesReady(hosts[0]));
    store.put("op/evacuate/a", json::object());
    ASSERT_TRUE(knowsEvacuations(hosts[0], 1));
    ASSERT_EQ(submit(hosts[0], jobA), 200);
    EXPECT_EQ(state(hosts[0], jobA), "queued");
    store.removeUnseen("op/evacuate/a");
    EXPECT_TRUE(completes(hosts[0], jobA));
    EXPECT_TRUE(knowsEvacuations(hosts[0], 0));
    EXPECT_EQ(startsOf(jobA), 6);
}

// A new owner reads the evacuations and the queues at once, and inherits work.
TEST_F(platform_path, ANewOwnerStartsNothingInAnEvacuatedDataCentre)
{
    startHost();
    ASSERT_TRUE(becomesReady(hosts[0]));
    store.put("op/evacuate/a", json::object());
    ASSERT_TRUE(knowsEvacuations(hosts[0], 1));
    ASSERT_EQ(submit(hosts[0], jobA), 200);
    hosts[0].process->signal(SIGKILL);
    startHost();
    ASSERT_TRUE(becomesReady(hosts[1]));
    EXPECT_TRUE(eventually([&] { return state(hosts[1], jobA) == "queued"; }));
    moveTo("b", 2);
    EXPECT_TRUE(completes(hosts[1], jobA));
    EXPECT_EQ(startsOn(2, jobA), 6);
    EXPECT_EQ(startsOf(jobA), 6);
}
