/// Drives the scheduler of one entry host from the event loop: ownership, the store, the workers
/// and the calls between hosts.
#ifndef CROCUSWIND_JOBS_JOB_HOST_H
#define CROCUSWIND_JOBS_JOB_HOST_H

#include "io/io.h"
#include "job_router.h"
#include "scheduler/scheduler.h"
#include "worker_link.h"

#include <functional>
#include <memory>
#include <string>
#include <tl/expected.hpp>

namespace crocuswind {

/// Fixed facts of one entry host.
struct job_host_settings
{
    host_id host;
    ip_endpoint peerListen; ///< For other entry hosts.
    scheduler::scheduler_settings scheduler;
    scheduler::election_settings election; ///< Host and address are filled in.
};

/// What the host wants from its surroundings.
struct job_host_callbacks
{
    /// This host has begun to own the jobs and needs onWorker() for all workers, or it has ceased.
    std::function<void(bool isOwner)> ownershipChanged;
};

/// The scheduler of one entry host. Any host takes calls; one owns the jobs.
class job_host
{
public:
    job_host(event_loop &loop, store &platformStore, worker_link &workers, random_source &random,
             metrics_registry &metrics, job_host_settings settings, job_host_callbacks callbacks);
    ~job_host();
    job_host(const job_host &) = delete;
    job_host &operator=(const job_host &) = delete;

    /// Listens for peers and stands for election. Returns a message if it cannot listen.
    tl::expected<void, std::string> start();

    void setQueues(const std::vector<scheduler::queue_policy> &queues);
    void onWorker(const scheduler::worker_info &info);
    void onWorkerGone(const worker_id &worker);

    /// Service discovery has told of all changes that it had accepted before \p asOf.
    void onWorkersSynchronized(instant asOf);

    /// Handles a call of a caller; \p done is called exactly once, by \p deadline.
    void call(scheduler::job_call call, instant deadline, job_router::done_callback done);

    /// Gives up the ownership in an orderly way and does not stand again; calls go on.
    void handOver();

    /// Returns since when this host cannot reach an owner, or nothing if it can.
    std::optional<instant> unreachableSince() const;

    bool isOwner() const;

    /// Writes counters and gauges to the metrics.
    void updateMetrics();

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace crocuswind

#endif
