/// Defines a simulated cluster in virtual time: entry hosts with their shard cores, a store and
/// some workers, connected by a network that delays and loses messages. All randomness derives from
/// one seed.
#ifndef CROCUSWIND_TEST_BATCH_WORLD_H
#define CROCUSWIND_TEST_BATCH_WORLD_H

#include "batch_fake_store.h"
#include "batch_fake_worker.h"

#include "batch/job_table.h"
#include "batch/segment_codec.h"

#include <deque>
#include <memory>
#include <queue>

namespace crocuswind {

struct world_options
{
    int hosts = 2;
    int workers = 4;
    int workersInRack = 2;
    resources capacity{4000, 8000, 1};
    std::uint64_t seed = 1;
    interference_control control = interference_control::learned;
};

struct fake_host
{
    host_id id;
    incarnation incarnationNumber = 1;
    std::unique_ptr<shard_core> core;
    instant pausedUntil;
    bool isStoreUnreachable = false;
    std::set<worker_id> unreachableWorkers;
    std::int64_t lease = 0;
    instant validUntil;
    std::uint64_t tickNumber = 0;
    std::int64_t lastSequence = 0;
};

class world
{
public:
    instant now{};
    fake_store store;
    fleet_ledger ledger;
    seeded_random random;
    std::vector<std::unique_ptr<fake_worker>> workers;
    std::vector<fake_host> hosts;
    std::map<caller_token, std::pair<job_id, job_reply>> replies;
    std::map<job_id, std::vector<job_outcome>> outcomes; ///< Outcomes of submissions only.
    std::set<caller_token> submissions;
    double lossRate = 0; ///< Share of sync requests and answers that are lost.
    /// Share of store responses that are lost after the operation took effect.
    double lostResponseRate = 0;
    /// Share of messages that arrive long after the sender's timeout.
    double delayedMessageRate = 0;
    duration storeDelay = 2ms;
    std::set<worker_id> unlisted;

    explicit world(const world_options &options)
        : random(stableHash("world", options.seed))
        , m_control(options.control)
    {
        ledger.stored = [this](const task_id &id) { return stored(id); };
        for (int i = 0; i < options.workers; ++i) {
            workers.push_back(std::make_unique<fake_worker>(ledger));
            fake_worker &w = *workers.back();
            w.info.worker.value = "worker-" + std::to_string(i);
            w.info.rack.value = "rack-" + std::to_string(i / options.workersInRack);
            w.info.capacity = options.capacity;
            w.clockRate = 0.97 + 0.06 * random.fraction();
        }
        hosts.resize(std::size_t(options.hosts));
        for (std::size_t i = 0; i < hosts.size(); ++i) {
            hosts[i].id.value = "entry-" + std::to_string(i);
            startHost(i);
            at(now + duration(std::int64_t(random.below(1'000'000))), [this, i] { session(i); });
            at(now + duration(std::int64_t(random.below(200'000))), [this, i] { hostList(i); });
        }
    }

    void at(instant when, std::function<void()> what)
    {
        m_queue.push({std::max(when, now), m_order++, std::move(what)});
    }

    void runUntil(instant end)
    {
        while (!m_queue.empty() && m_queue.top().when <= end) {
            const scheduled next = m_queue.top();
            m_queue.pop();
            now = next.when;
            next.what();
        }
        now = end;
    }
    void runFor(duration length) { runUntil(now + length); }

    void startHost(std::size_t i)
    {
        fake_host &host = hosts[i];
        ++host.incarnationNumber;
        host.lease = 0;
        host.pausedUntil = instant();
        host.core = std::make_unique<shard_core>(shard_settings{
            host.id, host.incarnationNumber, {data_centre_id{"dakar-1"}, 0}, 1, m_control});
        shard_hosts all;
        for (const fake_host &h : hosts)
            all.hosts.push_back(h.id);
        deliver(i, host.incarnationNumber, all);
    }

    void stopHost(std::size_t i) { hosts[i].core.reset(); }

    std::optional<std::size_t> owner() const
    {
        std::optional<std::size_t> found;
        for (std::size_t i = 0; i < hosts.size(); ++i) {
            // If several hosts believe they own the shard, the highest epoch wins.
            if (hosts[i].core && hosts[i].core->status().isOwner
                && (!found || hosts[i].core->status().epoch > hosts[*found].core->status().epoch))
                found = i;
        }
        return found;
    }

    /// Delivers an event to a host, after the end of its pause if it is paused.
    template <class event_type>
    void deliver(std::size_t i, incarnation incarnationNumber, const event_type &what)
    {
        fake_host &host = hosts[i];
        if (!host.core || host.incarnationNumber != incarnationNumber)
            return;
        if (now < host.pausedUntil) {
            at(host.pausedUntil, [=] { deliver(i, incarnationNumber, what); });
            return;
        }
        for (const shard_action &action : host.core->handle({now, what}))
            std::visit([&](const auto &a) { carryOut(i, a); }, action);
    }

    caller_token submit(std::size_t i, const job_spec &spec, duration length,
                        bool alwaysFails = false)
    {
        job_ground_truth &truth = ledger.truths[spec.id];
        truth.spec = spec;
        truth.length = length;
        truth.alwaysFails = alwaysFails;
        const caller_token caller = ++m_nextCaller;
        replies[caller].first = spec.id;
        submissions.insert(caller);
        deliver(i, hosts[i].incarnationNumber, shard_submit{caller, spec, {1, 2, 3}});
        return caller;
    }

    caller_token cancel(std::size_t i, const job_id &job)
    {
        const caller_token caller = ++m_nextCaller;
        replies[caller].first = job;
        deliver(i, hosts[i].incarnationNumber, shard_cancel{caller, job});
        return caller;
    }

    /// Queries the owner. Returns nothing if there is no owner or the job does not exist.
    std::optional<job_view> view(const job_id &job)
    {
        const auto i = owner();
        if (!i)
            return std::nullopt;
        const caller_token caller = ++m_nextCaller;
        replies[caller].first = job;
        deliver(*i, hosts[*i].incarnationNumber, shard_query{caller, job});
        const job_reply &reply = replies[caller].second;
        if (reply.outcome != job_outcome::found)
            return std::nullopt;
        return reply.jobs.front();
    }

    /// Reads the record of a task from the store.
    std::optional<task_record> stored(const task_id &id) const
    {
        const shard_keys keys({data_centre_id{"dakar-1"}, 0});
        const store_entry *entry = store.find(keys.segment(job_table::segmentOf(id.job)));
        if (entry == nullptr)
            return std::nullopt;
        const auto jobs = decodeSegment(entry->value);
        for (const job_record &job : *jobs) {
            if (job.spec.id == id.job)
                return job.tasks.at(std::size_t(id.replica));
        }
        return std::nullopt;
    }

    duration networkDelay() { return duration(500 + std::int64_t(random.below(4000))); }
    bool happens(double share) { return share > 0 && random.fraction() < share; }

    std::vector<std::string> logs;

private:
    struct scheduled
    {
        instant when;
        std::uint64_t order = 0;
        std::function<void()> what;
        bool operator<(const scheduled &b) const
        {
            return std::tie(when, order) > std::tie(b.when, b.order);
        }
    };

    void session(std::size_t i)
    {
        fake_host &host = hosts[i];
        at(now + 1500ms, [this, i] { session(i); });
        if (!host.core || now < host.pausedUntil || host.isStoreUnreachable || store.isDown)
            return;
        const auto renewed = store.apply(store_lease_renewal{host.lease}, now);
        if (renewed.ttlSeconds == 0)
            host.lease = store.apply(store_lease_grant{5}, now).lease;
        host.validUntil = now + 5s;
        deliver(i, host.incarnationNumber, shard_session{host.lease, host.validUntil});
    }

    void hostList(std::size_t i)
    {
        at(now + 1s, [this, i] { hostList(i); });
        shard_workers list;
        for (const auto &w : workers) {
            if (unlisted.count(w->info.worker) == 0)
                list.workers.push_back(w->info);
        }
        deliver(i, hosts[i].incarnationNumber, list);
    }

    void carryOut(std::size_t i, const shard_wake_at &wake)
    {
        const std::uint64_t number = ++hosts[i].tickNumber;
        const incarnation incarnationNumber = hosts[i].incarnationNumber;
        at(wake.when, [=] {
            if (hosts[i].tickNumber == number)
                deliver(i, incarnationNumber, shard_tick{});
        });
    }

    void carryOut(std::size_t i, const shard_store_call &call)
    {
        const incarnation incarnationNumber = hosts[i].incarnationNumber;
        const auto answer = [=](instant when, const store_result &result) {
            at(when, [=] {
                deliver(i, incarnationNumber, shard_store_result{call.token, result});
            });
        };
        const bool isLate = happens(delayedMessageRate);
        const instant arrival
            = now + storeDelay + (isLate ? 1s + networkDelay() * 500 : duration::zero());
        if (hosts[i].isStoreUnreachable || store.isDown) {
            answer(call.deadline,
                   tl::unexpected(happens(0.5) ? store_error::not_sent : store_error::no_answer));
            return;
        }
        const bool isLost = happens(lostResponseRate);
        at(arrival, [=] {
            if (store.isDown)
                return;
            const store_reply reply = store.apply(call.operation, now);
            if (!isLost && now + storeDelay < call.deadline)
                answer(now + storeDelay, reply);
        });
        // The core ignores further results for the same token.
        answer(call.deadline, tl::unexpected(store_error::no_answer));
    }

    void carryOut(std::size_t i, const shard_sync_worker &sync)
    {
        fake_host &host = hosts[i];
        const incarnation incarnationNumber = host.incarnationNumber;
        const std::int64_t epoch = sync.request.epoch;
        const std::int64_t sequence = sync.request.sequence;
        auto isAnswered = std::make_shared<bool>(false);
        const auto answer = [=](instant when, const tl::expected<sync_report, sync_error> &result) {
            at(when, [=] {
                if (*isAnswered)
                    return;
                *isAnswered = true;
                deliver(i, incarnationNumber,
                        shard_sync_result{sync.worker, epoch, sequence, result});
            });
        };
        answer(sync.deadline, tl::unexpected(sync_error{sync_error::reason::no_answer, 0}));
        if (host.unreachableWorkers.count(sync.worker) != 0 || happens(lossRate))
            return;
        // A delayed request arrives up to 40 s after it was sent.
        const duration delay = happens(delayedMessageRate) ? networkDelay() * 9000 : networkDelay();
        at(now + delay, [=] { arrive(sync, answer); });
    }

    template <class function>
    void arrive(const shard_sync_worker &sync, const function &answer)
    {
        for (const auto &w : workers) {
            if (w->info.worker != sync.worker || !w->isAlive)
                continue;
            if (now < w->pausedUntil) {
                at(w->pausedUntil, [=] { arrive(sync, answer); });
                return;
            }
            const auto result = w->sync(sync.request, now);
            if (!happens(lossRate) && now + networkDelay() < sync.deadline)
                answer(now + 1ms, result);
        }
    }

    void carryOut(std::size_t /*i*/, const shard_reply &reply)
    {
        auto &[job, stored] = replies[reply.caller];
        stored = reply.reply;
        if (submissions.count(reply.caller) != 0)
            outcomes[job].push_back(reply.reply.outcome);
    }

    void carryOut(std::size_t i, const shard_log &log)
    {
        logs.push_back(fmt::format("{} ms {}: {}", now.time_since_epoch().count() / 1000,
                                   hosts[i].id.value, log.text));
    }

    void carryOut(std::size_t /*i*/, const shard_span & /*span*/) { }
    void carryOut(std::size_t i, const shard_drained & /*drained*/) { stopHost(i); }

    std::priority_queue<scheduled> m_queue;
    std::uint64_t m_order = 0;
    interference_control m_control;
    caller_token m_nextCaller = 0;
};

/// Returns a finite job, by default of one core.
inline job_spec finiteJob(const std::string &name, std::int64_t milliCores = 1000)
{
    job_spec spec;
    spec.id = {team_id{"lab"}, name};
    spec.size = {milliCores, 1000, 0};
    spec.payload = "{}";
    return spec;
}

} // namespace crocuswind

#endif
