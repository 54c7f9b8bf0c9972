/// Makes many choices of workers without a scan of all workers for each. Private to the package.
#ifndef CROCUSWIND_SCHEDULER_WORKER_CHOOSER_H
#define CROCUSWIND_SCHEDULER_WORKER_CHOOSER_H

#include "placement_cost.h"

#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace crocuswind::scheduler {

/// Returns the chooser of the scheduler, created anew or refreshed.
worker_chooser &refreshedChooser(scheduler_state &state);

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
