#include "commit_pipeline.h"

#include <algorithm>

namespace crocuswind {

namespace {

constexpr duration commitInterval = 1s;
/// A latency-critical task must start within 1.4 s, so its claim cannot wait for `commitInterval`.
constexpr duration urgentInterval = 250ms;
/// Keeps the base64-encoded transaction within the 2 MB message limit.
constexpr std::size_t maxTransactionBytes = 1'000'000;
constexpr duration firstBackoff = 500ms;
constexpr duration maxBackoff = 4s;

} // namespace

commit_pipeline::commit_pipeline(const shard_keys &keys, std::string writer)
    : m_keys(keys)
    , m_writer(std::move(writer))
{ }

void commit_pipeline::begin(std::int64_t epoch, std::int64_t commitVersion, std::int64_t sequence,
                            const std::array<std::size_t, segmentCount> &segmentBytes)
{
    *this = commit_pipeline(m_keys, m_writer);
    m_epoch = epoch;
    m_version = commitVersion;
    m_nextSequence = sequence + 1;
    m_bytes = segmentBytes;
}

std::int64_t commit_pipeline::markChanged(int segment, bool isUrgent)
{
    m_changedAt[std::size_t(segment)] = m_nextSequence;
    m_isUrgent = m_isUrgent || isUrgent;
    return m_nextSequence;
}

bool commit_pipeline::isDurable(int segment, std::int64_t sequence) const
{
    return m_committedAt[std::size_t(segment)] >= sequence;
}

bool commit_pipeline::mayBeCommitted(int segment, std::int64_t sequence) const
{
    const auto includesChange = [&](const commit_attempt &a) {
        return a.sequence >= sequence
            && std::find(a.segments.begin(), a.segments.end(), segment) != a.segments.end();
    };
    return isDurable(segment, sequence) || (m_inFlight && includesChange(*m_inFlight))
        || std::any_of(m_unresolved.begin(), m_unresolved.end(), includesChange);
}

bool commit_pipeline::isDirty() const
{
    for (std::size_t k = 0; k < segmentCount; ++k) {
        if (m_changedAt[k] > m_committedAt[k])
            return true;
    }
    return false;
}

bool commit_pipeline::mayCall(instant now) const
{
    return !m_inFlight && !m_isReading && due(true) <= now;
}

instant commit_pipeline::due(bool isWanted) const
{
    if (m_inFlight || m_isReading)
        return instant::max();
    if (m_mustReadCommitRecord)
        return m_earliestCallAt;
    if (!isWanted && !isDirty())
        return instant::max();
    if (!m_lastSentAt)
        return m_earliestCallAt;
    return std::max(m_earliestCallAt,
                    *m_lastSentAt + (m_isUrgent ? urgentInterval : commitInterval));
}

std::optional<store_operation> commit_pipeline::nextCall(instant now, const segment_encoder &encode)
{
    if (due(false) > now)
        return std::nullopt;
    if (m_mustReadCommitRecord) {
        m_isReading = true;
        return store_range{m_keys.commit, false};
    }
    commit_attempt sent;
    sent.sequence = m_nextSequence++;
    store_transaction commit;
    commit.compares.push_back(
        {m_keys.owner, store_compare::property::create_revision, m_epoch, std::string()});
    commit.compares.push_back(
        {m_keys.commit, store_compare::property::version, m_version, std::string()});
    std::size_t total = 0;
    for (int i = 0; i < segmentCount; ++i) {
        const int segment = (m_nextFirstSegment + i) % segmentCount;
        const auto k = std::size_t(segment);
        if (m_changedAt[k] <= m_committedAt[k])
            continue;
        std::string value = encode(segment);
        if (!sent.segments.empty() && total + value.size() > maxTransactionBytes)
            continue;
        total += value.size();
        m_bytes[k] = value.size();
        sent.segments.push_back(segment);
        commit.puts.push_back({m_keys.segment(segment), std::move(value), 0});
    }
    m_nextFirstSegment = (sent.segments.back() + 1) % segmentCount;
    commit_record record{m_epoch, sent.sequence, m_writer, 0};
    for (const std::size_t bytes : m_bytes)
        record.segmentBytes += std::int64_t(bytes);
    commit.puts.push_back({m_keys.commit, encodeCommitRecord(record), 0});
    commit.readOnFailure = {{m_keys.owner, false}, {m_keys.commit, false}};
    m_inFlight = std::move(sent);
    m_lastSentAt = now;
    m_isUrgent = false;
    return commit;
}

commit_status commit_pipeline::applyCommit(std::int64_t sequence)
{
    const auto markCommitted = [&](const commit_attempt &a) {
        if (a.sequence != sequence)
            return;
        for (const int segment : a.segments)
            m_committedAt[std::size_t(segment)] = sequence;
    };
    if (m_inFlight)
        markCommitted(*m_inFlight);
    for (const commit_attempt &a : m_unresolved)
        markCommitted(a);
    // All attempts compared the same version, so at most one can have taken effect.
    m_inFlight.reset();
    m_unresolved.clear();
    m_mustReadCommitRecord = false;
    ++m_version;
    ++m_commits;
    return commit_status::committed;
}

void commit_pipeline::backOff(instant now)
{
    duration wait = firstBackoff;
    for (int i = 0; i < m_failures && wait < maxBackoff; ++i)
        wait *= 2;
    // Spreads the retries of the shards over 0.5 s to avoid a burst of calls when the store
    // recovers.
    const auto spread = duration(std::int64_t(stableHash(m_keys.prefix) % 500) * 1000);
    m_earliestCallAt = now + std::min(wait, maxBackoff) + spread;
    ++m_failures;
    m_isStoreDown = true;
}

bool commit_pipeline::isAttempted(std::int64_t sequence) const
{
    const auto is = [sequence](const commit_attempt &a) { return a.sequence == sequence; };
    return (m_inFlight && is(*m_inFlight))
        || std::any_of(m_unresolved.begin(), m_unresolved.end(), is);
}

commit_status commit_pipeline::handleEntries(const std::vector<store_entry> &entries)
{
    for (const store_entry &entry : entries) {
        if (entry.key != m_keys.commit || entry.version == m_version)
            continue;
        const auto record = decodeCommitRecord(entry.value);
        const bool isOwn = record && record->writer == m_writer && record->epoch == m_epoch
            && entry.version == m_version + 1 && isAttempted(record->sequence);
        return isOwn ? applyCommit(record->sequence) : commit_status::ownership_lost;
    }
    return commit_status::undetermined;
}

commit_status commit_pipeline::handleResult(instant now, const store_result &result)
{
    if (!result) {
        backOff(now);
        if (m_isReading) {
            m_isReading = false;
            return commit_status::failed;
        }
        if (result.error() == store_error::no_answer) {
            m_unresolved.push_back(std::move(*m_inFlight));
            m_mustReadCommitRecord = true;
        }
        m_inFlight.reset();
        return commit_status::failed;
    }
    m_failures = 0;
    m_isStoreDown = false;
    if (m_isReading) {
        // If the commit record is unchanged, a commit attempt may still be in transit. The next
        // commit compares the same version, so at most one of them takes effect.
        m_isReading = false;
        m_mustReadCommitRecord = false;
        return handleEntries(result->entries);
    }
    if (result->succeeded)
        return applyCommit(m_inFlight->sequence);
    for (const store_entry &entry : result->entries) {
        if (entry.key != m_keys.owner || entry.createRevision != m_epoch)
            continue;
        const commit_status outcome = handleEntries(result->entries);
        m_inFlight.reset();
        return outcome == commit_status::undetermined ? commit_status::ownership_lost : outcome;
    }
    m_inFlight.reset();
    return commit_status::ownership_lost;
}

} // namespace crocuswind
