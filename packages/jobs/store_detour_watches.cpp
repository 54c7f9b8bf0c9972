// The watches of store_detour.

#include "store_detour.h"

#include <algorithm>
#include <set>
#include <utility>

namespace crocuswind {

using namespace scheduler;

namespace {

/// A host that was asked for a watch has begun it within this time.
constexpr duration helpWatchLimit = 800ms;
constexpr duration helpRetryInterval = 150ms;

/// The owner acts on a list of workers only while it is younger than their notice of leave, which
/// is over a second. An update is as old as the last message that the helper had when it asked.
constexpr duration probeInterval = 150ms;

store_watch_update::kind kindOf(helped_watch_update::kind what)
{
    switch (what) {
    case helped_watch_update::kind::started:
        return store_watch_update::kind::started;
    case helped_watch_update::kind::changed:
        return store_watch_update::kind::changed;
    case helped_watch_update::kind::unchanged:
        return store_watch_update::kind::unchanged;
    case helped_watch_update::kind::lost:
        break;
    }
    return store_watch_update::kind::lost;
}

store_watch_update lostUpdate()
{
    store_watch_update update;
    update.what = store_watch_update::kind::lost;
    return update;
}

} // namespace

store_watch_id store_detour::watch(const std::string &prefix, duration maxSilence,
                                   watch_callback callback)
{
    const store_watch_id id = ++m_lastWatch;
    watch_state &watch = m_watches[id];
    watch.prefix = prefix;
    watch.maxSilence = maxSilence;
    watch.callback = std::move(callback);
    watch.directWatch = m_direct.watch(
        prefix, maxSilence, [this, id](const store_watch_update &u) { onDirectUpdate(id, u); });
    return id;
}

void store_detour::cancelWatch(store_watch_id id)
{
    const auto found = m_watches.find(id);
    if (found == m_watches.end())
        return;
    endHelp(found->second);
    m_direct.cancelWatch(found->second.directWatch);
    m_watches.erase(found);
}

void store_detour::onDirectUpdate(store_watch_id id, const store_watch_update &update)
{
    watch_state &watch = m_watches.at(id);
    if (update.what == store_watch_update::kind::started) {
        watch.isDirectLost = false;
        endHelp(watch);
    }
    watch.isDirectLost = watch.isDirectLost || update.what == store_watch_update::kind::lost;
    report(id, update);
    beginHelp(id);
}

void store_detour::beginHelp(store_watch_id id)
{
    const auto found = m_watches.find(id);
    if (found == m_watches.end())
        return;
    watch_state &watch = found->second;
    if (!m_mayAsk || !watch.isDirectLost || watch.helper)
        return;
    const auto maxSilenceMs
        = std::chrono::duration_cast<std::chrono::milliseconds>(watch.maxSilence).count();
    const std::optional<host_id> helper = chooseHelper({});
    if (!helper || !send(*helper, {0, 0, store_watch_request{watch.prefix, maxSilenceMs}})) {
        retryHelpLater(id);
        return;
    }
    watch.helper = helper;
    watch.helpNumber = m_lastNumber;
    m_loop.cancel(watch.timer);
    watch.timer = m_loop.callAt(m_loop.now() + helpWatchLimit, [this, id] { loseHelp(id); });
    m_loop.cancel(m_probeTimer);
    m_probeTimer = m_loop.callAt(m_loop.now() + probeInterval, [this] { probeHelpers(); });
}

void store_detour::retryHelpLater(store_watch_id id)
{
    watch_state &watch = m_watches.at(id);
    m_loop.cancel(watch.timer);
    watch.timer = m_loop.callAt(m_loop.now() + helpRetryInterval, [this, id] { beginHelp(id); });
}

void store_detour::onHelpUpdate(const host_id &helper, const helped_watch_update &update)
{
    const auto found = std::find_if(m_watches.begin(), m_watches.end(), [&](const auto &entry) {
        return entry.second.helper == helper && entry.second.helpNumber == update.number;
    });
    if (found == m_watches.end())
        return;
    watch_state &watch = found->second;
    if (update.what == helped_watch_update::kind::lost) {
        loseHelp(found->first);
        return;
    }
    if (update.what == helped_watch_update::kind::started) {
        watch.isHelpLive = true;
        m_loop.cancel(watch.timer);
    }
    if (!watch.isHelpLive)
        return;
    store_watch_update forUser;
    forUser.what = kindOf(update.what);
    forUser.revision = update.revision;
    for (const helped_watch_update::change &change : update.changes)
        forUser.changes.push_back({change.isDeleted, change.entry});
    const auto sentAt = m_sentAt.find(update.asOfCall);
    if (sentAt != m_sentAt.end())
        forUser.asOf = sentAt->second;
    report(found->first, forUser);
}

// The host does not show the watch, or not any more: the next one is asked.
void store_detour::loseHelp(store_watch_id id)
{
    const auto found = m_watches.find(id);
    if (found == m_watches.end() || !found->second.helper)
        return;
    const bool wasLive = found->second.isHelpLive;
    if (m_lastGood == found->second.helper)
        m_lastGood.reset();
    endHelp(found->second);
    retryHelpLater(id);
    if (!wasLive)
        return;
    // Posted, because the user may be about to change what it watches.
    m_loop.post([this, alive = m_isAlive, id] {
        if (*alive && !isShown(id))
            report(id, lostUpdate());
    });
}

// Returns true if the watch has ended, or is shown by the store or another host.
bool store_detour::isShown(store_watch_id id) const
{
    const auto found = m_watches.find(id);
    return found == m_watches.end() || !found->second.isDirectLost || found->second.isHelpLive;
}

void store_detour::endHelp(watch_state &watch)
{
    m_loop.cancel(watch.timer);
    const std::optional<host_id> helper = std::exchange(watch.helper, std::nullopt);
    watch.isHelpLive = false;
    if (helper)
        send(*helper, {0, 0, store_watch_end{watch.helpNumber}});
}

void store_detour::report(store_watch_id id, const store_watch_update &update)
{
    const watch_callback callback = m_watches.at(id).callback;
    callback(update);
}

void store_detour::probeHelpers()
{
    std::set<host_id> helpers;
    for (const auto &[id, watch] : m_watches) {
        if (watch.helper)
            helpers.insert(*watch.helper);
    }
    for (const host_id &helper : helpers)
        send(helper, {0, 0, store_watch_probe()});
    if (!helpers.empty())
        m_probeTimer = m_loop.callAt(m_loop.now() + probeInterval, [this] { probeHelpers(); });
}

} // namespace crocuswind
