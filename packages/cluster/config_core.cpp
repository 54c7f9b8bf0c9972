#include "config_core.h"

#include <algorithm>
#include <fmt/format.h>

namespace crocuswind {

namespace {

/// Slack after a deadline before a missing answer of the adapter is treated as a failure.
constexpr duration answerSlack = 1s;

/// Longest pause between attempts during an outage. With 27 hosts that read and watch this makes
/// at most 7 store calls a second.
constexpr duration maxRetryPause = 8s;

/// Number of peers asked in vain after which the store is read instead.
constexpr int asksBeforeStoreRead = 3;

/// A watch that lasted this long is started again at once when it ends.
constexpr duration longWatch = 5s;

} // namespace

config_core::config_core(config_settings settings)
    : m_settings(std::move(settings))
{ }

std::vector<config_core::action> config_core::handle(const event &e)
{
    m_now = e.now;
    m_actions.clear();
    if (!m_started) {
        m_started = m_now;
        // Gives a host that starts into a running cluster time to hear of the present watcher.
        m_unwatchedSince = m_now + m_settings.successorDelay;
        readStore();
    }
    std::visit([this](const auto &what) { on(what); }, e.what);
    if (m_read != 0 && m_now >= m_readDeadline + answerSlack)
        onReadFailed();
    if (m_asked && m_now >= m_askDeadline) {
        m_askedInVain.insert(*m_asked);
        m_asked.reset();
        ++m_askFailures;
        if (m_askFailures % asksBeforeStoreRead == 0)
            readStore();
    }
    considerWatching();
    if (m_readAt && m_now >= *m_readAt)
        readStore();
    applyIfDecided();
    considerAsking();
    reportWatching();
    m_actions.push_back(cluster_wake_at{nextWake()});
    return std::move(m_actions);
}

void config_core::on(const cluster_tick &) { }

void config_core::on(const cluster_store_answer &e)
{
    if (e.token != m_read || m_read == 0)
        return;
    if (!e.result) {
        onReadFailed();
        return;
    }
    m_read = 0;
    m_readFailures = 0;
    // The first proof of a watch is followed by a second read, since a change may fall between the
    // first read and the moment from which the store reports changes to the watch.
    if (m_watch != 0)
        m_readAt = m_now + (m_isWatchProven ? m_settings.verifyPause : m_settings.retryPause);
    const std::int64_t before = heldRevision();
    considerStoreEntry(e.result->entries.empty()
                           ? std::nullopt
                           : std::optional<store_entry>(e.result->entries.front()));
    if (m_watch != 0 && m_isWatchProven && heldRevision() > before) {
        // The watch should have reported this change, so it has stalled.
        m_actions.push_back(config_log{"config: the store's watch missed a change, watching anew"});
        stopWatch();
        startWatch();
        readStore();
    } else if (m_watch != 0) {
        m_isWatchProven = true;
    }
}

void config_core::on(const config_peer &e)
{
    if (e.host == m_settings.self)
        return;
    if (!e.alive) {
        m_peers.erase(e.host);
        if (m_asked == e.host)
            m_askDeadline = m_now;
        return;
    }
    config_peer &known = m_peers[e.host];
    if (e.revision > known.revision)
        m_askedInVain.erase(e.host);
    known = e;
}

void config_core::on(const config_watch_result &e)
{
    if (e.watch == m_watch && m_watch != 0)
        considerStoreEntry(e.entry);
}

void config_core::on(const config_watch_ended &e)
{
    if (e.watch != m_watch || m_watch == 0)
        return;
    m_watch = 0;
    m_isWatchProven = false;
    // Stores and proxies end long watches as a matter of course; only short ones count as failures.
    m_watchFailures = m_now - m_watchStarted >= longWatch ? 0 : m_watchFailures + 1;
    if (m_watchFailures > 0)
        m_watchAt = m_now + backoff(m_watchFailures - 1);
}

void config_core::on(const config_copy &e)
{
    const bool isAwaited = m_asked == e.from;
    if (isAwaited)
        m_asked.reset();
    if (!e.encoded.empty()) {
        auto config = decodeConfig(e.encoded);
        if (config && config->revision > heldRevision()) {
            m_askFailures = 0;
            m_askedInVain.clear();
            offer(std::move(*config));
            return;
        }
        if (!config) {
            m_actions.push_back(
                config_log{fmt::format("config: copy from {}: {}", e.from.value, config.error())});
        }
    }
    if (isAwaited)
        m_askedInVain.insert(e.from);
}

void config_core::on(const config_copy_requested &e)
{
    const bool isHigher = m_current && m_current->revision > e.above;
    m_actions.push_back(
        config_send_copy{e.from, isHigher ? m_encoded : std::make_shared<const std::string>()});
}

void config_core::readStore()
{
    m_readAt.reset();
    if (m_read != 0)
        return;
    m_read = ++m_lastToken;
    m_readDeadline = m_now + m_settings.callTimeout;
    m_actions.push_back(
        cluster_store_call{m_read, store_range{configCurrentKey, false}, m_readDeadline});
}

void config_core::onReadFailed()
{
    m_read = 0;
    ++m_readFailures;
    m_isWatchProven = false;
    m_storeState = "does not answer";
    // A host that neither watches nor lacks a configuration has no need of the store.
    if (m_watch != 0 || !m_current)
        m_readAt = m_now + backoff(m_readFailures);
}

void config_core::startWatch()
{
    m_watch = ++m_lastWatch;
    m_isWatchProven = false;
    m_watchStarted = m_now;
    m_watchAt.reset();
    m_watchDue.reset();
    m_actions.push_back(config_start_watch{m_watch});
}

void config_core::stopWatch()
{
    m_actions.push_back(config_stop_watch{m_watch});
    m_watch = 0;
    m_isWatchProven = false;
    m_readAt.reset();
}

void config_core::considerWatching()
{
    int rank = 0;
    bool isWatchedAbove = false;
    for (const auto &[host, peer] : m_peers) {
        if (peer.dataCentre != m_settings.dataCentre || !(host < m_settings.self))
            continue;
        ++rank;
        isWatchedAbove = isWatchedAbove || peer.watching;
    }
    if (isWatchedAbove) {
        m_unwatchedSince.reset();
        m_watchDue.reset();
        if (m_watch != 0)
            stopWatch();
        return;
    }
    if (!m_unwatchedSince)
        m_unwatchedSince = m_now;
    if (m_watch != 0)
        return;
    const instant start = *m_unwatchedSince + rank * m_settings.successorDelay;
    m_watchDue = std::max(start, m_watchAt.value_or(start));
    if (m_now < *m_watchDue)
        return;
    startWatch();
    readStore();
}

void config_core::reportWatching()
{
    const bool isWatching = m_watch != 0 && m_isWatchProven;
    if (isWatching == m_isWatchingReported)
        return;
    m_isWatchingReported = isWatching;
    m_actions.push_back(config_watching_changed{isWatching});
}

void config_core::considerStoreEntry(const std::optional<store_entry> &entry)
{
    m_hasStoreAnswered = true;
    if (!entry) {
        m_storeState = "holds no configuration yet (publish one)";
        return;
    }
    auto config = decodeConfig(entry->value);
    if (!config) {
        m_storeState = "holds a configuration that cannot be read";
        m_actions.push_back(
            config_log{fmt::format("config: value in the store: {}", config.error())});
        return;
    }
    m_storeState = fmt::format("holds revision {}", config->revision);
    if (m_current && config->revision == m_current->revision
        && config->publication != m_current->publication) {
        m_actions.push_back(config_log{fmt::format(
            "config: the store holds another revision {} (publication {}) than the one in force "
            "({}); it is ignored, publish a higher one",
            config->revision, config->publication, m_current->publication)});
    }
    offer(std::move(*config));
}

void config_core::offer(config_set config)
{
    if (config.revision <= heldRevision())
        return;
    m_candidate = std::move(config);
    m_askedInVain.clear();
}

bool config_core::isStartDecided() const
{
    if (m_current || m_now >= *m_started + m_settings.startWindow)
        return true;
    // A peer with revision 0 has none, or has only introduced itself so far.
    const bool hasAnyTold = std::any_of(m_peers.begin(), m_peers.end(),
                                        [](const auto &p) { return p.second.revision > 0; });
    return m_hasStoreAnswered && hasAnyTold
        && std::all_of(m_peers.begin(), m_peers.end(),
                       [this](const auto &p) { return p.second.revision <= heldRevision(); });
}

void config_core::applyIfDecided()
{
    if (!m_candidate || !isStartDecided())
        return;
    CROCUSWIND_INVARIANT(m_candidate->revision > revision(),
                         fmt::format("{} after {}", m_candidate->revision, revision()));
    m_encoded = std::make_shared<const std::string>(encodeConfig(*m_candidate));
    m_current = std::make_shared<const config_set>(std::move(*m_candidate));
    m_candidate.reset();
    m_actions.push_back(config_in_effect{m_current});
}

void config_core::considerAsking()
{
    if (m_asked)
        return;
    const config_peer *best = nullptr;
    const auto isBetter = [this](const config_peer &a, const config_peer &b) {
        const bool isLocalA = a.dataCentre == m_settings.dataCentre;
        const bool isLocalB = b.dataCentre == m_settings.dataCentre;
        return std::make_tuple(isLocalA, a.revision,
                               stableHash(m_settings.self.value + a.host.value))
            > std::make_tuple(isLocalB, b.revision,
                              stableHash(m_settings.self.value + b.host.value));
    };
    bool isAnyAhead = false;
    for (const auto &[host, peer] : m_peers) {
        if (peer.revision <= heldRevision())
            continue;
        isAnyAhead = true;
        if (m_askedInVain.count(host) == 0 && (best == nullptr || isBetter(peer, *best)))
            best = &peer;
    }
    if (best == nullptr) {
        // Everyone was asked in vain: the next round begins after a pause.
        if (isAnyAhead && m_now >= m_askDeadline) {
            m_askedInVain.clear();
            m_askDeadline = m_now + m_settings.retryPause;
        }
        return;
    }
    m_asked = best->host;
    // Copies of up to 700 KB may take longer than the first timeout, so it grows up to 4 s.
    m_askDeadline = m_now + m_settings.peerTimeout * (1 << std::min(m_askFailures / 2, 3));
    m_actions.push_back(config_request_copy{best->host, heldRevision()});
}

duration config_core::backoff(int failures) const
{
    const duration pause = m_settings.retryPause * (1 << std::min(failures, 3));
    // Spread by host, so that all hosts do not call at the same moment after an outage.
    const duration spread
        = m_settings.retryPause * std::int64_t(stableHash(m_settings.self.value) % 256) / 512;
    return std::min(pause, maxRetryPause) + spread;
}

std::int64_t config_core::heldRevision() const
{
    return m_candidate ? m_candidate->revision : revision();
}

instant config_core::nextWake() const
{
    instant next = m_now + m_settings.verifyPause;
    const auto sooner = [&](instant when) {
        if (when > m_now)
            next = std::min(next, when);
    };
    if (m_candidate)
        sooner(*m_started + m_settings.startWindow);
    if (m_read != 0)
        sooner(m_readDeadline + answerSlack);
    if (m_readAt)
        sooner(*m_readAt);
    if (m_watchDue)
        sooner(*m_watchDue);
    // Also ends the pause after all peers were asked in vain.
    sooner(m_askDeadline);
    return next;
}

std::string config_core::notReadyReason() const
{
    if (m_current)
        return {};
    std::string peers = "no peer is known";
    if (m_asked)
        peers = fmt::format("a copy was asked of {}", m_asked->value);
    else if (!m_peers.empty())
        peers = fmt::format("none of {} known peers has given one", m_peers.size());
    if (m_candidate)
        peers += fmt::format("; revision {} waits for the end of the start", m_candidate->revision);
    return fmt::format("no configuration yet: the store {}, and {}", m_storeState, peers);
}

} // namespace crocuswind
