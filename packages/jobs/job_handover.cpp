#include "job_handover.h"

#include <algorithm>
#include <utility>

namespace crocuswind {

using namespace scheduler;

namespace {

constexpr duration handoverPollInterval = 10ms;
/// An owner that hands over waits this long for its changes to become durable.
constexpr duration handoverTimeout = 1500ms;
/// Without another host that can succeed it, it begins this long before its deadline.
constexpr duration lastHandoverTime = 500ms;

} // namespace

job_handover::job_handover(event_loop &loop, const logger &log, scheduler_core &core,
                           owner_election &election)
    : m_loop(loop)
    , m_log(log)
    , m_core(core)
    , m_election(election)
{ }

job_handover::~job_handover()
{
    m_loop.cancel(m_timer);
}

void job_handover::addCandidate(const host_id &host)
{
    m_candidates.insert(host);
}

void job_handover::removeCandidate(const host_id &host)
{
    m_candidates.erase(host);
}

void job_handover::begin(instant deadline)
{
    m_deadline = deadline;
    poll();
}

// An owner that is stopping serves on until another host can succeed it, as long as its process
// lasts: hosts that are stopping too are no candidates.
bool job_handover::canHandOver()
{
    if (m_isHandingOver)
        return true;
    const bool isOverdue = m_loop.now() >= m_deadline - lastHandoverTime;
    if (m_candidates.empty() && !isOverdue) {
        if (!std::exchange(m_isDeferred, true))
            m_log.info("event=handover_deferred epoch={} reason=no_candidate", m_election.epoch());
        return false;
    }
    m_isHandingOver = true;
    m_deadline = std::min(m_deadline, m_loop.now() + handoverTimeout);
    m_log.info("event=handover epoch={} candidates={}", m_election.epoch(), m_candidates.size());
    return true;
}

void job_handover::poll()
{
    if (!m_election.isOwner())
        return;
    const bool isDone
        = canHandOver() && (m_core.prepareHandover(m_loop.now()) || m_loop.now() >= m_deadline);
    if (isDone) {
        m_election.resign(m_loop.now());
        return;
    }
    m_timer = m_loop.callAt(m_loop.now() + handoverPollInterval, [this] { poll(); });
}

} // namespace crocuswind
