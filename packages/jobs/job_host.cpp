#include "job_host.h"

#include "load_report.h"
#include "prefix_mirror.h"

#include <ctime>
#include <fmt/format.h>
#include <map>
#include <utility>

namespace crocuswind {

using namespace scheduler;

namespace {

constexpr duration pingInterval = 500ms;
constexpr duration peerSilenceLimit = 1600ms;
constexpr duration recordsReadLimit = 3s;
constexpr duration handoverPollInterval = 10ms;

// While the owner's key does not change, a watch is asked for again after this time.
constexpr duration ownerSilence = 1500ms;

// First byte of a frame between entry hosts.
constexpr char callFrame = 'C';
constexpr char replyFrame = 'R';

// Records of a former owner are read again after this time.
constexpr duration recordsRetryInterval = 100ms;

/// Introduces each host by its name.
class name_hello final : public peer_hello_codec
{
public:
    explicit name_hello(host_id self)
        : m_self(std::move(self))
    { }
    std::string helloFrame() override { return "crocuswind " + m_self.value; }
    std::optional<host_id> parseHello(std::string_view frame) override
    {
        constexpr std::string_view mark = "crocuswind ";
        if (frame.substr(0, mark.size()) != mark || frame.size() == mark.size())
            return std::nullopt;
        return host_id{std::string(frame.substr(mark.size()))};
    }

private:
    host_id m_self;
};

std::int64_t unixNowMs()
{
    timespec time = {};
    clock_gettime(CLOCK_REALTIME, &time);
    return std::int64_t(time.tv_sec) * 1000 + time.tv_nsec / 1000000;
}

} // namespace

struct job_host::implementation final : public scheduler_ports, public election_ports
{
    implementation(event_loop &l, store &s, worker_link &w, random_source &random,
                   metrics_registry &m, job_host_settings given, job_host_callbacks c)
        : loop(l)
        , platformStore(s)
        , workers(w)
        , metrics(m)
        , settings(std::move(given))
        , callbacks(std::move(c))
        , hello(settings.host)
        , core(settings.scheduler, *this)
        , election(electionSettings(settings), *this)
        , load(l, schedulerLog, m, core)
        , router(
              l,
              [this](const host_id &owner, const job_call &call) { return sendCall(owner, call); })
        , links(l, linkSettings(settings), hello, random,
                {[this](const host_id &peer) { router.onPathUp(peer); },
                 [this](const host_id &peer) { router.onPathDown(peer); },
                 [this](const host_id &peer, std::string_view frame) { onFrame(peer, frame); }})
    { }

    ~implementation() override
    {
        *isAlive = false;
        loop.cancel(coreTimer);
        loop.cancel(electionTimer);
        loop.cancel(handoverTimer);
        loop.cancel(readTimer);
    }

    static election_settings electionSettings(const job_host_settings &settings)
    {
        election_settings election = settings.election;
        election.host = settings.host;
        election.address = toString(settings.peerListen);
        election.keyPrefix = settings.scheduler.keyPrefix;
        return election;
    }

    static peer_links_settings linkSettings(const job_host_settings &settings)
    {
        peer_links_settings links;
        links.self = settings.host;
        links.pingInterval = pingInterval;
        links.receiveTimeout = peerSilenceLimit;
        links.handshakeTimeout = 1s;
        links.maxRetryDelay = 500ms;
        return links;
    }

    // Returns a callback that does nothing once this object is gone.
    template <class function>
    auto guarded(function f)
    {
        return [alive = isAlive, f = std::move(f)](const auto &...values) {
            if (*alive)
                f(values...);
        };
    }

    // scheduler_ports

    void start(const start_order &order) override
    {
        const instant sentAt = loop.now();
        workers.start(order, guarded([this, order, sentAt](const order_result &result) {
                          if (result.outcome == order_outcome::done)
                              load.noteStart(sentAt);
                          core.onStartResult(loop.now(), order, result);
                          scheduleCore();
                      }));
    }

    void stop(const stop_order &order) override
    {
        workers.stop(order, guarded([this, order](const order_result &result) {
                         core.onStopResult(loop.now(), order, result);
                         scheduleCore();
                     }));
    }

    void pace(const pace_order &order) override
    {
        workers.pace(order, guarded([this, order](const order_result &result) {
                         core.onPaceResult(loop.now(), order, result);
                     }));
    }

    void poll(const poll_order &order) override
    {
        workers.poll(order, guarded([this, order](const poll_result &result) {
                         core.onPollResult(loop.now(), order, result);
                         scheduleCore();
                     }));
    }

    void commit(commit_batch batch) override
    {
        election.commit(loop.now(), std::move(batch));
        scheduleElection();
    }

    void answer(const job_reply &reply) override
    {
        const auto found = callers.find(reply.token);
        if (found == callers.end())
            return;
        const auto [peer, token] = found->second;
        callers.erase(found);
        job_reply forPeer = reply;
        forPeer.token = token;
        if (peer == settings.host)
            loop.post(guarded([this, forPeer] { router.onReply(settings.host, forPeer); }));
        else
            links.send(peer, replyFrame + encodeReply(forPeer));
    }

    void log(const std::string &event, const std::string &fields) override
    {
        schedulerLog.info("event={} {}", event, fields);
    }

    bool wantsDetail() override { return schedulerLog.shouldLog(log_level::detail); }

    void logDetail(const std::string &event, const std::string &fields) override
    {
        schedulerLog.detail("event={} {}", event, fields);
    }

    // election_ports

    void submit(std::uint64_t token, const store_operation &operation, instant deadline) override
    {
        const instant sentAt = loop.now();
        platformStore.submit(operation, deadline,
                             guarded([this, token, sentAt](const store_result &result) {
                                 if (result)
                                     load.noteStoreCall(sentAt);
                                 election.onStoreResult(loop.now(), token, result);
                                 scheduleElection();
                                 scheduleCore();
                             }));
    }

    void onElected(std::int64_t epoch) override
    {
        electedAt = loop.now();
        readRecords(epoch);
    }

    void onDeposed() override
    {
        loop.cancel(readTimer);
        const bool wasAtWork = core.isOwner();
        core.giveUp(loop.now());
        if (wasAtWork)
            callbacks.ownershipChanged(false);
        router.onPathDown(settings.host);
    }

    void onOwner(const std::optional<owner_info> &owner) override
    {
        schedulerLog.info("event=owner host={} epoch={}", owner ? owner->host.value : "none",
                          owner ? owner->epoch : 0);
        std::vector<peer_address> peers;
        if (owner && owner->host != settings.host) {
            if (const auto endpoint = parseEndpoint(owner->address))
                peers.push_back({owner->host, *endpoint});
        }
        links.setPeers(peers);
        router.setOwner(owner ? std::optional<host_id>(owner->host) : std::nullopt);
        if (owner && owner->host != settings.host && links.isUp(owner->host))
            router.onPathUp(owner->host);
    }

    void onCommitted() override
    {
        core.onCommitted(loop.now());
        scheduleCore();
    }

    void onCommitRefused() override
    {
        core.onCommitRefused(loop.now());
        scheduleCore();
    }

    void onConfirmed(instant authority, instant sole) override
    {
        authorityUntil = authority;
        soleUntil = sole;
        if (core.isOwner())
            core.setAuthority(loop.now(), authorityUntil, soleUntil);
    }

    void onStoreAvailable(bool isAvailable) override
    {
        core.setStoreAvailable(loop.now(), isAvailable);
    }

    // Taking over.

    void readRecords(std::int64_t epoch)
    {
        platformStore.submit(
            store_range{settings.scheduler.keyPrefix, true}, loop.now() + recordsReadLimit,
            guarded([this, epoch](const store_result &result) { onRecords(epoch, result); }));
    }

    void onRecords(std::int64_t epoch, const store_result &result)
    {
        if (!election.isOwner() || election.epoch() != epoch || core.isOwner())
            return;
        if (!result) {
            readTimer = loop.callAt(loop.now() + recordsRetryInterval,
                                    [this, epoch] { readRecords(epoch); });
            return;
        }
        std::vector<stored_record> records;
        for (const store_entry &entry : result->entries)
            records.push_back({entry.key, entry.value});
        core.setAuthority(loop.now(), authorityUntil, soleUntil);
        core.takeOver(loop.now(), unixNowMs(), epoch, records,
                      electedAt + election_settings().authorityLimit);
        callbacks.ownershipChanged(true);
        router.onPathUp(settings.host);
        scheduleCore();
        load.start(epoch);
    }

    // Calls.

    bool sendCall(const host_id &owner, const job_call &call)
    {
        if (owner != settings.host)
            return links.send(owner, callFrame + encodeCall(call)) == peer_send_result::queued;
        if (!core.isOwner())
            return false;
        handleCall(settings.host, call);
        return true;
    }

    void handleCall(const host_id &from, const job_call &call)
    {
        job_call own = call;
        own.token = ++lastToken;
        callers[own.token] = {from, call.token};
        core.call(loop.now(), unixNowMs(), own);
        scheduleCore();
    }

    void onFrame(const host_id &peer, std::string_view frame)
    {
        if (frame.empty())
            return;
        if (frame.front() == callFrame) {
            if (const auto call = decodeCall(frame.substr(1)))
                handleCall(peer, *call);
            else
                schedulerLog.warning("event=bad_frame peer={}", peer.value);
        } else if (frame.front() == replyFrame) {
            if (const auto reply = decodeReply(frame.substr(1)))
                router.onReply(peer, *reply);
        }
    }

    // Timers.

    void scheduleCore()
    {
        if (election.isOwner() && !core.isOwner() && wasCoreOwner)
            election.resign(loop.now());
        wasCoreOwner = core.isOwner();
        loop.cancel(coreTimer);
        if (!core.isOwner())
            return;
        coreTimer = loop.callAt(core.nextWake(), [this] {
            core.tick(loop.now(), unixNowMs());
            scheduleCore();
        });
    }

    void scheduleElection()
    {
        loop.cancel(electionTimer);
        electionTimer = loop.callAt(election.nextWake(), [this] {
            election.tick(loop.now());
            scheduleElection();
        });
    }

    void pollHandover()
    {
        if (!election.isOwner())
            return;
        if (core.prepareHandover(loop.now()) || loop.now() >= handoverDeadline) {
            election.resign(loop.now());
            return;
        }
        handoverTimer = loop.callAt(loop.now() + handoverPollInterval, [this] { pollHandover(); });
    }

    event_loop &loop;
    store &platformStore;
    worker_link &workers;
    metrics_registry &metrics;
    job_host_settings settings;
    job_host_callbacks callbacks;
    logger schedulerLog{"scheduler"};
    name_hello hello;
    scheduler_core core;
    owner_election election;
    load_report load;
    job_router router;
    peer_links links;
    std::unique_ptr<prefix_mirror> ownerMirror;
    std::map<call_token, std::pair<host_id, call_token>> callers;
    call_token lastToken = 0;
    instant authorityUntil;
    instant soleUntil;
    instant electedAt;
    instant handoverDeadline;
    bool wasCoreOwner = false;
    timer_id coreTimer = 0;
    timer_id electionTimer = 0;
    timer_id handoverTimer = 0;
    timer_id readTimer = 0;
    std::shared_ptr<bool> isAlive = std::make_shared<bool>(true);
};

job_host::job_host(event_loop &loop, store &platformStore, worker_link &workers,
                   random_source &random, metrics_registry &metrics, job_host_settings settings,
                   job_host_callbacks callbacks)
    : m_implementation(std::make_unique<implementation>(
        loop, platformStore, workers, random, metrics, std::move(settings), std::move(callbacks)))
{ }

job_host::~job_host() = default;

tl::expected<void, std::string> job_host::start()
{
    implementation &i = *m_implementation;
    const auto listening = i.links.listen(i.settings.peerListen);
    if (!listening)
        return tl::unexpected(listening.error());
    const std::string key = ownerKey(i.settings.scheduler.keyPrefix);
    const auto report = [this, key](std::int64_t revision) {
        implementation &self = *m_implementation;
        const auto &values = self.ownerMirror->values();
        const auto found = values.find(key);
        const auto value
            = found == values.end() ? std::nullopt : std::optional<std::string>(found->second);
        self.election.onOwnerKey(self.loop.now(), value, revision);
        self.scheduleElection();
    };
    i.ownerMirror = std::make_unique<prefix_mirror>(
        i.loop, i.platformStore, key, ownerSilence,
        prefix_mirror_callbacks{
            [this, report](const std::string &, const std::optional<std::string> &,
                           std::int64_t revision) {
                if (m_implementation->ownerMirror)
                    report(revision);
            },
            report,
            {},
            [this] {
                m_implementation->election.onOwnerKeyUnknown(m_implementation->loop.now());
            }});
    i.election.setEligible(i.loop.now(), true);
    i.scheduleElection();
    return {};
}

void job_host::setQueues(const std::vector<queue_policy> &queues)
{
    m_implementation->core.setQueues(m_implementation->loop.now(), queues);
    m_implementation->scheduleCore();
}

void job_host::onWorker(const worker_info &info)
{
    m_implementation->core.onWorker(m_implementation->loop.now(), info);
    m_implementation->scheduleCore();
}

void job_host::onWorkerGone(const worker_id &worker)
{
    m_implementation->core.onWorkerGone(m_implementation->loop.now(), worker);
    m_implementation->scheduleCore();
}

void job_host::onWorkersCurrent(instant asOf)
{
    m_implementation->load.noteWorkersAge();
    m_implementation->core.onWorkersCurrent(m_implementation->loop.now(), asOf);
    m_implementation->scheduleCore();
}

void job_host::call(job_call call, instant deadline, job_router::done_callback done)
{
    m_implementation->router.call(std::move(call), deadline, std::move(done));
}

void job_host::handOver()
{
    implementation &i = *m_implementation;
    constexpr duration handoverLimit = 1500ms;
    i.handoverDeadline = i.loop.now() + handoverLimit;
    i.election.setEligible(i.loop.now(), false);
    i.pollHandover();
}

std::optional<instant> job_host::unreachableSince() const
{
    return m_implementation->router.unreachableSince();
}

bool job_host::isOwner() const
{
    return m_implementation->core.isOwner();
}

void job_host::updateMetrics()
{
    implementation &i = *m_implementation;
    const scheduler_counters &c = i.core.counters();
    const std::pair<const char *, std::int64_t> totals[] = {
        {"crocuswind_jobs_accepted_total", c.accepted},
        {"crocuswind_jobs_refused_total", c.refused},
        {"crocuswind_starts_total", c.starts},
        {"crocuswind_starts_unanswered_total", c.startsUnanswered},
        {"crocuswind_starts_rejected_total", c.startsRejected},
        {"crocuswind_stops_total", c.stops},
        {"crocuswind_worker_polls_total", c.polls},
        {"crocuswind_pace_orders_total", c.paces},
        {"crocuswind_commits_total", c.commits},
        {"crocuswind_tasks_done_total", c.endsDone},
        {"crocuswind_tasks_failed_total", c.endsFailed},
        {"crocuswind_runs_lost_total", c.runsLost},
        {"crocuswind_calls_total", i.router.counters().calls},
        {"crocuswind_calls_repeated_total", i.router.counters().repeats},
        {"crocuswind_calls_unanswered_total", i.router.counters().unanswered},
    };
    for (const auto &[name, total] : totals)
        i.metrics.setTotal(name, {}, double(total));
    i.metrics.set("crocuswind_owner", {}, i.core.isOwner() ? 1 : 0);
    i.metrics.set("crocuswind_jobs_known", {}, double(c.jobsKnown));
    i.metrics.set("crocuswind_tasks_waiting", {}, double(c.tasksWaiting));
}

} // namespace crocuswind
