/// Fakes for the tests of the cluster library: virtual time, a store with leases, and network paths
/// with seeded loss and delay.
#ifndef CROCUSWIND_TEST_CLUSTER_FAKES_H
#define CROCUSWIND_TEST_CLUSTER_FAKES_H

#include "cluster/cluster.h"

#include <algorithm>
#include <functional>
#include <map>
#include <queue>

namespace crocuswind::cluster_test {

/// Event queue that runs functions in the order of their virtual time.
class virtual_time
{
public:
    instant now() const { return m_now; }
    void at(instant when, std::function<void()> run)
    {
        m_queue.push({std::max(when, m_now), m_count++, std::move(run)});
    }
    void after(duration pause, std::function<void()> run) { at(m_now + pause, std::move(run)); }
    void runUntil(instant end)
    {
        while (!m_queue.empty() && m_queue.top().when <= end) {
            const entry next = m_queue.top();
            m_queue.pop();
            m_now = next.when;
            next.run();
        }
        m_now = end;
    }
    void runFor(duration length) { runUntil(m_now + length); }

private:
    struct entry
    {
        instant when;
        std::uint64_t number;
        std::function<void()> run;
        bool operator<(const entry &other) const
        {
            return std::tie(other.when, other.number) < std::tie(when, number);
        }
    };
    instant m_now{3600s};
    std::uint64_t m_count = 0;
    std::priority_queue<entry> m_queue;
};

/// Fake of the platform's store. Leases expire in virtual time.
class fake_store
{
public:
    explicit fake_store(virtual_time &time)
        : m_time(time)
    { }

    store_result apply(const store_operation &operation)
    {
        expireLeases();
        return std::visit([this](const auto &o) { return execute(o); }, operation);
    }
    const std::map<std::string, store_entry> &entries()
    {
        expireLeases();
        return m_entries;
    }

    /// While set, range reads are answered from this copy, as by a stale replica.
    std::optional<std::map<std::string, store_entry>> staleEntries;
    /// Called after each put.
    std::function<void(const store_entry &)> onPut;

private:
    store_reply reply() const
    {
        store_reply r;
        r.revision = m_revision;
        return r;
    }
    static void read(const store_range &range, const std::map<std::string, store_entry> &from,
                     store_reply *into)
    {
        for (const auto &[key, entry] : from) {
            if (key == range.key || (range.isPrefix && key.rfind(range.key, 0) == 0))
                into->entries.push_back(entry);
        }
    }
    bool holds(const store_compare &c) const
    {
        const auto found = m_entries.find(c.key);
        const store_entry e = found == m_entries.end() ? store_entry() : found->second;
        if (c.what == store_compare::property::value)
            return e.value == c.value;
        if (c.what == store_compare::property::version)
            return e.version == c.number;
        return (c.what == store_compare::property::mod_revision ? e.modRevision : e.createRevision)
            == c.number;
    }
    store_result execute(const store_range &range)
    {
        store_reply r = reply();
        read(range, staleEntries ? *staleEntries : m_entries, &r);
        return r;
    }
    store_result execute(const store_transaction &t)
    {
        if (!std::all_of(t.compares.begin(), t.compares.end(),
                         [this](const store_compare &c) { return holds(c); })) {
            store_reply r = reply();
            r.succeeded = false;
            for (const store_range &range : t.readOnFailure)
                read(range, m_entries, &r);
            return r;
        }
        for (const store_put &p : t.puts) {
            if (p.lease != 0 && m_leases.count(p.lease) == 0)
                return tl::unexpected(store_error::refused);
        }
        ++m_revision;
        for (const store_put &p : t.puts) {
            store_entry &e = m_entries[p.key];
            const std::int64_t created = e.version == 0 ? m_revision : e.createRevision;
            e = {p.key, p.value, created, m_revision, e.version + 1, p.lease};
            if (onPut)
                onPut(e);
        }
        for (const store_delete &d : t.deletes)
            m_entries.erase(d.key);
        return reply();
    }
    store_result execute(const store_lease_grant &grant)
    {
        store_reply r = reply();
        r.lease = ++m_lastLease;
        r.ttlSeconds = grant.ttlSeconds;
        m_leases[r.lease]
            = {m_time.now() + std::chrono::seconds(grant.ttlSeconds), grant.ttlSeconds};
        return r;
    }
    store_result execute(const store_lease_renewal &renewal)
    {
        store_reply r = reply();
        r.lease = renewal.lease;
        const auto lease = m_leases.find(renewal.lease);
        if (lease != m_leases.end()) {
            r.ttlSeconds = lease->second.second;
            lease->second.first = m_time.now() + std::chrono::seconds(r.ttlSeconds);
        }
        return r;
    }
    store_result execute(const store_lease_revocation &revocation)
    {
        end(revocation.lease);
        return reply();
    }
    void end(std::int64_t lease)
    {
        m_leases.erase(lease);
        for (auto e = m_entries.begin(); e != m_entries.end();)
            e = e->second.lease == lease ? m_entries.erase(e) : std::next(e);
        ++m_revision;
    }
    void expireLeases()
    {
        std::vector<std::int64_t> expired;
        for (const auto &[lease, until] : m_leases) {
            if (until.first <= m_time.now())
                expired.push_back(lease);
        }
        for (const std::int64_t lease : expired)
            end(lease);
    }

    virtual_time &m_time;
    std::map<std::string, store_entry> m_entries;
    std::map<std::int64_t, std::pair<instant, std::int64_t>> m_leases;
    std::int64_t m_revision = 100;
    std::int64_t m_lastLease = 7000;
};

/// The faults and delays of a network path.
struct path_faults
{
    double loss = 0; ///< Probability that a message is lost, in each direction.
    double duplication = 0; ///< Probability that a message arrives twice.
    duration minDelay = 1ms;
    duration maxDelay = 5ms; ///< Delays are uniformly distributed, so messages may be reordered.
    bool isDown = false; ///< Messages are not sent at all.
};

inline duration drawDelay(const path_faults &faults, random_source &random)
{
    const auto spread = std::uint64_t((faults.maxDelay - faults.minDelay).count());
    return faults.minDelay + duration(std::int64_t(random.below(spread + 1)));
}

/// Sends a call to the store over a faulty path. The answer is delivered exactly once, no later
/// than the deadline. The call may take effect after its deadline.
inline void callStore(virtual_time &time, fake_store &store, const path_faults &faults,
                      random_source &random, const cluster_store_call &call,
                      const std::function<void(cluster_store_answer)> &answer)
{
    const auto fail = [=](store_error error) { answer({call.token, tl::unexpected(error)}); };
    if (faults.isDown) {
        time.after(1ms, [=] { fail(store_error::not_sent); });
        return;
    }
    const bool isRequestLost = random.fraction() < faults.loss;
    const duration there = drawDelay(faults, random);
    const duration back = drawDelay(faults, random);
    const bool isAnswerLost
        = random.fraction() < faults.loss || time.now() + there + back > call.deadline;
    if (isRequestLost || isAnswerLost)
        time.at(call.deadline, [=] { fail(store_error::no_answer); });
    if (isRequestLost)
        return;
    time.after(there, [=, &time, &store] {
        const store_result result = store.apply(call.operation);
        if (!isAnswerLost)
            time.after(back, [=] { answer({call.token, result}); });
    });
}

} // namespace crocuswind::cluster_test

#endif
