#include "command_relay.h"

#include <algorithm>
#include <utility>

namespace crocuswind {

using namespace scheduler;

namespace {

/// Results that arrive within this time share one message, so that the owner handles fewer.
constexpr duration flushInterval = 3ms;

/// Results of one message. Reports of many runs stay far below the maximum size of a frame.
constexpr std::size_t maxResultsPerMessage = 64;

/// A relay that got a command this much later than usual does not send it: the owner may have
/// given it up and turned to another relay.
constexpr std::int64_t maxDelayMs = 400;

std::int64_t toMs(instant time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
}

} // namespace

command_relay::command_relay(event_loop &loop, worker_link &workers, result_sender send)
    : m_loop(loop)
    , m_workers(workers)
    , m_send(std::move(send))
{ }

command_relay::~command_relay()
{
    *m_isAlive = false;
}

bool command_relay::onCommands(const host_id &owner, std::string_view bytes)
{
    const auto batch = decodeCommands(bytes);
    if (!batch)
        return false;
    const std::int64_t delayMs = measureDelay(m_owners[owner], batch->sentAtMs);
    for (const relayed_command &relayed : batch->commands) {
        if (delayMs > std::min(maxDelayMs, relayed.timeLeftMs))
            addResult(owner, {relayed.number, command_outcome::not_done, {}});
        else
            send(owner, relayed);
    }
    return true;
}

void command_relay::onOwnerLost(const host_id &owner)
{
    m_owners.erase(owner);
}

// Returns by how much the message was delayed beyond the fastest one of this link.
std::int64_t command_relay::measureDelay(owner_state &owner, std::int64_t sentAtMs) const
{
    const std::int64_t difference = toMs(m_loop.now()) - sentAtMs;
    if (!std::exchange(owner.isClockKnown, true) || difference < owner.minClockDifferenceMs)
        owner.minClockDifferenceMs = difference;
    return difference - owner.minClockDifferenceMs;
}

void command_relay::send(const host_id &owner, const relayed_command &relayed)
{
    m_workers.setAddress(workerOf(relayed.command), relayed.address);
    const std::uint64_t number = relayed.number;
    if (const auto *start = std::get_if<start_command>(&relayed.command))
        m_workers.start(*start, commandDone(owner, number));
    else if (const auto *stop = std::get_if<stop_command>(&relayed.command))
        m_workers.stop(*stop, commandDone(owner, number));
    else if (const auto *pace = std::get_if<pace_command>(&relayed.command))
        m_workers.pace(*pace, commandDone(owner, number));
    else if (const auto *poll = std::get_if<poll_command>(&relayed.command))
        m_workers.poll(*poll, [this, owner, number, alive = m_isAlive](const poll_result &result) {
            if (*alive)
                addResult(owner, {number, result.outcome, result.report});
        });
}

worker_link::command_callback command_relay::commandDone(const host_id &owner, std::uint64_t number)
{
    return [this, owner, number, alive = m_isAlive](const command_result &result) {
        if (!*alive)
            return;
        relayed_result relayed{number, result.outcome, {}};
        relayed.report.clockMs = result.clockMs.value_or(0);
        addResult(owner, std::move(relayed));
    };
}

void command_relay::addResult(const host_id &owner, relayed_result result)
{
    // Without a link nobody waits for the result.
    const auto found = m_owners.find(owner);
    if (found == m_owners.end())
        return;
    owner_state &state = found->second;
    state.results.push_back(std::move(result));
    if (state.results.size() >= maxResultsPerMessage) {
        flush(owner);
        return;
    }
    if (std::exchange(state.isFlushPending, true))
        return;
    m_loop.callAt(m_loop.now() + flushInterval, [this, owner, alive = m_isAlive] {
        if (!*alive)
            return;
        const auto known = m_owners.find(owner);
        if (known == m_owners.end())
            return;
        known->second.isFlushPending = false;
        flush(owner);
    });
}

void command_relay::flush(const host_id &owner)
{
    owner_state &state = m_owners.at(owner);
    if (state.results.empty())
        return;
    m_send(owner, encodeResults(std::exchange(state.results, {})));
}

} // namespace crocuswind
