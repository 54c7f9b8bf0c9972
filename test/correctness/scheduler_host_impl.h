/// Implementation of fake_host of scheduler_world.h; included only from there.
#ifndef CROCUSWIND_TEST_SCHEDULER_HOST_IMPL_H
#define CROCUSWIND_TEST_SCHEDULER_HOST_IMPL_H

#include "scheduler_world.h"

#include <algorithm>

namespace crocuswind::scheduler {

inline fake_host::fake_host(scheduler_world &world, std::string n)
    : name(std::move(n))
    , core(scheduler_settings(), *this)
    , confirmations(election_settings().authorityLimit)
    , m_world(world)
{ }

inline instant fake_host::authorityUntil() const
{
    return confirmationSentAt ? *confirmationSentAt + election_settings().authorityLimit
                              : instant();
}

inline void fake_host::log(const std::string &event, const std::string &fields)
{
    events.push_back(event);
    if (event == "task_absent")
        absences.push_back(fields);
    if (event == "job_waiting")
        waits.push_back(fields);
    if (event == "start")
        starts.push_back(fields);
}

inline void fake_host::logDetail(const std::string &event, const std::string &fields)
{
    log(event, fields);
}

// Delivers a command to its worker and the response back, subject to the injected faults.
template <class command_type, class executor, class receiver>
void fake_host::send(const command_type &command, executor execute, receiver deliver)
{
    const bool isDelayed = m_world.random.fraction() < m_world.delayedCommandRate;
    const bool isResponseLost = m_world.random.fraction() < m_world.lostResponseRate;
    const duration delay
        = isDelayed ? duration(2s + m_world.random.below(10000) * 1ms) : messageDelay;
    const instant bootedAt = m_world.workers.at(command.worker).bootedAt;
    const auto arrive = [this, command, execute, deliver, isDelayed, isResponseLost, bootedAt] {
        fake_worker &worker = m_world.workers.at(command.worker);
        const bool isRefused = !worker.isUp && worker.refusesConnections;
        const bool isHeld = !worker.isUp && !isRefused && m_world.holdsCommandsOfDownWorkers
            && unreachableWorkers.count(command.worker) == 0;
        if (isHeld)
            worker.heldCommands.push_back([execute, &worker] { execute(worker); });
        if ((!worker.isUp && !isRefused)
            || (unreachableWorkers.count(command.worker) != 0 && !isDelayed)
            || (isDelayed && worker.bootedAt != bootedAt
                && !m_world.delayedCommandsOutliveRestarts))
            return;
        const auto result = isRefused
            ? command_result{command_outcome::connection_refused, std::nullopt}
            : execute(worker);
        if (isDelayed || isResponseLost)
            return;
        m_world.at(m_world.now + messageDelay, [this, command, deliver, result] {
            if (!isDead && unreachableWorkers.count(command.worker) == 0)
                m_world.at(nextReadTime(), [deliver, result] { deliver(result); });
        });
    };
    m_world.at(m_world.now + delay, arrive);
}

// Sends a command and delivers exactly one result: the worker's response, or an empty result after
// the timeout.
template <class command_type>
void fake_host::sendOnce(const command_type &command,
                         void (scheduler_core::*handle)(instant, const command_type &,
                                                        const command_result &))
{
    const auto isAnswered = std::make_shared<bool>(false);
    const auto deliver = [this, command, handle, isAnswered](const command_result &result) {
        if (isDead || std::exchange(*isAnswered, true))
            return;
        (core.*handle)(m_world.now, command, result);
        scheduleTick();
    };
    const command_type sent = withToken(command);
    send(
        sent,
        [this, sent](fake_worker &worker) {
            return withoutFence(sent, m_world.execute(worker, sent));
        },
        deliver);
    m_world.at(m_world.now + responseTimeout, [this, deliver] {
        m_world.at(nextReadTime(), [deliver] { deliver(command_result()); });
    });
}

template <class command_type>
command_type fake_host::withToken(command_type command) const
{
    const auto generation = m_generations.find(command.worker);
    command.epoch = command.epoch * generationsPerEpoch
        + (generation == m_generations.end() ? 0 : generation->second);
    return command;
}

// A command that the worker refuses only because of a later fence of the same owner gets no answer.
template <class command_type>
command_result fake_host::withoutFence(const command_type &sent, const command_result &result) const
{
    const auto generation = m_generations.find(sent.worker);
    const bool isFenced = result.outcome == command_outcome::refused_stale_epoch
        && generation != m_generations.end()
        && sent.epoch % generationsPerEpoch != generation->second;
    return isFenced ? command_result() : result;
}

inline void fake_host::fenceEarlierCommands(const worker_id &worker)
{
    ++m_generations[worker];
}

inline void fake_host::start(const start_command &command)
{
    sendOnce(command, &scheduler_core::onStartResult);
}

inline void fake_host::stop(const stop_command &command)
{
    sendOnce(command, &scheduler_core::onStopResult);
}

inline void fake_host::pace(const pace_command &command)
{
    const duration delay = m_world.paceDelay(command);
    const auto execute = [this, sent = withToken(command)] {
        fake_worker &worker = m_world.workers.at(sent.worker);
        if (sent.epoch < worker.highestEpoch)
            return;
        worker.highestEpoch = sent.epoch;
        worker.pacePercents[sent.task] = sent.percent;
    };
    const bool isLate = delay > duration::zero();
    if (isLate)
        m_world.at(m_world.now + delay, execute);
    else
        execute();
    m_world.at(m_world.now + (isLate ? responseTimeout : 2 * messageDelay),
               [this, command, isLate] {
                   const auto outcome = isLate ? command_outcome::no_answer : command_outcome::done;
                   if (!isDead)
                       core.onPaceResult(m_world.now, command, {outcome, std::nullopt});
               });
}

inline void fake_host::poll(const poll_command &command)
{
    const auto isAnswered = std::make_shared<bool>(false);
    const auto deliver = [this, command, isAnswered](const poll_result &result) {
        if (isDead || std::exchange(*isAnswered, true))
            return;
        core.onPollResult(m_world.now, command, result);
        scheduleTick();
    };
    const instant waitsUntil = m_world.now + std::chrono::milliseconds(command.waitMs);
    m_world.at(m_world.now + messageDelay, [this, sent = withToken(command), deliver, waitsUntil] {
        respondToPoll(sent, m_world.workers.at(sent.worker).bootedAt, waitsUntil, deliver);
    });
    m_world.at(waitsUntil + responseTimeout, [this, deliver] {
        m_world.at(nextReadTime(), [deliver] { deliver(poll_result()); });
    });
}

// Long polling: the worker answers as soon as it has a completion to report, and at the latest when
// the poll's wait time is over. A waiting poll gets no response if the worker's process ends.
inline void fake_host::respondToPoll(const poll_command &command, instant bootedAt,
                                     instant waitsUntil,
                                     const std::function<void(const poll_result &)> &deliver)
{
    constexpr duration pollCheckInterval = 10ms;
    fake_worker &worker = m_world.workers.at(command.worker);
    const bool isUnreachable = unreachableWorkers.count(command.worker) != 0;
    const bool isRefused
        = isUnreachable ? partitionRefusesConnections : !worker.isUp && worker.refusesConnections;
    const bool isHeld = !worker.isUp && !isUnreachable && !isRefused && worker.bootedAt == bootedAt
        && m_world.holdsCommandsOfDownWorkers;
    if (isHeld)
        worker.heldCommands.push_back([this, command, &worker] {
            if (command.epoch >= worker.highestEpoch)
                m_world.report(worker, command);
        });
    if (((isUnreachable || !worker.isUp) && !isRefused) || worker.bootedAt != bootedAt)
        return;
    poll_result result;
    result.outcome = worker.isReplaced ? command_outcome::other_incarnation
                                       : command_outcome::refused_stale_epoch;
    if (command.address != worker.info.address) {
        // Nothing listens at any other address; without an address the poll cannot be sent.
        result.outcome = command.address.empty() ? command_outcome::not_done
                                                 : command_outcome::connection_refused;
    } else if (isRefused) {
        result.outcome = command_outcome::connection_refused;
    } else if (!worker.isReplaced && command.epoch >= worker.highestEpoch) {
        result.outcome = command_outcome::done;
        result.report = m_world.report(worker, command);
        if (result.report.completedRuns.empty() && m_world.now < waitsUntil) {
            m_world.at(m_world.now + pollCheckInterval,
                       [this, command, bootedAt, waitsUntil, deliver] {
                           respondToPoll(command, bootedAt, waitsUntil, deliver);
                       });
            return;
        }
    }
    m_world.at(m_world.now + messageDelay, [this, command, deliver, result] {
        if (unreachableWorkers.count(command.worker) == 0
            || result.outcome == command_outcome::connection_refused)
            m_world.at(nextReadTime(), [deliver, result] { deliver(result); });
    });
}

inline void fake_host::commit(commit_batch batch)
{
    m_world.at(m_world.now + 3 * messageDelay + m_world.storeDelay,
               [this, batch, sentAt = m_world.now] { tryCommit(batch, sentAt); });
}

inline void fake_host::tryCommit(const commit_batch &batch, instant sentAt)
{
    if (isDead || !core.isOwner())
        return;
    if (m_world.isStoreRefusing) {
        core.setStoreAvailable(m_world.now, false);
        core.onCommitRefused(m_world.now);
        scheduleTick();
        return;
    }
    if (m_world.isStoreDown || isStoreUnreachable) {
        m_world.at(m_world.now + 100ms, [this, batch, sentAt] { tryCommit(batch, sentAt); });
        return;
    }
    if (epoch != m_world.storeEpoch) {
        core.giveUp(m_world.now);
        return;
    }
    for (const std::string &key : batch.removedKeys)
        m_world.store.erase(key);
    for (const store_put &put : batch.puts)
        m_world.store[put.key] = put.value;
    for (const store_put &put : batch.puts)
        ++m_world.writes[put.key];
    if (batch.confirmsOwnership)
        m_world.confirmOwnership(*this, sentAt);
    core.onCommitted(m_world.now);
    scheduleTick();
}

inline call_token fake_host::call(job_call_kind kind, const job_name &job, const job_spec *spec)
{
    job_call c;
    c.token = ++m_lastToken;
    c.kind = kind;
    c.name = job;
    c.queue.value = "builds";
    if (spec != nullptr) {
        c.queue = spec->queue;
        c.spec = *spec;
        m_world.specs[job] = *spec;
    }
    core.call(m_world.now, unixMs(), c);
    scheduleTick();
    return c.token;
}

inline std::int64_t fake_host::unixMs() const
{
    return m_world.unixMs() + clockAheadMs;
}

inline void fake_host::scheduleTick()
{
    const std::uint64_t number = ++m_tickNumber;
    const instant when = std::max({core.nextWake(), m_world.now + 1ms, stalledUntil});
    m_world.at(when, [this, number] {
        if (number == m_tickNumber && m_world.now < stalledUntil) {
            scheduleTick();
            return;
        }
        if (isDead || number != m_tickNumber || !core.isOwner())
            return;
        core.tick(m_world.now, unixMs());
        scheduleTick();
    });
}

inline instant fake_host::nextReadTime() const
{
    return (stalledUntil <= m_world.now ? m_world.now : stalledUntil + 1ms) + readDelay;
}

} // namespace crocuswind::scheduler

#endif
