/// Defines a stand-in for a runner, as PROTOCOL.md describes it.
#ifndef CROCUSWIND_REVIEW_STAGE_2_RUNNER_H
#define CROCUSWIND_REVIEW_STAGE_2_RUNNER_H

#include "record.h"
#include "store.h"

#include <condition_variable>
#include <nlohmann/json.hpp>

namespace review {

/// One run of a task on a runner.
struct task_run
{
    int run = 0;
    steady::time_point startedAt;
    steady::time_point endsAt;
    std::optional<steady::time_point> stopsAt;
    int pacePercent = 100;
};

/// A start of a task that a runner has carried out.
struct task_start
{
    std::string runner;
    std::string task;
    int run = 0;
    std::size_t running = 0; ///< Runs on the runner, with this one.
    int milliCores = 0; ///< Room of the runner.
};

/// What a case decides about the tasks, and what it wants to know. The functions are called with
/// the runner locked.
class runner_events
{
public:
    virtual ~runner_events() = default;
    /// Returns how long the task works.
    virtual std::chrono::milliseconds duration(const std::string &task) = 0;
    virtual void onStart(const task_start &start) = 0;
    /// An order to stop the run has arrived.
    virtual void onStopOrder(const std::string &runner, const std::string &task, int run) = 0;
    virtual void onEnd(const std::string &runner, const std::string &task, int run,
                       const std::string &how)
        = 0;
    /// An acknowledgement has reached the end of the run.
    virtual void onAcknowledged(const std::string &runner, const std::string &task, int run,
                                const std::string &how)
        = 0;
    /// Returns how much later an order to pace is carried out, without an answer; 0 for at once.
    virtual std::chrono::milliseconds delayOfPace(int percent)
    {
        (void)percent;
        return 0ms;
    }

    /// Returns the percent and the measurement of a row of `running`.
    virtual std::pair<int, std::int64_t> measure(const std::string &runner, const std::string &task,
                                                 const std::map<std::string, task_run> &running)
        = 0;
};

/// Carries out orders, and checks in with the store.
class runner
{
public:
    runner(std::string id, std::string kind, int milliCores, kv_store &store, case_record &record,
           runner_events &events)
        : m_id(std::move(id))
        , m_kind(std::move(kind))
        , m_milliCores(milliCores)
        , m_store(store)
        , m_record(record)
        , m_events(events)
        , m_server([this](const http_request &request) { return handle(request); })
    {
        beginLife();
        std::thread([this] { work(); }).detach();
        std::thread([this] { checkIn(); }).detach();
    }

    /// Cuts the runner off from all other machines.
    void cut()
    {
        m_server.cut();
        m_record.note("cut " + m_id);
    }

    /// The process crashes, with all its runs, and starts again at once under its id. Behind a cut
    /// nobody sees the end of its connections. The new life has room of its own.
    void restart(int milliCores)
    {
        const std::lock_guard lock(m_mutex);
        m_milliCores = milliCores;
        beginLife();
        m_hasRestarted = true;
        m_record.note("restarted " + m_id);
        m_changed.notify_all();
    }

    /// Ends the cut.
    void heal()
    {
        m_server.heal(m_hasRestarted);
        m_hasRestarted = false;
        m_record.note("healed " + m_id);
    }

    /// A new life checks in before its machine is cut off again.
    void checkInNow()
    {
        m_store.put("servers/" + m_id, entry());
        m_record.note("check-in " + m_id + " by a life that is lost right after");
    }

    /// Waits until the next look of an owner, which is answered at once.
    void waitForHold()
    {
        std::unique_lock lock(m_mutex);
        const std::int64_t seen = m_holds;
        m_changed.wait(lock, [&] { return m_holds != seen; });
    }

private:
    struct ended_run
    {
        std::int64_t number = 0;
        std::string task;
        int run = 0;
        std::string how;
    };

    void beginLife()
    {
        ++m_life;
        m_startedAt = steady::now();
        m_nextCheckIn = m_startedAt;
        m_born = std::chrono::duration_cast<std::chrono::milliseconds>(
                     std::chrono::system_clock::now().time_since_epoch())
                     .count();
        m_fence = 0;
        m_deadlineMs = 0;
        m_lastNumber = 0;
        m_running.clear();
        m_ended.clear();
        m_highestRun.clear();
    }

    std::int64_t clockMs() const
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(steady::now() - m_startedAt)
            .count();
    }

    json entry()
    {
        const std::lock_guard lock(m_mutex);
        return {{"service", "clocks"},
                {"address", "127.0.0.1:" + std::to_string(m_server.port())},
                {"zone", "zone-a"},
                {"version", "v1"},
                {"slots", 8},
                {"state", "ready"},
                {"coldLeftMs", 0},
                {"capacity", {{"cpu", m_milliCores}, {"memMb", 64000}, {"gpu", 0}}},
                {"labels", {m_kind, "rack-1"}},
                {"clockMs", clockMs()},
                {"born", m_born},
                {"seq", ++m_sequence}};
    }

    // Checks in when a life begins and at each heartbeat after. Behind a cut a check-in is lost.
    void checkIn()
    {
        constexpr auto heartbeat = 1500ms;
        while (true) {
            std::this_thread::sleep_for(5ms);
            {
                const std::lock_guard lock(m_mutex);
                if (steady::now() < m_nextCheckIn)
                    continue;
                m_nextCheckIn += heartbeat;
            }
            if (!m_server.isCut()) {
                m_store.put("servers/" + m_id, entry());
                m_record.note("check-in " + m_id);
            }
        }
    }

    // Ends the runs that are due or whose lease has expired.
    void work()
    {
        while (true) {
            std::this_thread::sleep_for(5ms);
            const std::lock_guard lock(m_mutex);
            const auto now = steady::now();
            const bool hasLapsed = clockMs() > m_deadlineMs;
            const auto running = m_running;
            for (const auto &[task, run] : running) {
                if (hasLapsed)
                    end(task, "lapsed");
                else if (run.stopsAt && *run.stopsAt <= now)
                    end(task, "stopped");
                else if (run.endsAt <= now)
                    end(task, "done");
            }
        }
    }

    void end(const std::string &task, const std::string &how)
    {
        const int run = m_running.at(task).run;
        m_running.erase(task);
        m_highestRun[task] = std::max(m_highestRun[task], run);
        m_ended.push_back({++m_lastNumber, task, run, how});
        m_record.note("end " + m_id + " " + task + " run " + std::to_string(run) + " " + how
                      + " number " + std::to_string(m_lastNumber));
        m_events.onEnd(m_id, task, run, how);
        m_changed.notify_all();
    }

    std::optional<http_response> handle(const http_request &request)
    {
        const json body = json::parse(request.body);
        const std::int64_t token = body.value("fencingToken", std::int64_t(0));
        std::unique_lock lock(m_mutex);
        const auto expected = request.headers.find("expect-instance");
        if (expected != request.headers.end() && expected->second != m_id)
            return answer(421, {});
        if (token < m_fence)
            return answer(409, {{"reason", "fence"}});
        m_fence = token;
        if (request.path == "/hold")
            return hold(body, lock);
        if (request.path == "/run-start")
            return start(body);
        if (request.path == "/run-stop")
            return stop(body);
        if (request.path == "/pace")
            return paceInTime(body);
        return answer(404, {});
    }

    http_response answer(int status, json body) const
    {
        body["clockMs"] = clockMs();
        return {status, body.dump()};
    }

    void extendLease(const json &body)
    {
        constexpr std::int64_t holdMaxMs = 10000;
        if (body.contains("deadlineMs"))
            m_deadlineMs = std::max(
                m_deadlineMs,
                std::min(body.at("deadlineMs").get<std::int64_t>(), clockMs() + holdMaxMs));
    }

    // "Ends up to `ackCursor` are forgotten. The others are returned again."
    void forget(std::int64_t cursor)
    {
        for (auto i = m_ended.begin(); i != m_ended.end() && i->number <= cursor;) {
            m_record.note("forgotten " + m_id + " " + i->task + " run " + std::to_string(i->run)
                          + " " + i->how + " number " + std::to_string(i->number) + " cursor "
                          + std::to_string(cursor));
            m_events.onAcknowledged(m_id, i->task, i->run, i->how);
            i = m_ended.erase(i);
        }
    }

    std::optional<http_response> hold(const json &body, std::unique_lock<std::mutex> &lock)
    {
        const std::int64_t cursor = body.value("ackCursor", std::int64_t(0));
        const auto until
            = steady::now() + std::chrono::milliseconds(body.value("waitMs", std::int64_t(0)));
        m_record.note("hold " + m_id + " " + body.dump());
        const int life = m_life;
        ++m_holds;
        m_changed.notify_all();
        extendLease(body);
        forget(cursor);
        while (m_ended.empty() && steady::now() < until) {
            m_changed.wait_until(lock, until);
            if (life != m_life)
                return std::nullopt;
            forget(cursor);
        }
        json running = json::array();
        for (const auto &[task, run] : m_running) {
            const auto [percent, measurement] = m_events.measure(m_id, task, m_running);
            running.push_back({task, run.run, "", percent, measurement});
        }
        json ended = json::array();
        for (const ended_run &e : m_ended)
            ended.push_back({e.number, e.task, e.run, e.how, ""});
        return answer(200, {{"born", m_born}, {"running", running}, {"ended", ended}});
    }

    http_response start(const json &body)
    {
        const std::string task = body.at("task");
        const int run = body.at("run");
        if (body.value("deadlineMs", std::int64_t(0)) < clockMs())
            return answer(409, {{"reason", "late"}});
        extendLease(body);
        const auto found = m_running.find(task);
        if (found != m_running.end() && found->second.run == run)
            return answer(200, {});
        if (run <= m_highestRun[task])
            return answer(409, {{"reason", "old"}});
        m_record.note("start " + m_id + " " + task + " run " + std::to_string(run));
        m_events.onStart({m_id, task, run, m_running.size() + 1, m_milliCores});
        task_run started;
        started.run = run;
        started.startedAt = steady::now();
        started.endsAt = started.startedAt + m_events.duration(task);
        m_running[task] = started;
        return answer(200, {});
    }

    http_response stop(const json &body)
    {
        constexpr auto stopTime = 150ms;
        const std::string task = body.at("task");
        const int run = body.at("run");
        m_highestRun[task] = std::max(m_highestRun[task], run);
        const auto found = m_running.find(task);
        if (found != m_running.end() && found->second.run == run && !found->second.stopsAt) {
            m_record.note("stop order " + m_id + " " + task + " run " + std::to_string(run));
            m_events.onStopOrder(m_id, task, run);
            found->second.stopsAt = steady::now() + stopTime;
        }
        return answer(200, {});
    }

    // "A call that receives no response may have been executed. It may also be executed seconds
    // later, after newer calls."
    std::optional<http_response> paceInTime(const json &body)
    {
        const auto delay = m_events.delayOfPace(body.at("percent"));
        if (delay == 0ms)
            return pace(body);
        m_record.note("late " + m_id + " " + body.dump());
        std::thread([this, body, delay] {
            std::this_thread::sleep_for(delay);
            const std::lock_guard lock(m_mutex);
            if (body.at("fencingToken").get<std::int64_t>() < m_fence)
                return;
            m_record.note("carried out late " + m_id + " " + body.dump());
            pace(body);
        }).detach();
        return std::nullopt;
    }

    http_response pace(const json &body)
    {
        const std::string task = body.at("task");
        const auto found = m_running.find(task);
        if (found != m_running.end() && found->second.run == body.at("run").get<int>()) {
            found->second.pacePercent = body.at("percent");
            m_record.note("pace " + m_id + " " + task + " "
                          + std::to_string(found->second.pacePercent));
        }
        return answer(200, {});
    }

    std::string m_id;
    std::string m_kind;
    int m_milliCores;
    kv_store &m_store;
    case_record &m_record;
    runner_events &m_events;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    int m_life = 0;
    std::atomic<bool> m_hasRestarted = false;
    steady::time_point m_startedAt;
    steady::time_point m_nextCheckIn;
    std::int64_t m_born = 0;
    std::int64_t m_fence = 0;
    std::int64_t m_deadlineMs = 0;
    std::int64_t m_lastNumber = 0;
    std::int64_t m_sequence = 0;
    std::int64_t m_holds = 0;
    std::map<std::string, task_run> m_running;
    std::vector<ended_run> m_ended;
    std::map<std::string, int> m_highestRun;
    http_server m_server; ///< The last member, because its threads use the others.
};

} // namespace review

#endif
