#include "store_model.h"

#include <algorithm>
#include <fmt/format.h>

namespace crocuswind::standin {

namespace {

/// The platform documents a limit of 1 MB for a value. The default request limit of etcd, 1.5 MB,
/// is higher.
constexpr std::size_t maxValueBytes = 1000 * 1000;
constexpr std::size_t maxOperations = 128;

/// Limits the memory for the changes that are kept for watchers which have not received them yet.
/// The commits of one shard write about 1 MB/s.
constexpr std::size_t maxHistoryBytes = 64 * 1000 * 1000;

template <class value>
bool compareBy(kv_compare::relation how, const value &a, const value &b)
{
    switch (how) {
    case kv_compare::relation::equal:
        return a == b;
    case kv_compare::relation::greater:
        return b < a;
    case kv_compare::relation::less:
        return a < b;
    case kv_compare::relation::not_equal:
        return !(a == b);
    }
    return false;
}

/// Returns the exclusive end of the range that holds all keys with \p prefix.
std::string prefixEnd(std::string prefix)
{
    while (!prefix.empty() && static_cast<unsigned char>(prefix.back()) == 0xff)
        prefix.pop_back();
    if (prefix.empty())
        return std::string(1, '\0');
    ++prefix.back();
    return prefix;
}

key_range rangeOf(const store_range &r)
{
    if (!r.isPrefix)
        return {r.key, ""};
    return {r.key.empty() ? std::string(1, '\0') : r.key, prefixEnd(r.key)};
}

kv_compare compareOf(const store_compare &c)
{
    kv_compare compare;
    compare.key = c.key;
    compare.number = c.number;
    compare.value = c.value;
    switch (c.what) {
    case store_compare::property::create_revision:
        compare.what = kv_compare::target::create;
        break;
    case store_compare::property::mod_revision:
        compare.what = kv_compare::target::mod;
        break;
    case store_compare::property::version:
        compare.what = kv_compare::target::version;
        break;
    case store_compare::property::value:
        compare.what = kv_compare::target::value;
        break;
    }
    return compare;
}

} // namespace

bool key_range::contains(const std::string &candidate) const
{
    if (end.empty())
        return candidate == key;
    return candidate >= key && (end == std::string(1, '\0') || candidate < end);
}

bool store_model::holds(const kv_compare &c) const
{
    const auto found = m_entries.find(c.key);
    const bool exists = found != m_entries.end();
    const store_entry entry = exists ? found->second : store_entry{};
    switch (c.what) {
    case kv_compare::target::version:
        return compareBy(c.how, entry.version, c.number);
    case kv_compare::target::create:
        return compareBy(c.how, entry.createRevision, c.number);
    case kv_compare::target::mod:
        return compareBy(c.how, entry.modRevision, c.number);
    case kv_compare::target::lease:
        return compareBy(c.how, entry.lease, c.number);
    case kv_compare::target::value:
        // As in etcd, comparing the value of a missing key fails for every relation.
        return exists && compareBy(c.how, entry.value, c.value);
    }
    return false;
}

std::optional<kv_error> store_model::check(const std::vector<kv_request> &requests) const
{
    std::set<std::string> written;
    for (const kv_request &r : requests) {
        const auto *p = std::get_if<kv_put>(&r);
        if (!p)
            continue;
        if (p->key.empty())
            return kv_error{400, 3, "etcdserver: key is not provided"};
        if (p->value.size() > maxValueBytes)
            return kv_error{400, 3, "etcdserver: request is too large"};
        if (p->lease != 0 && m_leases.count(p->lease) == 0)
            return kv_error{404, 5, "etcdserver: requested lease not found"};
        if (!written.insert(p->key).second)
            return kv_error{400, 3, "etcdserver: duplicate key given in txn request"};
    }
    for (const kv_request &r : requests) {
        const auto *d = std::get_if<kv_delete>(&r);
        if (d && std::any_of(written.begin(), written.end(), [d](const std::string &key) {
                return d->keys.contains(key);
            }))
            return kv_error{400, 3, "etcdserver: duplicate key given in txn request"};
    }
    return std::nullopt;
}

tl::expected<kv_result, kv_error> store_model::transact(instant now, const kv_transaction &t)
{
    expire(now);
    if (t.compares.size() > maxOperations || t.success.size() > maxOperations
        || t.failure.size() > maxOperations)
        return tl::unexpected(kv_error{400, 3, "etcdserver: too many operations in txn request"});
    for (const auto *branch : {&t.success, &t.failure}) {
        if (auto error = check(*branch))
            return tl::unexpected(*error);
    }
    kv_result result;
    result.succeeded = std::all_of(t.compares.begin(), t.compares.end(),
                                   [this](const kv_compare &c) { return holds(c); });
    const std::int64_t revision = m_revision + 1;
    bool hasChanged = false;
    for (const kv_request &r : result.succeeded ? t.success : t.failure) {
        kv_response response;
        if (const auto *p = std::get_if<kv_put>(&r)) {
            put(*p, revision);
            hasChanged = true;
            response.what = kv_response::kind::put;
        } else if (const auto *d = std::get_if<kv_delete>(&r)) {
            response.what = kv_response::kind::deleted;
            response.count = remove(d->keys, revision);
            hasChanged = hasChanged || response.count > 0;
        } else {
            const auto &wanted = std::get<kv_read>(r);
            response.entries = read(wanted.keys);
            response.count = std::int64_t(response.entries.size());
            if (wanted.limit > 0 && response.count > wanted.limit)
                response.entries.resize(std::size_t(wanted.limit));
        }
        result.responses.push_back(std::move(response));
    }
    if (hasChanged) {
        m_revision = revision;
        ++m_writes;
    }
    result.revision = m_revision;
    return result;
}

void store_model::put(const kv_put &p, std::int64_t revision)
{
    store_entry &entry = m_entries[p.key];
    if (entry.version == 0) {
        entry.key = p.key;
        entry.createRevision = revision;
    } else {
        detachFromLease(entry);
    }
    entry.value = p.value;
    entry.modRevision = revision;
    ++entry.version;
    entry.lease = p.lease;
    if (p.lease != 0)
        m_leases[p.lease].keys.insert(p.key);
    addToHistory({false, entry});
}

std::int64_t store_model::remove(const key_range &keys, std::int64_t revision)
{
    std::int64_t count = 0;
    for (auto i = m_entries.lower_bound(keys.key); i != m_entries.end();) {
        if (!keys.contains(i->first))
            break;
        detachFromLease(i->second);
        kv_change change;
        change.isDeleted = true;
        change.entry.key = i->first;
        change.entry.modRevision = revision;
        addToHistory(std::move(change));
        i = m_entries.erase(i);
        ++count;
    }
    return count;
}

void store_model::detachFromLease(const store_entry &entry)
{
    const auto lease = m_leases.find(entry.lease);
    if (lease != m_leases.end())
        lease->second.keys.erase(entry.key);
}

tl::expected<lease_state, kv_error> store_model::grant(instant now, std::int64_t ttlSeconds,
                                                       std::int64_t requestedLease)
{
    expire(now);
    if (ttlSeconds < 1)
        return tl::unexpected(kv_error{400, 3, "etcdserver: invalid lease TTL"});
    if (requestedLease != 0 && m_leases.count(requestedLease) != 0)
        return tl::unexpected(kv_error{400, 9, "etcdserver: lease already exists"});
    const std::int64_t lease = requestedLease != 0 ? requestedLease : m_nextLease++;
    m_leases[lease] = {ttlSeconds, now + std::chrono::seconds(ttlSeconds), {}};
    return lease_state{lease, ttlSeconds};
}

lease_state store_model::keepAlive(instant now, std::int64_t lease)
{
    expire(now);
    const auto found = m_leases.find(lease);
    if (found == m_leases.end())
        return {lease, 0};
    found->second.expiry = now + std::chrono::seconds(found->second.ttlSeconds);
    return {lease, found->second.ttlSeconds};
}

tl::expected<void, kv_error> store_model::revoke(instant now, std::int64_t lease)
{
    expire(now);
    if (m_leases.count(lease) == 0)
        return tl::unexpected(kv_error{404, 5, "etcdserver: requested lease not found"});
    endLease(lease);
    return {};
}

void store_model::endLease(std::int64_t lease)
{
    const std::set<std::string> keys = m_leases[lease].keys;
    if (!keys.empty()) {
        ++m_revision;
        for (const std::string &key : keys)
            remove({key, ""}, m_revision);
    }
    m_leases.erase(lease);
}

void store_model::expire(instant now)
{
    for (auto next = nextExpiry(); next && *next <= now; next = nextExpiry()) {
        for (const auto &[lease, record] : m_leases) {
            if (record.expiry == *next) {
                endLease(lease);
                break;
            }
        }
    }
}

void store_model::addToHistory(kv_change change)
{
    const auto sizeOf
        = [](const kv_change &c) { return sizeof(c) + c.entry.key.size() + c.entry.value.size(); };
    m_historyBytes += sizeOf(change);
    m_history.push_back(std::move(change));
    while (m_historyBytes > maxHistoryBytes && m_history.size() > 1) {
        m_historyBytes -= sizeOf(m_history.front());
        m_history.pop_front();
    }
}

std::optional<instant> store_model::nextExpiry() const
{
    std::optional<instant> next;
    for (const auto &[lease, record] : m_leases) {
        if (!next || record.expiry < *next)
            next = record.expiry;
    }
    return next;
}

std::vector<store_entry> store_model::read(const key_range &keys) const
{
    std::vector<store_entry> entries;
    for (auto i = m_entries.lower_bound(keys.key); i != m_entries.end() && keys.contains(i->first);
         ++i)
        entries.push_back(i->second);
    return entries;
}

std::vector<kv_change> store_model::changesFrom(std::int64_t revision, const key_range &keys) const
{
    std::vector<kv_change> changes;
    const auto first
        = std::partition_point(m_history.begin(), m_history.end(),
                               [&](const kv_change &c) { return c.entry.modRevision < revision; });
    for (auto i = first; i != m_history.end(); ++i) {
        if (keys.contains(i->entry.key))
            changes.push_back(*i);
    }
    return changes;
}

store_result store_model::apply(instant now, const store_operation &operation)
{
    store_reply reply;
    const auto transactAndRead = [&](const kv_transaction &t) -> store_result {
        const auto result = transact(now, t);
        if (!result)
            return tl::unexpected(store_error::refused);
        reply.succeeded = result->succeeded;
        reply.revision = result->revision;
        for (const kv_response &response : result->responses)
            reply.entries.insert(reply.entries.end(), response.entries.begin(),
                                 response.entries.end());
        return reply;
    };
    const auto leaseReply = [&](const lease_state &state) {
        reply.lease = state.lease;
        reply.ttlSeconds = state.ttlSeconds;
        reply.revision = m_revision;
        return reply;
    };
    if (const auto *range = std::get_if<store_range>(&operation))
        return transactAndRead({{}, {kv_read{rangeOf(*range), 0}}, {}});
    if (const auto *t = std::get_if<store_transaction>(&operation)) {
        kv_transaction kv;
        for (const store_compare &c : t->compares)
            kv.compares.push_back(compareOf(c));
        for (const store_put &p : t->puts)
            kv.success.emplace_back(kv_put{p.key, p.value, p.lease});
        for (const store_delete &d : t->deletes)
            kv.success.emplace_back(kv_delete{{d.key, ""}});
        for (const store_range &r : t->readOnFailure)
            kv.failure.emplace_back(kv_read{rangeOf(r), 0});
        return transactAndRead(kv);
    }
    if (const auto *g = std::get_if<store_lease_grant>(&operation)) {
        const auto state = grant(now, g->ttlSeconds, 0);
        if (!state)
            return tl::unexpected(store_error::refused);
        return leaseReply(*state);
    }
    if (const auto *renewal = std::get_if<store_lease_renewal>(&operation))
        return leaseReply(keepAlive(now, renewal->lease));
    if (!revoke(now, std::get<store_lease_revocation>(operation).lease))
        return tl::unexpected(store_error::refused);
    reply.revision = m_revision;
    return reply;
}

} // namespace crocuswind::standin
