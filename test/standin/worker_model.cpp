#include "worker_model.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <limits>

namespace crocuswind::standin {

namespace {

constexpr duration failureDelay = 50ms;

/// Encodes the work that a checkpoint covers as its reference, which is opaque to the scheduler.
std::string encodeCheckpointReference(double doneMs)
{
    return fmt::format("done-ms={:.3f}", doneMs);
}

/// Returns the work that a checkpoint covers, or 0 if there is no checkpoint.
double decodeDoneMs(const checkpoint &from)
{
    const std::string prefix = "done-ms=";
    if (from.number == 0 || from.reference.compare(0, prefix.size(), prefix) != 0)
        return 0;
    return std::strtod(from.reference.c_str() + prefix.size(), nullptr);
}

/// Returns the name of the series that a job belongs to: its name without trailing digits.
std::string seriesOf(const job_id &job)
{
    const std::string name = toString(job);
    const std::size_t last = name.find_last_not_of("0123456789");
    return name.substr(0, last + 1);
}

double noiseOf(const job_id &job)
{
    return 0.5 * double(stableHash(seriesOf(job)) % 4);
}

/// Returns a factor between 1 / spread and spread that depends only on the job's name and the seed.
double variationFactorOf(const job_id &job, double spread, std::uint64_t seed)
{
    const double position = double(stableHash(toString(job), seed) % 2001) / 1000 - 1;
    return std::pow(std::max(spread, 1.0), position);
}

double toMilliseconds(duration d)
{
    return double(d.count()) / 1000;
}

} // namespace

worker_model::worker_model(worker_settings settings, task_audit &audit)
    : m_settings(std::move(settings))
    , m_audit(audit)
{ }

double worker_model::slowdown(const task &t) const
{
    double sum = 0;
    for (const auto &[id, u] : m_tasks) {
        if (u.state == reported_state::running && id != t.id)
            sum += noiseOf(id.job) * u.throttle / 1000 * double(u.size.milliCores);
    }
    return 1 + m_settings.interference * sum / double(m_settings.capacity.milliCores);
}

double worker_model::speed(const task &t) const
{
    return double(t.throttle) / 1000 / slowdown(t);
}

int worker_model::slowdownPermille(const task_id &id) const
{
    const auto found = m_tasks.find(id);
    if (found == m_tasks.end() || found->second.state != reported_state::running)
        return 0;
    return int(std::lround(slowdown(found->second) * 1000));
}

worker_model::task *worker_model::find(const task_id &id)
{
    const auto found = m_tasks.find(id);
    return found == m_tasks.end() ? nullptr : &found->second;
}

void worker_model::finish(task &t, reported_state state, task_completion_reason why,
                          const std::string &result)
{
    t.state = state;
    t.result = result;
    m_committed = m_committed - t.size;
    m_audit.ended(t.id, why);
}

void worker_model::advance(instant now)
{
    while (true) {
        // Speeds are constant until the next task ends or the pause is over, so each iteration
        // advances the time to the earlier of these.
        const bool isPaused = m_now < m_pausedUntil;
        instant next = isPaused ? std::min(now, m_pausedUntil) : now;
        task *ending = nullptr;
        std::map<task_id, double> speeds;
        for (auto &[id, t] : m_tasks) {
            if (t.state != reported_state::running)
                continue;
            instant end = t.leaseEnd;
            if (!isPaused) {
                const double s = speed(t);
                speeds[id] = s;
                const double left = s > 0 ? std::max(0.0, t.neededMs - t.doneMs) / s
                                          : std::numeric_limits<double>::infinity();
                // Rounded up, so that no work remains when the task is due to end.
                if (left < 1e12)
                    end = std::min(end, m_now + duration(std::int64_t(std::ceil(left * 1000))));
                end = std::min(end, t.failAt);
            }
            if (end <= next && (!ending || end < next)) {
                next = std::max(end, m_now);
                ending = &t;
            }
        }
        const double passedMs = toMilliseconds(next - m_now);
        for (const auto &[id, s] : speeds)
            m_tasks.at(id).doneMs += s * passedMs;
        m_now = std::max(m_now, next);
        if (ending) {
            if (ending->leaseEnd <= m_now)
                finish(*ending, reported_state::stopped, task_completion_reason::lease_expired,
                       "lease expired");
            else if (ending->failAt <= m_now)
                finish(*ending, reported_state::failed, task_completion_reason::failed,
                       "the worker fails");
            else if (ending->shouldFail)
                finish(*ending, reported_state::failed, task_completion_reason::failed,
                       "the job fails");
            else
                finish(*ending, reported_state::done, task_completion_reason::done, "ok");
        } else if (m_now >= now) {
            return;
        }
    }
}

void worker_model::restart(instant now)
{
    advance(now);
    for (auto &[id, t] : m_tasks) {
        if (t.state == reported_state::running)
            finish(t, reported_state::stopped, task_completion_reason::restart, "");
    }
    m_tasks.clear();
    m_attempts.clear();
    m_shards.clear();
    ++m_settings.incarnationNumber;
}

void worker_model::pause(instant now, instant until)
{
    advance(now);
    m_pausedUntil = until;
}

tl::expected<sync_report, std::int64_t> worker_model::handle(instant now,
                                                             const sync_request &request)
{
    advance(now);
    shard_sync_state &shard = m_shards[request.shard];
    if (request.epoch < shard.epoch) {
        ++m_staleEpochs;
        return tl::unexpected(shard.epoch);
    }
    if (request.epoch > shard.epoch)
        shard = {request.epoch, 0, {}};
    if (request.sequence > shard.sequence) {
        shard.sequence = request.sequence;
        const auto basis = shard.answered.find(request.basis);
        const bool isFresh = basis != shard.answered.end()
            && now - basis->second < std::chrono::milliseconds(request.leaseMs);
        if (!isFresh && (!request.start.empty() || request.basis != 0))
            ++m_staleSyncs;
        apply(now, request, isFresh);
        shard.answered[request.sequence] = now;
        // Bounds the memory. An answer that is older than the lease is no longer a valid basis.
        while (shard.answered.size() > 1000)
            shard.answered.erase(shard.answered.begin());
    } else {
        ++m_staleSyncs;
    }
    measureUsage(now);
    return report(now, request);
}

void worker_model::apply(instant now, const sync_request &request, bool mayStart)
{
    for (const task_id &id : request.stop) {
        int &highest = m_attempts[{id.job, id.replica}];
        highest = std::max(highest, id.attempt);
        task *t = find(id);
        if (!t) {
            task unknown;
            unknown.shard = request.shard;
            unknown.id = id;
            unknown.state = reported_state::stopped;
            unknown.result = "never started";
            m_tasks.emplace(id, std::move(unknown));
        } else if (t->state == reported_state::running) {
            finish(*t, reported_state::stopped, task_completion_reason::stopped, "stopped");
        }
    }
    for (const task_id &id : request.checkpoint) {
        task *t = find(id);
        if (t && t->state == reported_state::running)
            saveCheckpoint(*t);
    }
    for (const throttle_command &command : request.throttle) {
        if (task *t = find(command.task))
            t->throttle = std::clamp(command.permille, 0, 1000);
    }
    for (const task_id &id : request.forget) {
        const task *t = find(id);
        if (t && t->state != reported_state::running)
            m_tasks.erase(id);
    }
    if (!mayStart)
        return;
    for (auto &[id, t] : m_tasks) {
        if (t.state == reported_state::running && t.shard == request.shard)
            t.leaseEnd = now + std::chrono::milliseconds(request.leaseMs);
    }
    for (const start_command &command : request.start)
        start(now, request, command);
}

void worker_model::start(instant now, const sync_request &request, const start_command &command)
{
    if (find(command.task))
        return;
    int &highest = m_attempts[{command.task.job, command.task.replica}];
    if (command.task.attempt <= highest) {
        ++m_refusedStarts;
        return;
    }
    highest = command.task.attempt;
    task t;
    t.shard = request.shard;
    t.id = command.task;
    t.size = command.size;
    t.neededMs = command.runMs == 0
        ? std::numeric_limits<double>::infinity()
        : double(command.runMs) * variationFactorOf(t.id.job, m_settings.spread, 1);
    t.doneMs = decodeDoneMs(command.from);
    t.newestCheckpoint = command.from;
    t.leaseEnd = now + std::chrono::milliseconds(request.leaseMs);
    if (m_settings.failsEverything)
        t.failAt = now + failureDelay;
    // Lets a test submit a job that never succeeds.
    if (command.payload == "fail")
        t.shouldFail = true;
    m_audit.started(t.id, command.from.number);
    m_committed = m_committed + t.size;
    m_highest.milliCores = std::max(m_highest.milliCores, m_committed.milliCores);
    m_highest.memoryMb = std::max(m_highest.memoryMb, m_committed.memoryMb);
    m_highest.accelerators = std::max(m_highest.accelerators, m_committed.accelerators);
    if (!fitsInto(m_committed, m_settings.capacity))
        ++m_overcommitments;
    m_tasks.emplace(t.id, std::move(t));
}

void worker_model::saveCheckpoint(task &t)
{
    ++t.newestCheckpoint.number;
    t.newestCheckpoint.reference = encodeCheckpointReference(t.doneMs);
    m_audit.checkpointed(t.id, t.newestCheckpoint.number);
}

void worker_model::measureUsage(instant now)
{
    if (m_measuredAt != instant::min() && now - m_measuredAt < m_settings.usageLag)
        return;
    for (auto &[id, t] : m_tasks) {
        if (t.state != reported_state::running)
            continue;
        t.reported = t.measured;
        const double factor = variationFactorOf(id.job, m_settings.spread, 2);
        task_usage usage;
        usage.milliCores
            = std::llround(double(t.size.milliCores) * std::min(1.0, factor) * t.throttle / 1000);
        usage.memoryMb = std::llround(double(t.size.memoryMb) * std::min(1.0, factor));
        usage.slowdownPermille = int(std::lround(slowdown(t) * 1000));
        t.measured = usage;
    }
    m_reportedAt = m_measuredAt;
    m_measuredAt = now;
}

sync_report worker_model::report(instant now, const sync_request &request) const
{
    sync_report r;
    r.worker = m_settings.worker;
    r.incarnationNumber = m_settings.incarnationNumber;
    r.epoch = request.epoch;
    r.sequence = request.sequence;
    for (const auto &[id, t] : m_tasks) {
        if (t.shard != request.shard)
            continue;
        task_report one;
        one.task = id;
        one.state = t.state;
        one.lastCheckpoint = t.newestCheckpoint;
        if (t.state != reported_state::running)
            one.result = t.result;
        if (t.reported && t.state == reported_state::running) {
            one.usage = t.reported;
            one.usage->ageMs = std::int64_t(toMilliseconds(now - m_reportedAt));
        }
        r.tasks.push_back(std::move(one));
    }
    return r;
}

} // namespace crocuswind::standin
