#include "store_helper.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace crocuswind {

using namespace scheduler;

namespace {

/// An operation is not sent later than this, whatever time its owner gives it.
constexpr std::int64_t maxTimeLeftMs = 3000;
/// An owner has three watches.
constexpr std::size_t maxWatchesPerOwner = 8;
/// Calls whose arrival is remembered. An owner sends fewer while an update is on its way.
constexpr std::size_t maxArrivals = 256;

helped_watch_update::kind kindOf(store_watch_update::kind what)
{
    switch (what) {
    case store_watch_update::kind::started:
        return helped_watch_update::kind::started;
    case store_watch_update::kind::changed:
        return helped_watch_update::kind::changed;
    case store_watch_update::kind::unchanged:
        return helped_watch_update::kind::unchanged;
    case store_watch_update::kind::lost:
        break;
    }
    return helped_watch_update::kind::lost;
}

} // namespace

store_helper::store_helper(event_loop &loop, store &platformStore, help_sender send)
    : m_loop(loop)
    , m_store(platformStore)
    , m_send(std::move(send))
{ }

store_helper::~store_helper()
{
    *m_isAlive = false;
    for (const auto &[owner, state] : m_owners) {
        for (const auto &[number, watch] : state.watches)
            m_store.cancelWatch(watch);
    }
}

void store_helper::onCall(const host_id &owner, const helped_store_call &call)
{
    owner_state &state = m_owners[owner];
    state.arrivals.emplace_back(call.number, m_loop.now());
    if (state.arrivals.size() > maxArrivals)
        state.arrivals.pop_front();
    if (const auto *operation = std::get_if<store_operation>(&call.what))
        submit(owner, call.number, call.timeLeftMs, *operation);
    else if (const auto *watch = std::get_if<store_watch_request>(&call.what))
        beginWatch(owner, call.number, *watch);
    else if (const auto *end = std::get_if<store_watch_end>(&call.what))
        endWatch(state, end->number);
}

void store_helper::onHostLost(const host_id &owner)
{
    const auto found = m_owners.find(owner);
    if (found == m_owners.end())
        return;
    for (const auto &[number, watch] : found->second.watches)
        m_store.cancelWatch(watch);
    m_owners.erase(found);
}

void store_helper::submit(const host_id &owner, std::uint64_t number, std::int64_t timeLeftMs,
                          const store_operation &operation)
{
    ++m_operations;
    const instant deadline = deadlineFromTimeLeft(
        m_loop.now(), std::clamp<std::int64_t>(timeLeftMs, 0, maxTimeLeftMs));
    m_store.submit(
        operation, deadline, [this, alive = m_isAlive, owner, number](const store_result &result) {
            if (!*alive)
                return;
            // Only what was read can be too long for a frame, and reading has no effect.
            if (!m_send(owner, helped_store_result{number, result}))
                m_send(owner, helped_store_result{number, tl::unexpected(store_error::refused)});
        });
}

void store_helper::beginWatch(const host_id &owner, std::uint64_t number,
                              const store_watch_request &request)
{
    owner_state &state = m_owners.at(owner);
    if (state.watches.size() >= maxWatchesPerOwner || state.watches.count(number) != 0)
        return;
    const std::int64_t maxSilenceMs
        = std::clamp<std::int64_t>(request.maxSilenceMs, 1, maxTimeLeftMs);
    state.watches[number] = m_store.watch(request.prefix, std::chrono::milliseconds(maxSilenceMs),
                                          [this, owner, number](const store_watch_update &update) {
                                              onUpdate(owner, number, update);
                                          });
}

void store_helper::endWatch(owner_state &state, std::uint64_t number)
{
    const auto found = state.watches.find(number);
    if (found == state.watches.end())
        return;
    m_store.cancelWatch(found->second);
    state.watches.erase(found);
}

void store_helper::onUpdate(const host_id &owner, std::uint64_t number,
                            const store_watch_update &update)
{
    helped_watch_update forOwner;
    forOwner.number = number;
    forOwner.what = kindOf(update.what);
    forOwner.revision = update.revision;
    for (const store_change &change : update.changes)
        forOwner.changes.push_back({change.isDeleted, change.entry});
    for (const auto &[call, arrivedAt] : m_owners.at(owner).arrivals) {
        if (arrivedAt <= update.asOf)
            forOwner.asOfCall = std::max(forOwner.asOfCall, call);
    }
    // An update that is not sent would be missing among the changes, so the watch counts as lost.
    if (!m_send(owner, forOwner)) {
        forOwner.what = helped_watch_update::kind::lost;
        forOwner.changes.clear();
        m_send(owner, forOwner);
    }
}

} // namespace crocuswind
