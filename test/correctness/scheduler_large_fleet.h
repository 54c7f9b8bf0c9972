/// A fleet of thousands of workers and an owner whose processor handles a bounded number of results
/// a second, in virtual time. Results wait in a queue, as they do in the sockets of a busy host.
#ifndef CROCUSWIND_TEST_SCHEDULER_LARGE_FLEET_H
#define CROCUSWIND_TEST_SCHEDULER_LARGE_FLEET_H

#include "correctness/job_submission.h"

#include <deque>
#include <fmt/format.h>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace crocuswind::scheduler {

struct large_fleet
{
    /// The commands of one owner.
    struct owner_ports final : scheduler_ports
    {
        owner_ports(large_fleet &f, std::int64_t milliCores)
            : fleet(f)
            , core(settingsFor(milliCores), *this)
        { }

        static scheduler_settings settingsFor(std::int64_t milliCores)
        {
            scheduler_settings settings;
            settings.milliCores = milliCores;
            return settings;
        }

        void start(const start_command &command) override
        {
            const auto outcome = fleet.carryOut(command);
            fleet.handleLater(fleet.now + wayThereAndBack, [this, command, outcome] {
                core.onStartResult(fleet.now, command, outcome);
            });
        }
        void poll(const poll_command &command) override
        {
            ++polls;
            const bool isRenewal = command.leaseUntilMs.has_value();
            hasRenewedLate = hasRenewedLate || (isRenewal && lastOtherPollAt == fleet.now);
            if (!isRenewal)
                lastOtherPollAt = fleet.now;
            const poll_result result = fleet.carryOut(command);
            const duration wait = std::chrono::milliseconds(command.waitMs);
            const auto isAnswered = std::make_shared<bool>(false);
            const auto answerAt = [&](duration after, const poll_result &answer) {
                fleet.handleLater(fleet.now + after, [this, command, answer, isAnswered] {
                    if (!std::exchange(*isAnswered, true))
                        core.onPollResult(fleet.now, command, answer);
                });
            };
            answerAt(wait + wayThereAndBack, result);
            fleet.failLater(fleet.now + wait + timeLimit, [this, command, isAnswered] {
                if (!std::exchange(*isAnswered, true))
                    core.onPollResult(fleet.now, command, poll_result());
            });
        }
        void stop(const stop_command &) override { ++stops; }
        void pace(const pace_command &) override { }
        void fenceEarlierCommands(const worker_id &) override { }
        void commit(commit_batch batch) override
        {
            for (const store_put &put : batch.puts)
                fleet.store[put.key] = put.value;
            fleet.handleLater(fleet.now + 20ms, [this] { core.onCommitted(fleet.now); });
        }
        void answer(const job_reply &) override { }
        void log(const std::string &, const std::string &) override { }
        bool shouldLogDetail() override { return false; }
        void logDetail(const std::string &, const std::string &) override { }

        large_fleet &fleet;
        scheduler_core core;
        std::int64_t polls = 0;
        std::int64_t stops = 0;
        instant lastOtherPollAt; ///< When a poll that renews no lease was sent last.
        bool hasRenewedLate = false; ///< A renewal was sent after such a poll of the same moment.
    };

    struct worker_state
    {
        std::map<task_name, int> runs;
        std::int64_t leaseUntilMs = 0;
    };

    static constexpr duration wayThereAndBack = 5ms;
    /// A command whose result was not handled by then counts as unanswered.
    static constexpr duration timeLimit = 1200ms;

    /// Elects a first owner. It handles \p resultsPerSecond.
    large_fleet(int workerCount, std::int64_t milliCores, int resultsPerSecond)
        : m_resultCost(duration(1s) / resultsPerSecond)
    {
        for (int i = 0; i < workerCount; ++i)
            workers[{fmt::format("w{:04}", i)}];
        elect(milliCores);
    }

    /// Another host owns the jobs from now on, under the next epoch. The former owner is gone.
    void elect(std::int64_t milliCores)
    {
        m_events.clear();
        m_backlog.clear();
        m_timeouts.clear();
        owner = std::make_unique<owner_ports>(*this, milliCores);
        queue_policy policy;
        policy.queue.value = "q";
        policy.service.value = "pool";
        owner->core.setQueues(now, {policy});
        earlier_authority authority;
        authority.limit(epoch, now + 5s);
        std::vector<stored_record> records;
        for (const auto &[key, value] : store)
            records.push_back({key, value});
        confirm();
        owner->core.takeOver(now, unixMs(), ++epoch, records, authority);
        for (const auto &[id, worker] : workers) {
            worker_info info;
            info.id = id;
            info.service = policy.service;
            info.capacity = {32000, 128000, 0};
            owner->core.onWorker(now, info);
        }
    }

    void submitLasting(const std::string &name, int tasks)
    {
        step_spec step;
        step.count = tasks;
        step.size = {1000, 100, 0};
        step.isContinuous = true;
        step.maxPerWorker = 1;
        owner->core.call(now, unixMs(), submissionOf(name, step));
    }

    void run(duration howLong)
    {
        for (const instant until = now + howLong; now < until; now += 1ms) {
            if ((now - instant()) % 200ms == duration::zero())
                confirm();
            for (; !m_events.empty() && m_events.begin()->first <= now;
                 m_events.erase(m_events.begin()))
                m_backlog.push_back(std::move(m_events.begin()->second));
            m_freeAt = std::max(m_freeAt, now - 1ms);
            for (; !m_backlog.empty() && m_freeAt <= now; m_freeAt += m_resultCost) {
                const auto handle = std::move(m_backlog.front());
                m_backlog.pop_front();
                handle();
            }
            for (; !m_timeouts.empty() && m_timeouts.begin()->first <= now;
                 m_timeouts.erase(m_timeouts.begin()))
                m_timeouts.begin()->second();
            // A busy loop runs its timers between two rounds of input.
            const bool isRoundOver = m_backlog.empty() || now >= m_lastTickAt + 20ms;
            if (isRoundOver && owner->core.nextWake() <= now) {
                m_lastTickAt = now;
                owner->core.tick(now, unixMs());
            }
            endLapsedRuns();
        }
    }

    std::size_t runningTasks() const
    {
        std::size_t count = 0;
        for (const auto &[id, worker] : workers)
            count += worker.runs.size();
        return count;
    }

    std::int64_t unixMs() const { return clockMs(); }

    instant now{1000s};
    std::map<worker_id, worker_state> workers;
    std::map<std::string, std::string> store;
    std::unique_ptr<owner_ports> owner;
    std::int64_t epoch = 0;
    int startsCarriedOut = 0;
    int lapses = 0;
    bool isListCurrent = true; ///< The owner hears of changes of the list of workers.

private:
    std::int64_t clockMs() const
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch())
            .count();
    }

    void handleLater(instant when, std::function<void()> handle)
    {
        m_events.emplace(when, std::move(handle));
    }

    void failLater(instant when, std::function<void()> fail)
    {
        m_timeouts.emplace(when, std::move(fail));
    }

    void confirm()
    {
        owner->core.setAuthority(now, now + 6500ms, now + 1s);
        if (isListCurrent)
            owner->core.onWorkersSynchronized(now, now);
    }

    command_result carryOut(const start_command &command)
    {
        worker_state &worker = workers.at(command.worker);
        worker.leaseUntilMs = std::max(worker.leaseUntilMs, command.leaseUntilMs);
        worker.runs[command.task] = command.run;
        ++startsCarriedOut;
        return {command_outcome::done, clockMs()};
    }

    poll_result carryOut(const poll_command &command)
    {
        worker_state &worker = workers.at(command.worker);
        worker.leaseUntilMs = std::max(worker.leaseUntilMs, command.leaseUntilMs.value_or(0));
        poll_result result;
        result.outcome = command_outcome::done;
        result.report.clockMs = clockMs();
        result.report.incarnationStartUnixMs = 1;
        for (const auto &[task, run] : worker.runs)
            result.report.running.push_back({task, run, "", 100, 0});
        return result;
    }

    void endLapsedRuns()
    {
        for (auto &[id, worker] : workers) {
            if (worker.runs.empty() || clockMs() < worker.leaseUntilMs)
                continue;
            lapses += int(worker.runs.size());
            worker.runs.clear();
        }
    }

    duration m_resultCost;
    instant m_freeAt; ///< When the owner has handled what it has begun.
    instant m_lastTickAt;
    std::multimap<instant, std::function<void()>> m_events;
    std::deque<std::function<void()>> m_backlog;
    std::multimap<instant, std::function<void()>> m_timeouts;
};

} // namespace crocuswind::scheduler

#endif
