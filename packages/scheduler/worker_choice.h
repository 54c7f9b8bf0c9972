/// Chooses the worker for a task. Private to the package.
#ifndef CROCUSWIND_SCHEDULER_WORKER_CHOICE_H
#define CROCUSWIND_SCHEDULER_WORKER_CHOICE_H

#include "scheduler_state.h"

#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace crocuswind::scheduler {

/// The requirements and preferences of a task for its worker.
struct worker_request
{
    const step_spec *step = nullptr;
    service_id service;
    const std::map<worker_id, int> *tasksOfStep = nullptr; ///< Runs of the step on each worker.
    rack_id preferredRack; ///< Rack of the data or the step's other tasks; empty if none.
    double maxPressure
        = 1; ///< Highest allowed pressure on serving tasks, see bestEffortPressure().
};

/// Returns the processors, in thousandths of a core, that one more best-effort task can expect to
/// be idle on the worker.
std::int64_t idleMilliCores(const worker_record &worker);

/// Returns the best eligible worker, or null if there is none or the list of workers is too old to
/// start tasks. Best-effort tasks go to the worker with the most idle processors whose serving
/// tasks tolerate them. Other tasks go to the worker with the smallest remainder of free processors
/// (best fit), so that large gaps remain for large tasks.
worker_record *chooseWorker(scheduler_state &state, const worker_request &request);

/// The free capacity of a worker, cached over several choices.
struct free_capacity
{
    resources unreserved;
    std::int64_t idleMilliCores = 0; ///< See idleMilliCores().
    bool acceptsBestEffort = false; ///< No serving task on the worker is near its latency target.
};

/// Makes many choices during one dispatch pass. Each choice is the same that chooseWorker() would
/// make, but workers are examined once per kind of request instead of once per request. Between two
/// choices the workers may change only by starts, which reduce the free capacity of a worker and
/// never make one eligible.
class worker_chooser
{
public:
    explicit worker_chooser(scheduler_state &state);

    /// Returns the best eligible worker, or null if there is none.
    worker_record *choose(const worker_request &request);

    /// Records that a run was bound to the worker, which must be a result of choose().
    void noteStart(const worker_record &worker);

private:
    /// The properties that determine the cost of a worker. Requests with equal keys are of one
    /// kind. The string views refer to steps, which outlive the chooser, and to request_kind.
    struct kind_key
    {
        resources size;
        bool isBestEffort = false;
        bool isServing = false;
        double maxPressure = 0;
        std::string_view image; ///< Empty if the image does not affect the cost.
        std::string_view requiredLabel;
        std::string_view preferredRack;

        friend bool operator<(const kind_key &a, const kind_key &b)
        {
            const auto tied = [](const kind_key &k) {
                return std::tie(k.size.milliCores, k.size.memoryMb, k.size.accelerators,
                                k.isBestEffort, k.isServing, k.maxPressure, k.image,
                                k.requiredLabel, k.preferredRack);
            };
            return tied(a) < tied(b);
        }
    };

    /// A worker with its cost for a kind of request. The expensive part of the cost is computed
    /// only for candidates that reach the top of the heap.
    struct candidate
    {
        double cost = 0;
        int worker = 0; ///< Index in the pool.
        int version = 0; ///< Version of the worker when the cost was computed.
        bool isExact = false; ///< True if the cost is exact, false if it is a lower bound.
    };

    struct request_kind
    {
        rack_id preferredRack; ///< Owns the text that the kind's key refers to.
        bool isUnplaceable = false; ///< No worker can take a task of this kind any more.
        std::vector<double> coefficients; ///< Of the image, for best-effort requests.
        std::vector<candidate> heap; ///< Min-heap by cost.
        std::size_t startsSeen = 0; ///< Number of the pool's starts that the heap reflects.
    };

    struct eligible_worker
    {
        worker_record *record = nullptr;
        free_capacity freeCapacity;
        int version = 0; ///< Number of recorded starts on the worker.
    };

    /// The eligible workers of a service.
    struct worker_pool
    {
        std::vector<eligible_worker> workers; ///< Sorted by identifier.
        std::vector<int> starts; ///< Index of the worker of each start, in order of the starts.
        std::deque<request_kind> kindStore;
        std::map<kind_key, request_kind *> kinds;
        std::vector<kind_key> unplaceable; ///< Kinds that no worker can take any more.
    };

    static bool costsMore(const candidate &a, const candidate &b)
    {
        return std::tie(a.cost, a.worker) > std::tie(b.cost, b.worker);
    }
    static kind_key keyOf(const worker_request &request);
    static bool isUnplaceable(const worker_pool &pool, const kind_key &key);
    request_kind &kindOf(worker_pool &pool, const worker_request &request);
    void addCandidate(worker_pool &pool, request_kind &kind, const worker_request &request,
                      int worker);
    void updateCoefficients(const worker_record &worker, request_kind &kind,
                            const worker_request &request) const;
    void applyStarts(worker_pool &pool, request_kind &kind, const worker_request &request);
    worker_record *takeBest(worker_pool &pool, request_kind &kind, const worker_request &request);

    scheduler_state &m_state;
    std::map<service_id, worker_pool> m_pools;
};

} // namespace crocuswind::scheduler

#endif
