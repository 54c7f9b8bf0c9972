#include "ownership.h"

#include <algorithm>
#include <fmt/format.h>

namespace crocuswind {

namespace {

/// Two standby hosts for each of 72 shards cause about 100 reads per second at this interval; the
/// store sustains 2,000.
constexpr duration watchInterval = 1500ms;
/// Takeover delay per rank. The second host then usually finds the key already claimed.
constexpr duration rankDelay = 300ms;
/// Delay after a failed call. It is short because the store usually responds within milliseconds.
constexpr duration retryDelay = 500ms;
/// Interval at which the owner key is read while the lease has expired.
constexpr duration confirmationInterval = 1s;
/// Range responses are base64-encoded and limited to 2 MB, so larger shards are read segment by
/// segment.
constexpr std::int64_t maxRangeBytes = 1'000'000;

const store_entry *findKey(const std::vector<store_entry> &entries, const std::string &key)
{
    for (const store_entry &entry : entries) {
        if (entry.key == key)
            return &entry;
    }
    return nullptr;
}

} // namespace

ownership::ownership(const host_id &host, incarnation incarnationNumber, const shard_id &shard)
    : m_host(host)
    , m_writer(fmt::format("{}.{}", host.value, incarnationNumber))
    , m_keys(shard)
    , m_shardName(toString(shard))
{ }

void ownership::setSession(const shard_session &session)
{
    m_session = session;
}

void ownership::setHosts(const std::vector<host_id> &hosts)
{
    m_hosts = hosts;
}

void ownership::requireConfirmation()
{
    m_mustReadOwnerKey = true;
    m_missingSince.reset();
}

bool ownership::isLeaseValid(instant now) const
{
    return m_session.lease != 0 && now < m_session.validUntil;
}

bool ownership::needsConfirmation(instant now) const
{
    if (m_mustReadOwnerKey)
        return true;
    const bool isOwnLease = m_session.lease == m_claimLease && isLeaseValid(now);
    return !isOwnLease && now >= m_confirmedUntil;
}

bool ownership::mayClaim(instant now) const
{
    return m_phase == phase::owning && !m_mustReadOwnerKey && m_session.lease == m_claimLease
        && isLeaseValid(now);
}

bool ownership::maySendCommands(instant now) const
{
    if (m_phase != phase::owning || m_mustReadOwnerKey)
        return false;
    // While the store is unreachable, a read of the owner key is in flight most of the time.
    // Commands continue meanwhile.
    return !needsConfirmation(now) || m_isUnreachable;
}

duration ownership::claimDelay() const
{
    const auto rankOf
        = [this](const host_id &host) { return stableHash(m_shardName + "|" + host.value); };
    const std::uint64_t own = rankOf(m_host);
    const auto before = std::count_if(m_hosts.begin(), m_hosts.end(), [&](const host_id &host) {
        return host != m_host && rankOf(host) < own;
    });
    return rankDelay * before;
}

std::optional<store_operation> ownership::nextCall(instant now)
{
    if (m_isInFlight || due(now) > now)
        return std::nullopt;
    m_isInFlight = true;
    if (m_isReleasing) {
        m_isReleaseInFlight = true;
        store_transaction release;
        release.compares.push_back(
            {m_keys.owner, store_compare::property::create_revision, m_epoch, std::string()});
        release.deletes.push_back({m_keys.owner});
        return release;
    }
    m_isConfirmationInFlight = m_phase == phase::owning;
    switch (m_phase) {
    case phase::released:
        break;
    case phase::watching:
    case phase::reading_claim:
    case phase::owning:
        return store_range{m_keys.owner, false};
    case phase::claiming: {
        store_transaction claim;
        claim.compares.push_back(
            {m_keys.owner, store_compare::property::create_revision, 0, std::string()});
        claim.puts.push_back({m_keys.owner, m_writer, m_session.lease});
        claim.readOnFailure.push_back({m_keys.owner, false});
        m_claimLease = m_session.lease;
        return claim;
    }
    case phase::loading_commit:
        return store_range{m_keys.commit, false};
    case phase::loading_segments:
        if (m_nextSegment == segmentCount)
            return store_range{m_keys.segments, true};
        return store_range{m_keys.segment(m_nextSegment), false};
    }
    return std::nullopt;
}

instant ownership::due(instant now) const
{
    if (m_isInFlight || m_phase == phase::released)
        return instant::max();
    if (m_isReleasing)
        return now;
    if (m_phase == phase::owning) {
        if (needsConfirmation(now))
            return std::max(now, m_nextCallAt);
        const bool isOwnLease = m_session.lease == m_claimLease && isLeaseValid(now);
        return isOwnLease ? m_session.validUntil : m_confirmedUntil;
    }
    if (!isLeaseValid(now))
        return instant::max();
    if (m_phase == phase::watching && m_missingSince)
        return std::max(m_nextCallAt, *m_missingSince + claimDelay());
    return std::max(now, m_nextCallAt);
}

void ownership::retry(instant now)
{
    m_nextCallAt = now + retryDelay;
}

void ownership::lose(instant now, duration wait)
{
    m_phase = phase::watching;
    m_missingSince.reset();
    m_mustReadOwnerKey = false;
    m_isUnreachable = false;
    m_loaded.reset();
    m_epoch = 0;
    m_claimLease = 0;
    m_nextCallAt = now + wait;
}

void ownership::release()
{
    m_isReleasing = m_isReleasing || m_epoch != 0;
    if (m_epoch == 0 && !m_isInFlight)
        m_phase = phase::released;
}

std::optional<loaded_shard> ownership::takeLoaded()
{
    if (m_phase != phase::owning || !m_loaded)
        return std::nullopt;
    std::optional<loaded_shard> loaded;
    loaded.swap(m_loaded);
    return loaded;
}

std::string ownership::handleResult(instant now, const store_result &result)
{
    m_isInFlight = false;
    if (m_isReleaseInFlight) {
        // The call is not retried if its response is lost: the key expires with the lease.
        m_phase = phase::released;
        return "released the shard";
    }
    if (m_isConfirmationInFlight) {
        m_isConfirmationInFlight = false;
        return m_phase == phase::owning ? handleConfirmation(now, result) : std::string();
    }
    if (!result) {
        // Only a claim without a response may have taken effect; the owner key is read to find out.
        if (m_phase == phase::claiming)
            m_phase
                = result.error() == store_error::no_answer ? phase::reading_claim : phase::watching;
        retry(now);
        return std::string();
    }
    switch (m_phase) {
    case phase::watching:
    case phase::reading_claim:
        return handleOwner(now, *result);
    case phase::claiming:
        if (!result->succeeded)
            return handleOwner(now, *result);
        beginLoading(result->revision);
        return std::string();
    case phase::loading_commit:
        return handleCommitRecord(now, *result);
    case phase::loading_segments:
        return handleSegments(now, *result);
    case phase::owning:
    case phase::released:
        break;
    }
    return std::string();
}

std::string ownership::handleOwner(instant now, const store_reply &reply)
{
    const store_entry *entry = findKey(reply.entries, m_keys.owner);
    const bool wasClaiming = m_phase == phase::claiming;
    m_phase = phase::watching;
    if (entry == nullptr && wasClaiming) {
        // The claim was refused although there is no owner: the store no longer knows the lease.
        // The store session detects this by itself.
        retry(now);
        return std::string();
    }
    if (entry == nullptr) {
        m_otherOwner.reset();
        if (!m_missingSince)
            m_missingSince = now;
        m_nextCallAt = now;
        if (now >= *m_missingSince + claimDelay())
            m_phase = phase::claiming;
        return std::string();
    }
    m_missingSince.reset();
    if (entry->value == m_writer && entry->lease == m_session.lease) {
        m_claimLease = entry->lease;
        beginLoading(entry->createRevision);
        return std::string();
    }
    const auto dot = entry->value.rfind('.');
    m_otherOwner = host_id{entry->value.substr(0, dot)};
    m_nextCallAt = now + watchInterval;
    return std::string();
}

void ownership::beginLoading(std::int64_t epoch)
{
    m_epoch = epoch;
    m_phase = phase::loading_commit;
    m_missingSince.reset();
    m_otherOwner.reset();
    m_mustReadOwnerKey = false;
    m_loaded = loaded_shard();
}

std::string ownership::handleCommitRecord(instant now, const store_reply &reply)
{
    m_phase = phase::loading_segments;
    m_nextSegment = segmentCount;
    const store_entry *entry = findKey(reply.entries, m_keys.commit);
    if (entry == nullptr)
        return std::string();
    const auto record = decodeCommitRecord(entry->value);
    if (!record) {
        lose(now, 30s);
        return "cannot read the commit record: " + record.error();
    }
    m_loaded->commitVersion = entry->version;
    m_loaded->sequence = record->sequence;
    if (record->segmentBytes > maxRangeBytes)
        m_nextSegment = 0;
    return std::string();
}

std::string ownership::handleSegments(instant now, const store_reply &reply)
{
    for (int number = 0; number < segmentCount; ++number) {
        const store_entry *entry = findKey(reply.entries, m_keys.segment(number));
        if (entry == nullptr)
            continue;
        auto jobs = decodeSegment(entry->value);
        if (!jobs) {
            // A takeover would overwrite the unreadable segment.
            lose(now, 30s);
            return fmt::format("cannot read segment {}: {}", number, jobs.error());
        }
        m_loaded->segmentBytes[std::size_t(number)] = entry->value.size();
        for (job_record &job : *jobs)
            m_loaded->jobs.push_back(std::move(job));
    }
    if (m_nextSegment < segmentCount - 1) {
        ++m_nextSegment;
        return std::string();
    }
    m_phase = phase::owning;
    m_confirmedUntil = now;
    m_isUnreachable = false;
    return fmt::format("took over with epoch {}, {} jobs", m_epoch, m_loaded->jobs.size());
}

std::string ownership::handleConfirmation(instant now, const store_result &result)
{
    if (!result) {
        const bool isNew = !m_isUnreachable;
        m_mustReadOwnerKey = false;
        m_isUnreachable = true;
        m_confirmedUntil = now;
        m_nextCallAt = now + confirmationInterval;
        return isNew
            ? "the store is unreachable; renewing the leases of running tasks, making no new claims"
            : std::string();
    }
    m_isUnreachable = false;
    const store_entry *entry = findKey(result->entries, m_keys.owner);
    if (entry != nullptr && entry->createRevision == m_epoch) {
        m_mustReadOwnerKey = false;
        m_confirmedUntil = now + confirmationInterval;
        return std::string();
    }
    lose(now);
    return "lost the shard: the owner key has expired or belongs to another host";
}

} // namespace crocuswind
