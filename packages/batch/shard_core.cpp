#include "shard_core.h"

#include "eviction_control.h"
#include "job_request_handler.h"
#include "placer.h"
#include "shard_state.h"
#include "worker_reports.h"
#include "worker_syncs.h"

#include <algorithm>
#include <fmt/format.h>

namespace crocuswind {

namespace {

/// A wake-up later than this after its scheduled time means that the process was paused.
constexpr duration maxLateness = 1s;
/// The core requests a wake-up at least this often in order to detect pauses.
constexpr duration maxSleep = 1s;
constexpr duration minSleep = 10ms;
/// Timeout of waiting for the store while draining.
constexpr duration drainTimeout = 5s;

} // namespace

/// The state of one shard on one host.
class shard_core::implementation
{
public:
    explicit implementation(shard_settings settings)
        : m_state(settings)
    { }

    std::vector<shard_action> handle(const shard_event &event);
    shard_status status() const;

private:
    void on(const shard_session &session) { m_state.owner.setSession(session); }
    void on(const shard_hosts &hosts) { m_state.owner.setHosts(hosts.hosts); }
    void on(const shard_store_result &result);
    void on(const shard_submit &request) { m_requests.submit(m_state, m_placer, request); }
    void on(const shard_cancel &request) { m_requests.cancel(m_state, m_placer, request); }
    void on(const shard_query &request) { m_requests.query(m_state, m_placer, request); }
    void on(const shard_list &request) { m_requests.list(m_state, m_placer, request); }
    void on(const shard_workers &workers) { m_state.setWorkers(workers.workers); }
    void on(const shard_sync_result &result);
    void on(const shard_quotas &quotas) { m_state.queue.setQuotas(quotas.quotas); }
    void on(const shard_tick & /*tick*/) { }
    void on(const shard_drain & /*drain*/);

    void handleReport(const sync_report &report);
    void handleCommitResult(const store_result &result);
    void step();
    void stepDrain();
    void callStore();
    void handleOwnershipLoss();
    bool isCommitWanted() const;
    instant nextWake() const;

    shard_state m_state;
    placer m_placer;
    job_request_handler m_requests;
    std::optional<instant> m_wakeAt;
    std::uint64_t m_nextToken = 1;
    std::optional<std::uint64_t> m_storeToken; ///< Token of the store call in flight.
    bool m_isCommitCall = false;
    bool m_wasOwner = false;
    std::int64_t m_storeCalls = 0;
    std::int64_t m_commits = 0;
    instant m_drainBegan;
    bool m_isDrained = false;
};

std::vector<shard_action> shard_core::implementation::handle(const shard_event &event)
{
    CROCUSWIND_INVARIANT(event.now >= m_state.now, "times must not decrease");
    m_state.now = event.now;
    m_state.actions.clear();
    if (m_wakeAt && event.now > *m_wakeAt + maxLateness)
        m_state.owner.requireConfirmation();
    std::visit([this](const auto &what) { on(what); }, event.what);
    step();
    if (!m_isDrained) {
        m_wakeAt = nextWake();
        m_state.actions.push_back(shard_wake_at{*m_wakeAt});
    }
    std::vector<shard_action> actions;
    actions.swap(m_state.actions);
    return actions;
}

void shard_core::implementation::on(const shard_store_result &result)
{
    if (result.token != m_storeToken)
        return;
    m_storeToken.reset();
    if (m_isCommitCall) {
        if (m_state.owner.isOwner())
            handleCommitResult(result.result);
        return;
    }
    const std::string line = m_state.owner.handleResult(m_state.now, result.result);
    if (!line.empty())
        m_state.log(line);
    if (auto loaded = m_state.owner.takeLoaded()) {
        m_state.load(std::move(*loaded));
        m_placer.clear();
    }
}

void shard_core::implementation::handleCommitResult(const store_result &result)
{
    const bool wasDown = m_state.pipeline.isStoreDown();
    const commit_status outcome = m_state.pipeline.handleResult(m_state.now, result);
    if (m_state.pipeline.isStoreDown() != wasDown)
        m_state.log(wasDown ? "the store is reachable again" : "the store does not answer");
    switch (outcome) {
    case commit_status::committed:
        ++m_commits;
        m_requests.replyToCommitted(m_state, m_placer);
        requestSyncsAfterCommit(m_state);
        break;
    case commit_status::failed:
        m_requests.rejectUncommitted(m_state);
        break;
    case commit_status::ownership_lost:
        m_state.log("lost the shard: a commit was refused");
        m_state.owner.lose(m_state.now);
        break;
    case commit_status::undetermined:
        break;
    }
}

void shard_core::implementation::on(const shard_sync_result &result)
{
    const auto at = m_state.sessions.find(result.worker);
    if (at == m_state.sessions.end() || !m_state.owner.isOwner()
        || result.epoch != m_state.owner.epoch())
        return;
    worker_session &session = at->second;
    if (result.sequence == session.sequence)
        session.isInFlight = false;
    if (result.result) {
        // Ignores the report of another worker that now has this worker's address.
        if (result.result->worker == result.worker)
            handleReport(*result.result);
        return;
    }
    const bool isStale = result.result.error().why == sync_error::reason::stale_epoch
        && result.result.error().epoch > m_state.owner.epoch();
    if (isStale)
        m_state.owner.requireConfirmation();
    handleSyncError(m_state, session, result.result.error());
}

void shard_core::implementation::handleReport(const sync_report &report)
{
    applyReport(m_state, report);
    controlInterference(m_state, report.worker);
}

void shard_core::implementation::on(const shard_drain & /*drain*/)
{
    if (m_state.isDraining)
        return;
    m_state.isDraining = true;
    m_drainBegan = m_state.now;
}

bool shard_core::implementation::isCommitWanted() const
{
    return m_state.owner.mayClaim(m_state.now) && !m_state.pipeline.isStoreDown()
        && m_placer.shouldRun(m_state);
}

void shard_core::implementation::callStore()
{
    if (m_storeToken)
        return;
    std::optional<store_operation> call = m_state.owner.nextCall(m_state.now);
    m_isCommitCall = false;
    if (!call && m_state.owner.isOwner()) {
        if (isCommitWanted() && m_state.pipeline.mayCall(m_state.now))
            m_placer.place(m_state);
        call = m_state.pipeline.nextCall(
            m_state.now, [this](int segment) { return m_state.jobs.encodeSegment(segment); });
        m_isCommitCall = call.has_value();
    }
    if (!call)
        return;
    m_storeToken = m_nextToken++;
    ++m_storeCalls;
    m_state.actions.push_back(
        shard_store_call{*m_storeToken, std::move(*call), m_state.now + storeCallTimeout});
}

void shard_core::implementation::handleOwnershipLoss()
{
    m_requests.replyOnOwnershipLoss(m_state);
    m_state.clear();
    m_placer.clear();
}

void shard_core::implementation::stepDrain()
{
    if (!m_state.isDraining || m_isDrained)
        return;
    const bool isSettled = !m_state.owner.isOwner()
        || (!m_state.pipeline.isDirty() && !m_state.pipeline.hasUnresolvedCommit())
        || m_state.now >= m_drainBegan + drainTimeout;
    if (!isSettled || (m_storeToken && m_isCommitCall))
        return;
    m_state.owner.release();
    if (!m_state.owner.isReleased() || m_storeToken)
        return;
    m_isDrained = true;
    m_state.actions.push_back(shard_drained{});
}

void shard_core::implementation::step()
{
    stepDrain();
    if (m_state.owner.isOwner()) {
        m_state.releaseDelayed();
        m_state.expireUnresponsiveWorkers();
        if (m_state.queue.hasLatencyCritical() && m_placer.shouldRun(m_state))
            m_state.pipeline.expedite();
        m_requests.replyToTimedOut(m_state);
        sendSyncs(m_state);
    } else if (m_wasOwner) {
        handleOwnershipLoss();
    }
    m_wasOwner = m_state.owner.isOwner();
    callStore();
    stepDrain();
}

instant shard_core::implementation::nextWake() const
{
    instant due = m_state.now + maxSleep;
    if (!m_storeToken) {
        due = std::min(due, m_state.owner.due(m_state.now));
        if (m_state.owner.isOwner())
            due = std::min(due, m_state.pipeline.due(isCommitWanted()));
    }
    if (m_state.owner.isOwner()) {
        due = std::min({due, nextSyncDue(m_state), m_requests.due()});
        if (!m_state.delayed.empty())
            due = std::min(due, m_state.delayed.begin()->first);
    }
    return std::max(due, m_state.now + minSleep);
}

shard_status shard_core::implementation::status() const
{
    shard_status status;
    status.isOwner = m_state.owner.isOwner();
    status.epoch = status.isOwner ? m_state.owner.epoch() : 0;
    status.jobs = m_state.jobs.jobs().size();
    for (const auto &[id, job] : m_state.jobs.jobs()) {
        for (const task_record &task : job.record.tasks) {
            status.waitingTasks += task.state == task_state::waiting ? 1 : 0;
            status.claimedTasks += task.state == task_state::claimed ? 1 : 0;
        }
    }
    for (const auto &[worker, session] : m_state.sessions) {
        status.workers += session.isListed ? 1 : 0;
        status.workersQuarantined += session.health.isQuarantined() ? 1 : 0;
    }
    status.commits = m_commits;
    status.storeCalls = m_storeCalls;
    return status;
}

int shardOfJob(const job_id &job, int shardCount)
{
    return int(stableHash(toString(job)) % std::uint64_t(shardCount));
}

int shardOfWorker(const worker_id &worker, int shardCount)
{
    return int(stableHash(worker.value) % std::uint64_t(shardCount));
}

shard_core::shard_core(shard_settings settings)
    : m_implementation(std::make_unique<implementation>(std::move(settings)))
{ }

shard_core::~shard_core() = default;

std::vector<shard_action> shard_core::handle(const shard_event &event)
{
    return m_implementation->handle(event);
}

shard_status shard_core::status() const
{
    return m_implementation->status();
}

} // namespace crocuswind
