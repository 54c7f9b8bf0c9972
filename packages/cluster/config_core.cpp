#include "config_core.h"

#include <algorithm>
#include <fmt/format.h>

namespace crocuswind {

namespace {

/// Grace period after the deadline of a call, after which a missing result from the adapter is
/// treated as a failure.
constexpr duration answerSlack = 1s;

/// Longest delay between attempts during an outage. With 27 hosts that read and watch this makes at
/// most 7 store calls a second.
constexpr duration maxRetryPause = 8s;

/// Number of failed requests for a copy after which the store is read instead.
constexpr int copyFailuresBeforeStoreRead = 3;

/// A watch that lasted at least this long is restarted immediately when it ends.
constexpr duration minHealthyWatch = 5s;

} // namespace

config_core::config_core(config_settings settings)
    : m_settings(std::move(settings))
{ }

std::vector<config_core::action> config_core::handle(const event &e)
{
    m_now = e.now;
    m_actions.clear();
    if (!m_startTime) {
        m_startTime = m_now;
        // A host that joins a running cluster gets this long to learn which host is the watcher.
        m_unwatchedSince = m_now + m_settings.takeoverDelay;
        readStore();
    }
    std::visit([this](const auto &what) { on(what); }, e.what);
    if (m_readToken != 0 && m_now >= m_readDeadline + answerSlack)
        onReadFailed();
    if (m_copyRequestedFrom && m_now >= m_copyDeadline) {
        m_exhaustedPeers.insert(*m_copyRequestedFrom);
        m_copyRequestedFrom.reset();
        ++m_copyFailures;
        if (m_copyFailures % copyFailuresBeforeStoreRead == 0)
            readStore();
    }
    updateWatcherRole();
    if (m_readAt && m_now >= *m_readAt)
        readStore();
    applyCandidate();
    requestCopyIfBehind();
    reportWatching();
    m_actions.push_back(cluster_wake_at{nextWake()});
    return std::move(m_actions);
}

void config_core::on(const cluster_tick &) { }

void config_core::on(const cluster_store_answer &e)
{
    if (e.token != m_readToken || m_readToken == 0)
        return;
    if (!e.result) {
        onReadFailed();
        return;
    }
    m_readToken = 0;
    m_readFailures = 0;
    // After the first read that verifies a watch, a second read follows, because a change may occur
    // after the first read but before the store starts to report changes to the watch.
    if (m_watchToken != 0)
        m_readAt = m_now + (m_isWatchVerified ? m_settings.verifyInterval : m_settings.retryPause);
    const std::int64_t before = highestRevision();
    considerStoreEntry(e.result->entries.empty()
                           ? std::nullopt
                           : std::optional<store_entry>(e.result->entries.front()));
    if (m_watchToken != 0 && m_isWatchVerified && highestRevision() > before) {
        // The watch has not reported this change, so it has stalled.
        m_actions.push_back(config_log{"config: the store watch missed a change and is restarted"});
        stopWatch();
        startWatch();
        readStore();
    } else if (m_watchToken != 0) {
        m_isWatchVerified = true;
    }
}

void config_core::on(const config_peer &e)
{
    if (e.host == m_settings.self)
        return;
    if (!e.alive) {
        m_peers.erase(e.host);
        if (m_copyRequestedFrom == e.host)
            m_copyDeadline = m_now;
        return;
    }
    config_peer &known = m_peers[e.host];
    if (e.revision > known.revision)
        m_exhaustedPeers.erase(e.host);
    known = e;
}

void config_core::on(const config_watch_result &e)
{
    if (e.watch == m_watchToken && m_watchToken != 0)
        considerStoreEntry(e.entry);
}

void config_core::on(const config_watch_ended &e)
{
    if (e.watch != m_watchToken || m_watchToken == 0)
        return;
    m_watchToken = 0;
    m_isWatchVerified = false;
    // Stores and proxies routinely end long watches, so only short ones count as failures.
    m_watchFailures = m_now - m_watchStarted >= minHealthyWatch ? 0 : m_watchFailures + 1;
    if (m_watchFailures > 0)
        m_watchAt = m_now + backoff(m_watchFailures - 1);
}

void config_core::on(const config_copy &e)
{
    const bool isAwaited = m_copyRequestedFrom == e.from;
    if (isAwaited)
        m_copyRequestedFrom.reset();
    if (!e.encoded.empty()) {
        auto config = decodeConfig(e.encoded);
        if (config && config->revision > highestRevision()) {
            m_copyFailures = 0;
            m_exhaustedPeers.clear();
            considerCandidate(std::move(*config));
            return;
        }
        if (!config) {
            m_actions.push_back(config_log{
                fmt::format("config: invalid copy from {}: {}", e.from.value, config.error())});
        }
    }
    if (isAwaited)
        m_exhaustedPeers.insert(e.from);
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
    if (m_readToken != 0)
        return;
    m_readToken = ++m_lastToken;
    m_readDeadline = m_now + m_settings.callTimeout;
    m_actions.push_back(
        cluster_store_call{m_readToken, store_range{configCurrentKey, false}, m_readDeadline});
}

void config_core::onReadFailed()
{
    m_readToken = 0;
    ++m_readFailures;
    m_isWatchVerified = false;
    m_storeState = "does not answer";
    // A host that has a configuration and does not watch does not need the store.
    if (m_watchToken != 0 || !m_current)
        m_readAt = m_now + backoff(m_readFailures);
}

void config_core::startWatch()
{
    m_watchToken = ++m_lastWatch;
    m_isWatchVerified = false;
    m_watchStarted = m_now;
    m_watchAt.reset();
    m_watchDue.reset();
    m_actions.push_back(config_start_watch{m_watchToken});
}

void config_core::stopWatch()
{
    m_actions.push_back(config_stop_watch{m_watchToken});
    m_watchToken = 0;
    m_isWatchVerified = false;
    m_readAt.reset();
}

void config_core::updateWatcherRole()
{
    int rank = 0;
    bool isWatchedByHigherRank = false;
    for (const auto &[host, peer] : m_peers) {
        if (peer.dataCentre != m_settings.dataCentre || !(host < m_settings.self))
            continue;
        ++rank;
        isWatchedByHigherRank = isWatchedByHigherRank || peer.watching;
    }
    if (isWatchedByHigherRank) {
        m_unwatchedSince.reset();
        m_watchDue.reset();
        if (m_watchToken != 0)
            stopWatch();
        return;
    }
    if (!m_unwatchedSince)
        m_unwatchedSince = m_now;
    if (m_watchToken != 0)
        return;
    const instant start = *m_unwatchedSince + rank * m_settings.takeoverDelay;
    m_watchDue = std::max(start, m_watchAt.value_or(start));
    if (m_now < *m_watchDue)
        return;
    startWatch();
    readStore();
}

void config_core::reportWatching()
{
    const bool isWatching = m_watchToken != 0 && m_isWatchVerified;
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
            config_log{fmt::format("config: invalid value in the store: {}", config.error())});
        return;
    }
    m_storeState = fmt::format("holds revision {}", config->revision);
    if (m_current && config->revision == m_current->revision
        && config->publication != m_current->publication) {
        m_actions.push_back(config_log{fmt::format(
            "config: the store holds another revision {} (publication {}) than the one in effect "
            "({}); it is ignored, publish a higher revision",
            config->revision, config->publication, m_current->publication)});
    }
    considerCandidate(std::move(*config));
}

void config_core::considerCandidate(config_set config)
{
    if (config.revision <= highestRevision())
        return;
    m_candidate = std::move(config);
    m_exhaustedPeers.clear();
}

bool config_core::isStartupDecided() const
{
    if (m_current || m_now >= *m_startTime + m_settings.startupWindow)
        return true;
    // A peer with revision 0 has no configuration, or has so far sent only its hello.
    const bool hasAnyReported = std::any_of(m_peers.begin(), m_peers.end(),
                                            [](const auto &p) { return p.second.revision > 0; });
    return m_hasStoreAnswered && hasAnyReported
        && std::all_of(m_peers.begin(), m_peers.end(),
                       [this](const auto &p) { return p.second.revision <= highestRevision(); });
}

void config_core::applyCandidate()
{
    if (!m_candidate || !isStartupDecided())
        return;
    CROCUSWIND_INVARIANT(m_candidate->revision > revision(),
                         fmt::format("{} after {}", m_candidate->revision, revision()));
    m_encoded = std::make_shared<const std::string>(encodeConfig(*m_candidate));
    m_current = std::make_shared<const config_set>(std::move(*m_candidate));
    m_candidate.reset();
    m_actions.push_back(config_in_effect{m_current});
}

void config_core::requestCopyIfBehind()
{
    if (m_copyRequestedFrom)
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
        if (peer.revision <= highestRevision())
            continue;
        isAnyAhead = true;
        if (m_exhaustedPeers.count(host) == 0 && (best == nullptr || isBetter(peer, *best)))
            best = &peer;
    }
    if (best == nullptr) {
        // No peer has delivered a copy; the next round of requests starts after a delay.
        if (isAnyAhead && m_now >= m_copyDeadline) {
            m_exhaustedPeers.clear();
            m_copyDeadline = m_now + m_settings.retryPause;
        }
        return;
    }
    m_copyRequestedFrom = best->host;
    // Copies of up to 700 KB may take longer than the initial timeout, so it grows to up to 4 s.
    m_copyDeadline = m_now + m_settings.peerTimeout * (1 << std::min(m_copyFailures / 2, 3));
    m_actions.push_back(config_request_copy{best->host, highestRevision()});
}

duration config_core::backoff(int failures) const
{
    const duration pause = m_settings.retryPause * (1 << std::min(failures, 3));
    // A different delay for each host prevents all hosts from calling the store at the same time
    // after an outage.
    const duration spread
        = m_settings.retryPause * std::int64_t(stableHash(m_settings.self.value) % 256) / 512;
    return std::min(pause, maxRetryPause) + spread;
}

std::int64_t config_core::highestRevision() const
{
    return m_candidate ? m_candidate->revision : revision();
}

instant config_core::nextWake() const
{
    instant next = m_now + m_settings.verifyInterval;
    const auto wakeBy = [&](instant when) {
        if (when > m_now)
            next = std::min(next, when);
    };
    if (m_candidate)
        wakeBy(*m_startTime + m_settings.startupWindow);
    if (m_readToken != 0)
        wakeBy(m_readDeadline + answerSlack);
    if (m_readAt)
        wakeBy(*m_readAt);
    if (m_watchDue)
        wakeBy(*m_watchDue);
    // Also the end of the delay after no peer has delivered a copy.
    wakeBy(m_copyDeadline);
    return next;
}

std::string config_core::notReadyReason() const
{
    if (m_current)
        return {};
    std::string peers = "no peer is known";
    if (m_copyRequestedFrom)
        peers = fmt::format("a copy was asked of {}", m_copyRequestedFrom->value);
    else if (!m_peers.empty())
        peers = fmt::format("none of {} known peers has given one", m_peers.size());
    if (m_candidate)
        peers += fmt::format("; revision {} waits for the end of the start", m_candidate->revision);
    return fmt::format("no configuration yet: the store {}, and {}", m_storeState, peers);
}

} // namespace crocuswind
