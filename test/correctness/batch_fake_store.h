/// Defines an in-memory stand-in for the store with compare-and-swap transactions, leases and
/// outages.
#ifndef CROCUSWIND_TEST_BATCH_FAKE_STORE_H
#define CROCUSWIND_TEST_BATCH_FAKE_STORE_H

#include "base/base.h"

#include <map>
#include <string>

namespace crocuswind {

class fake_store
{
public:
    bool isDown = false;
    std::int64_t writes = 0; ///< Transactions that took effect.
    std::int64_t calls = 0;

    store_reply apply(const store_operation &operation, instant now)
    {
        ++calls;
        expire(now);
        store_reply reply;
        std::visit([&](const auto &o) { carryOut(o, now, reply); }, operation);
        reply.revision = m_revision;
        return reply;
    }

    void expire(instant now)
    {
        for (auto at = m_leases.begin(); at != m_leases.end();) {
            if (at->second > now) {
                ++at;
                continue;
            }
            endLease(at->first);
            at = m_leases.erase(at);
        }
    }

    /// Restores the full duration of every lease, as etcd does after an outage.
    void extendLeases(instant now)
    {
        for (auto &[lease, end] : m_leases)
            end = std::max(end, now + 5s);
    }

    const store_entry *find(const std::string &key) const
    {
        const auto at = m_entries.find(key);
        return at == m_entries.end() ? nullptr : &at->second;
    }

private:
    void endLease(std::int64_t lease)
    {
        for (auto at = m_entries.begin(); at != m_entries.end();)
            at = at->second.lease == lease ? m_entries.erase(at) : std::next(at);
        ++m_revision;
    }

    bool holds(const store_compare &c) const
    {
        const store_entry *e = find(c.key);
        switch (c.what) {
        case store_compare::property::create_revision:
            return (e == nullptr ? 0 : e->createRevision) == c.number;
        case store_compare::property::mod_revision:
            return (e == nullptr ? 0 : e->modRevision) == c.number;
        case store_compare::property::version:
            return (e == nullptr ? 0 : e->version) == c.number;
        case store_compare::property::value:
            return e != nullptr && e->value == c.value;
        }
        return false;
    }

    void carryOut(const store_range &range, instant /*now*/, store_reply &reply)
    {
        for (const auto &[key, entry] : m_entries) {
            const bool isWanted = range.isPrefix ? key.compare(0, range.key.size(), range.key) == 0
                                                 : key == range.key;
            if (isWanted)
                reply.entries.push_back(entry);
        }
    }

    void carryOut(const store_transaction &t, instant now, store_reply &reply)
    {
        for (const store_compare &c : t.compares)
            reply.succeeded = reply.succeeded && holds(c);
        // A key cannot be bound to an expired lease.
        for (const store_put &p : t.puts)
            reply.succeeded = reply.succeeded && (p.lease == 0 || m_leases.count(p.lease) != 0);
        if (!reply.succeeded) {
            for (const store_range &r : t.readOnFailure)
                carryOut(r, now, reply);
            return;
        }
        ++m_revision;
        ++writes;
        for (const store_put &p : t.puts) {
            store_entry &e = m_entries[p.key];
            if (e.version == 0)
                e.createRevision = m_revision;
            e.key = p.key;
            e.value = p.value;
            e.lease = p.lease;
            e.modRevision = m_revision;
            ++e.version;
        }
        for (const store_delete &d : t.deletes)
            m_entries.erase(d.key);
    }

    void carryOut(const store_lease_grant &grant, instant now, store_reply &reply)
    {
        reply.lease = ++m_nextLease;
        reply.ttlSeconds = grant.ttlSeconds;
        m_leases[reply.lease] = now + std::chrono::seconds(grant.ttlSeconds);
    }

    void carryOut(const store_lease_renewal &renewal, instant now, store_reply &reply)
    {
        const auto at = m_leases.find(renewal.lease);
        reply.lease = renewal.lease;
        reply.ttlSeconds = at == m_leases.end() ? 0 : 5;
        if (at != m_leases.end())
            at->second = now + 5s;
    }

    void carryOut(const store_lease_revocation &revocation, instant /*now*/,
                  store_reply & /*reply*/)
    {
        if (m_leases.erase(revocation.lease) != 0)
            endLease(revocation.lease);
    }

    std::map<std::string, store_entry> m_entries;
    std::map<std::int64_t, instant> m_leases;
    std::int64_t m_revision = 1;
    std::int64_t m_nextLease = 100;
};

} // namespace crocuswind

#endif
