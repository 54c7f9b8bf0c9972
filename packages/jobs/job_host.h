/// Runs the scheduler of one entry host on the event loop and connects it to the owner election,
/// the store, the workers and the other entry hosts.
#ifndef CROCUSWIND_JOBS_JOB_HOST_H
#define CROCUSWIND_JOBS_JOB_HOST_H

#include "io/io.h"
#include "job_router.h"
#include "scheduler/scheduler.h"
#include "worker_link.h"

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <tl/expected.hpp>

namespace crocuswind {

/// Settings of one entry host that do not change while it runs.
struct job_host_settings
{
    host_id host;
    data_centre_id dataCentre;
    std::int64_t milliCores = 0; ///< Processors of this host, in thousandths of a core.
    ip_endpoint peerListen; ///< Where this host accepts connections of other entry hosts.
    scheduler::scheduler_settings scheduler;
    scheduler::election_settings election; ///< job_host sets host, address and key prefix.
};

/// Notifications of a job_host to its user.
struct job_host_callbacks
{
    /// This host has become the owner of the jobs, or has ceased to be it. A new owner knows no
    /// workers: the user has to call onWorker() for each of them.
    std::function<void(bool isOwner)> ownershipChanged;
};

/// The scheduler of one entry host. Every host accepts calls; exactly one host, the owner, carries
/// them out, and the others forward calls to it.
class job_host
{
public:
    job_host(event_loop &loop, store &platformStore, worker_link &workers, random_source &random,
             metrics_registry &metrics, job_host_settings settings, job_host_callbacks callbacks);
    ~job_host();
    job_host(const job_host &) = delete;
    job_host &operator=(const job_host &) = delete;

    /// Listens for other entry hosts and becomes a candidate for ownership. Returns an error
    /// message if the address cannot be listened on.
    tl::expected<void, std::string> start();

    /// Returns the store as this host reaches it. While this host owns the jobs and the store fails
    /// it, calls and watches go through other hosts. Valid as long as this object.
    store &storeAccess();

    /// Replaces the policies of all queues.
    void setQueues(const std::vector<scheduler::queue_policy> &queues);
    /// Replaces the set of data centres in which no task may be started. Call it before the first
    /// setQueues().
    void setEvacuatedDataCentres(const std::set<data_centre_id> &dataCentres);
    /// Service discovery has added or changed a worker.
    void onWorker(const scheduler::worker_info &info);
    /// Service discovery has removed a worker.
    void onWorkerGone(const worker_id &worker);

    /// onWorker() and onWorkerGone() have reported all changes that service discovery had accepted
    /// before \p asOf.
    void onWorkersSynchronized(instant asOf);

    /// Carries out a caller's call, on whichever host owns the jobs. \p done is called exactly
    /// once, at \p deadline at the latest.
    void call(scheduler::job_call call, instant deadline, job_router::done_callback done);

    /// Gives up the ownership once another host can take it over and pending commits are durable,
    /// at \p deadline at the latest, and is no candidate from then on. Calls are still accepted and
    /// forwarded to the new owner.
    void handOver(instant deadline);

    /// Answers all open calls at once, and each new one. For a process that is about to end.
    void stop();

    /// Returns what this host knows of the owner of the jobs.
    const policy::owner_contact &contact() const;

    /// Returns true if this host owns the jobs and has read their records.
    bool isOwner() const;

    /// Returns true while this host may hold the ownership in the store, whether it has read the
    /// records or not. A process that stops waits until this ends.
    bool mayHoldOwnership() const;

    /// Copies the counters of the scheduler and the router into the metrics registry.
    void updateMetrics();

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace crocuswind

#endif
