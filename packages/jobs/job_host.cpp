#include "job_host.h"

#include "command_relay.h"
#include "host_links.h"
#include "job_handover.h"
#include "job_metrics.h"
#include "load_report.h"
#include "owner_contacts.h"
#include "owner_watch.h"
#include "records_reader.h"
#include "relayed_worker_link.h"
#include "store_paths.h"
#include "wall_clock.h"

#include <map>
#include <set>
#include <utility>
#include <vector>

namespace crocuswind {

using namespace scheduler;

struct job_host::implementation final : public scheduler_ports, public election_ports
{
    implementation(event_loop &l, store &s, worker_link &w, random_source &random,
                   metrics_registry &m, job_host_settings hostSettings, job_host_callbacks c)
        : loop(l)
        , metrics(m)
        , settings(std::move(hostSettings))
        , callbacks(std::move(c))
        , workers(l, random, w, settings.milliCores,
                  [this](const host_id &relayHost, const std::string &bytes) {
                      return links.sendCommands(relayHost, bytes);
                  })
        , relay(l, w,
                [this](const host_id &owner, const std::string &bytes) {
                    links.sendResults(owner, bytes);
                })
        , paths(l, s, schedulerLog, links)
        , core(settings.scheduler, *this)
        , election(electionSettings(settings), *this)
        , handover(l, schedulerLog, core, election)
        , records(l, paths.detour, settings.scheduler.keyPrefix)
        , loadReport(l, schedulerLog, m, core)
        , router(
              l, random,
              [this](const host_id &owner, const job_call &call) { return sendCall(owner, call); })
        , links(l, schedulerLog, settings.host, random, linkCallbacks())
        , contacts(l, links, router, settings.host)
    { }

    ~implementation() override
    {
        *isAlive = false;
        loop.cancel(coreTimer);
        loop.cancel(electionTimer);
    }

    static election_settings electionSettings(const job_host_settings &settings)
    {
        election_settings election = settings.election;
        election.host = settings.host;
        election.address = toString(settings.peerListen);
        election.keyPrefix = settings.scheduler.keyPrefix;
        return election;
    }

    host_links_callbacks linkCallbacks()
    {
        return {
            [this](const host_id &peer) { onLinkUp(peer); },
            [this](const host_id &peer) { onLinkDown(peer); },
            [this](const host_id &peer, const job_call &call) { handleCall(peer, call); },
            [this](const host_id &peer, const job_reply &reply) { router.onReply(peer, reply); },
            [this](const host_id &peer, const relay_offer &offer) { handleOffer(peer, offer); },
            [this](const host_id &peer, std::string_view bytes) {
                return relay.onCommands(peer, bytes);
            },
            [this](std::string_view bytes) { return workers.onResults(bytes); },
            paths.callCallback(),
            paths.helpCallback(),
            [this](const host_id &peer, const owner_info &owner) { handleNews(peer, owner); }};
    }

    // Wraps a callback so that it does nothing after this object was destroyed.
    template <class function>
    auto guarded(function f)
    {
        return [alive = isAlive, f = std::move(f)](const auto &...values) {
            if (*alive)
                f(values...);
        };
    }

    // scheduler_ports

    void start(const start_command &command) override
    {
        const instant sentAt = loop.now();
        workers.start(command, guarded([this, command, sentAt](const command_result &result) {
                          if (result.outcome == command_outcome::done)
                              loadReport.recordStart(sentAt);
                          core.onStartResult(loop.now(), command, result);
                          scheduleCore();
                      }));
    }

    void stop(const stop_command &command) override
    {
        workers.stop(command, guarded([this, command](const command_result &result) {
                         core.onStopResult(loop.now(), command, result);
                         scheduleCore();
                     }));
    }

    void pace(const pace_command &command) override
    {
        workers.pace(command, guarded([this, command](const command_result &result) {
                         core.onPaceResult(loop.now(), command, result);
                     }));
    }

    void poll(const poll_command &command) override
    {
        workers.poll(command, guarded([this, command](const poll_result &result) {
                         core.onPollResult(loop.now(), command, result);
                         scheduleCore();
                     }));
    }

    void fenceEarlierCommands(const worker_id &worker) override
    {
        workers.fenceEarlierCommands(worker);
    }

    void commit(commit_batch batch) override
    {
        election.commit(loop.now(), std::move(batch));
        scheduleElection();
    }

    void answer(const job_reply &reply) override
    {
        const auto found = callOrigins.find(reply.token);
        if (found == callOrigins.end())
            return;
        const auto [peer, token] = found->second;
        callOrigins.erase(found);
        job_reply forPeer = reply;
        forPeer.token = token;
        if (peer == settings.host)
            loop.post(guarded([this, forPeer] { router.onReply(settings.host, forPeer); }));
        else
            links.sendReply(peer, forPeer);
    }

    void log(const std::string &event, const std::string &fields) override
    {
        schedulerLog.info("event={} {}", event, fields);
    }

    bool shouldLogDetail() override { return schedulerLog.shouldLog(log_level::detail); }

    void logDetail(const std::string &event, const std::string &fields) override
    {
        schedulerLog.detail("event={} {}", event, fields);
    }

    // election_ports

    void submit(std::uint64_t token, const store_operation &operation, instant deadline) override
    {
        const instant sentAt = loop.now();
        paths.detour.submit(operation, deadline,
                            guarded([this, token, sentAt](const store_result &result) {
                                if (result)
                                    loadReport.recordStoreCall(sentAt);
                                election.onStoreResult(loop.now(), token, result);
                                scheduleElection();
                                scheduleCore();
                            }));
    }

    void onElected(std::int64_t epoch) override
    {
        paths.detour.setMayAskOthers(true);
        readRecords(epoch);
    }

    void onDeposed() override
    {
        records.cancelRetry();
        paths.detour.setMayAskOthers(false);
        const bool wasOwner = core.isOwner();
        core.giveUp(loop.now());
        workers.reset();
        if (wasOwner)
            callbacks.ownershipChanged(false);
        router.onHostUnreachable(settings.host);
    }

    void onOwner(const std::optional<owner_info> &owner) override
    {
        contacts.setOwner(owner);
        if (contacts.isElsewhere() && links.isUp(owner->host))
            onLinkUp(owner->host);
    }

    void handleNews(const host_id &from, const owner_info &owner)
    {
        if (!election.onOwnerNews(loop.now(), owner))
            return;
        contacts.spread(from, owner);
        scheduleElection();
        scheduleCore();
    }

    // Links to other entry hosts.

    void onLinkUp(const host_id &peer)
    {
        router.onHostReachable(peer);
        if (peer == contacts.owner())
            sendOffer();
    }

    void onLinkDown(const host_id &peer)
    {
        router.onHostUnreachable(peer);
        relay.onOwnerLost(peer);
        handover.removeCandidate(peer);
        paths.onHostLost(peer);
        const std::size_t relaysBefore = workers.relayCount();
        workers.onHostLost(peer);
        if (workers.relayCount() != relaysBefore)
            schedulerLog.info("event=relay_lost host={} relays={}", peer.value,
                              workers.relayCount());
        scheduleCore();
    }

    // Offers to the owner to relay its commands to workers, or withdraws the offer.
    void sendOffer()
    {
        if (contacts.isElsewhere())
            links.sendOffer(contacts.owner(),
                            {!isDraining, settings.dataCentre, settings.milliCores});
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

    void onConfirmed(instant authorityEnd, instant exclusiveEnd) override
    {
        authorityUntil = authorityEnd;
        exclusiveUntil = exclusiveEnd;
        if (core.isOwner())
            core.setAuthority(loop.now(), authorityUntil, exclusiveUntil);
    }

    void onStoreAvailable(bool isAvailable) override
    {
        core.setStoreAvailable(loop.now(), isAvailable);
    }

    // Take-over: a newly elected owner reads the jobs' records before it goes to work.

    void readRecords(std::int64_t epoch)
    {
        records.read(
            [this, epoch] {
                return election.isOwner() && election.epoch() == epoch && !core.isOwner();
            },
            [this, epoch](const std::vector<stored_record> &read) { takeOver(epoch, read); });
    }

    void takeOver(std::int64_t epoch, const std::vector<stored_record> &read)
    {
        workers.reset();
        core.setAuthority(loop.now(), authorityUntil, exclusiveUntil);
        core.takeOver(loop.now(), unixNowMs(), epoch, read, election.earlierAuthority());
        callbacks.ownershipChanged(true);
        router.onHostReachable(settings.host);
        scheduleCore();
        loadReport.start(epoch);
    }

    // Calls, of callers of this host and of other entry hosts.

    bool sendCall(const host_id &owner, const job_call &call)
    {
        if (owner != settings.host)
            return links.sendCall(owner, call);
        if (!core.isOwner())
            return false;
        handleCall(settings.host, call);
        return true;
    }

    void handleCall(const host_id &from, const job_call &call)
    {
        job_call localCall = call;
        localCall.token = ++lastToken;
        callOrigins[localCall.token] = {from, call.token};
        core.call(loop.now(), unixNowMs(), localCall);
        scheduleCore();
    }

    void handleOffer(const host_id &peer, const relay_offer &offer)
    {
        workers.onOffer(peer, offer);
        paths.onOffer(peer, offer);
        if (offer.isAvailable)
            handover.addCandidate(peer);
        else
            handover.removeCandidate(peer);
        schedulerLog.info("event=relay_offered host={} available={} data_centre={} millicores={} "
                          "relays={}",
                          peer.value, offer.isAvailable, offer.dataCentre.value, offer.milliCores,
                          workers.relayCount());
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

    event_loop &loop;
    metrics_registry &metrics;
    job_host_settings settings;
    job_host_callbacks callbacks;
    logger schedulerLog{"scheduler"};
    relayed_worker_link workers;
    command_relay relay;
    store_paths paths;
    scheduler_core core;
    owner_election election;
    job_handover handover;
    records_reader records;
    load_report loadReport;
    job_router router;
    host_links links;
    owner_contacts contacts;
    std::unique_ptr<owner_watch> ownerWatch;
    /// The hosts and their tokens of calls that the core is to answer, by the token that the core
    /// was given. Tokens of the core stay within this process.
    std::map<call_token, std::pair<host_id, call_token>> callOrigins;
    call_token lastToken = 0;
    instant authorityUntil;
    instant exclusiveUntil;
    bool wasCoreOwner = false;
    bool isDraining = false;
    timer_id coreTimer = 0;
    timer_id electionTimer = 0;
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
    i.ownerWatch = std::make_unique<owner_watch>(
        i.loop, i.paths.detour, i.settings.scheduler.keyPrefix,
        owner_watch_callbacks{
            [&i](const std::optional<std::string> &value, std::int64_t revision) {
                i.election.onOwnerKey(i.loop.now(), value, revision);
                i.scheduleElection();
            },
            [&i](const std::string &value) { i.election.onConfirmationKey(i.loop.now(), value); },
            [&i] { i.contacts.onStoreHeard(); },
            [&i] {
                i.router.setOwnerVisible(false);
                i.election.onOwnerKeyUnknown(i.loop.now());
            }});
    i.election.setEligible(i.loop.now(), true);
    i.scheduleElection();
    return {};
}

store &job_host::storeAccess()
{
    return m_implementation->paths.detour;
}

void job_host::setQueues(const std::vector<queue_policy> &queues)
{
    m_implementation->core.setQueues(m_implementation->loop.now(), queues);
    m_implementation->scheduleCore();
}

void job_host::setEvacuatedDataCentres(const std::set<data_centre_id> &dataCentres)
{
    m_implementation->core.setEvacuatedDataCentres(m_implementation->loop.now(), dataCentres);
    m_implementation->scheduleCore();
}

void job_host::onWorker(const worker_info &info)
{
    m_implementation->workers.onWorker(info);
    m_implementation->core.onWorker(m_implementation->loop.now(), info);
    m_implementation->scheduleCore();
}

void job_host::onWorkerGone(const worker_id &worker)
{
    m_implementation->workers.onWorkerGone(worker);
    m_implementation->core.onWorkerGone(m_implementation->loop.now(), worker);
    m_implementation->scheduleCore();
}

void job_host::onWorkersSynchronized(instant asOf)
{
    m_implementation->loadReport.recordWorkersAge();
    m_implementation->core.onWorkersSynchronized(m_implementation->loop.now(), asOf);
    m_implementation->scheduleCore();
}

void job_host::call(job_call call, instant deadline, job_router::done_callback done)
{
    m_implementation->router.call(std::move(call), deadline, std::move(done));
}

void job_host::handOver(instant deadline)
{
    implementation &i = *m_implementation;
    i.isDraining = true;
    i.sendOffer();
    i.election.setEligible(i.loop.now(), false);
    i.handover.begin(deadline);
}

void job_host::stop()
{
    m_implementation->router.stop();
}

const policy::owner_contact &job_host::contact() const
{
    return m_implementation->router.contact();
}

bool job_host::isOwner() const
{
    return m_implementation->core.isOwner();
}

bool job_host::mayHoldOwnership() const
{
    return m_implementation->election.mayHoldKey();
}

void job_host::updateMetrics()
{
    implementation &i = *m_implementation;
    setJobMetrics(i.metrics, i.core, i.router, i.workers, i.paths);
}

} // namespace crocuswind
