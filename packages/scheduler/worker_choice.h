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

/// No best-effort task is started beside a serving task above this ratio of latency to target,
/// unless it yields.
constexpr double maxRatioForBestEffort = 0.9;

/// The requirements and preferences of a task for its worker.
struct worker_request
{
    const step_spec *step = nullptr;
    service_id service;
    const std::map<worker_id, int> *tasksOfStep = nullptr; ///< Runs of the step on each worker.
    rack_id preferredRack; ///< Rack of the data or the step's other tasks; empty if none.
    double maxPressure
        = 1; ///< Highest allowed pressure on serving tasks, see bestEffortPressure().
    /// The task is best effort and its run will yield, see yielding_runs.h. It starts on any worker
    /// with room, if possible where it hurts least.
    bool isYielding = false;
};

/// Returns the processors, in thousandths of a core, that one more best-effort task can expect to
/// be idle on the worker.
std::int64_t idleMilliCores(const worker_record &worker);

/// Returns true if the worker is in an evacuated data centre.
bool isEvacuated(const scheduler_state &state, const worker_record &worker);

/// Returns true if tasks may start on the worker at all.
bool isEligible(const scheduler_state &state, const worker_record &worker);

/// Returns true if a task may be sent to the worker now. An eligible worker may have to answer a
/// poll first, see isAcknowledging().
bool mayStartNow(const scheduler_state &state, const worker_record &worker);

/// Returns true if the worker may run the task, whatever room it has.
bool isPossible(const scheduler_state &state, const worker_request &request,
                const worker_record &worker);

/// Returns the best eligible worker, or null if there is none or the list of workers is too old to
/// start tasks. Best-effort tasks go to the worker with the most idle processors whose serving
/// tasks tolerate them. Other tasks go to the worker with the smallest remainder of free processors
/// (best fit), so that large gaps remain for large tasks.
worker_record *chooseWorker(scheduler_state &state, const worker_request &request);

/// How many workers of a service cannot take a task, by the first reason that applies.
struct refusal_counts
{
    int workers = 0; ///< All workers of the service.
    int evacuated = 0; ///< In an evacuated data centre.
    int notEligible = 0; ///< Silent, leaving, avoided, or not known well enough.
    int label = 0; ///< Without the required label.
    int taskLimit = 0; ///< Already run the maximum number of tasks of the step.
    int room = 0; ///< Without the unreserved resources.
    int nearTarget = 0; ///< A serving task is too near its latency target for best-effort tasks.
    int idle = 0; ///< Without enough idle processors for a best-effort task.
    int pressure = 0; ///< Serving tasks do not tolerate the best-effort task.
    double lowestPressure = 0; ///< Among the workers in `pressure`; 0 if there are none.
};

/// Counts why workers cannot take a task. Examines all workers.
refusal_counts countRefusals(const scheduler_state &state, const worker_request &request);

/// Returns the chooser of the scheduler, created anew or refreshed.
worker_chooser &refreshedChooser(scheduler_state &state);

/// The free capacity of a worker, cached over several choices.
struct free_capacity
{
    resources unreserved;
    std::int64_t idleMilliCores = 0; ///< See idleMilliCores().
    bool acceptsBestEffort = false; ///< No serving task on the worker is near its latency target.
};

/// Makes many choices without a scan of all workers for each. A choice is the same that
/// chooseWorker() would make, as of the last refresh() and the starts recorded since. Workers are
/// examined once per kind of request, and again only after they have changed.
///
/// It keeps pointers to the workers: it must be discarded when one is removed.
class worker_chooser
{
public:
    explicit worker_chooser(scheduler_state &state);

    /// Takes over the changes of all workers that scheduler_state::noteWorkerChanged() has recorded
    /// since the last call.
    void refresh();

    /// Returns the best eligible worker, or null if there is none.
    worker_record *choose(const worker_request &request);

    /// Records that a run was bound to the worker, which must be a result of choose().
    void noteStart(worker_record &worker);

    /// Returns true once the chooser has to be built anew, because the interference model may have
    /// changed much since.
    bool isOutdated() const;

private:
    /// The properties that determine the cost of a worker. Requests with equal keys are of one
    /// kind. The string views of a key that is stored refer to its request_kind.
    struct kind_key
    {
        resources size;
        bool isBestEffort = false;
        bool isServing = false;
        double maxPressure = 0;
        bool isYielding = false;
        std::string_view image; ///< Empty if the image does not affect the cost.
        std::string_view requiredLabel;
        std::string_view preferredRack;

        friend bool operator<(const kind_key &a, const kind_key &b)
        {
            const auto tied = [](const kind_key &k) {
                return std::tie(k.size.milliCores, k.size.memoryMb, k.size.accelerators,
                                k.isBestEffort, k.isServing, k.maxPressure, k.isYielding, k.image,
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
        // The texts that the kind's key refers to.
        std::string image;
        std::string requiredLabel;
        std::string preferredRack;
        bool isUnplaceable = false; ///< No worker can take a task of this kind.
        bool isBuilt = false; ///< The heap has been filled once.
        std::vector<double> coefficients; ///< Of the image, for best-effort requests.
        std::vector<candidate> heap; ///< Min-heap by cost.
        std::size_t changesSeen = 0; ///< Number of the pool's changes that the heap reflects.
    };

    struct eligible_worker
    {
        worker_record *record = nullptr;
        free_capacity freeCapacity;
        bool isEligible = false; ///< See mayStartNow().
        int version = 0; ///< Number of recorded changes of the worker.
    };

    /// The workers of a service.
    struct worker_pool
    {
        std::vector<eligible_worker> workers; ///< Sorted by identifier.
        std::vector<int> changes; ///< Index of the changed worker, in order of the changes.
        std::deque<request_kind> kindStore;
        std::map<kind_key, request_kind *> kinds;
        std::vector<kind_key> unplaceable; ///< Kinds that no worker can take since the refresh.
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
    void buildHeap(worker_pool &pool, request_kind &kind, const worker_request &request);
    void applyChanges(worker_pool &pool, request_kind &kind, const worker_request &request);
    void updateHeap(worker_pool &pool, request_kind &kind, const worker_request &request);
    void recordChange(worker_record &worker);
    worker_record *takeBest(worker_pool &pool, request_kind &kind, const worker_request &request);

    scheduler_state &m_state;
    instant m_builtAt;
    /// Workers that are avoided for a limited time, by the end of that time.
    std::multimap<instant, worker_record *> m_avoided;
    std::map<service_id, worker_pool> m_pools;
};

} // namespace crocuswind::scheduler

#endif
