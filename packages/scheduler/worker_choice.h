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

/// What a choice must regard.
struct worker_request
{
    const step_spec *step = nullptr;
    service_id service;
    const std::map<worker_id, int> *tasksOfStep = nullptr; ///< Runs of the step on each worker.
    rack_id preferredRack; ///< Where the data or the other tasks are; empty if it does not matter.
    double maxPressure = 1; ///< On serving tasks, see fillPressure().
};

/// Returns the processors, in thousandths of a core, that work in idle room can expect on the
/// worker beside what runs there.
std::int64_t idleMilliCores(const worker_record &worker);

/// Returns the eligible worker that suits best, or null, also while the list of workers is too old
/// to start anything by it. Work in idle room goes where most is idle and serving tasks bear it;
/// other work goes where it leaves the least room over, so that wide gaps stay for large tasks.
worker_record *chooseWorker(scheduler_state &state, const worker_request &request);

/// What a worker has left, as far as many choices ask for it.
struct free_room
{
    resources unreserved;
    std::int64_t idleMilliCores = 0; ///< See idleMilliCores().
    bool takesFill = false; ///< No serving task there is near its latency target.
};

/// Makes many choices at one time. Each is the one that chooseWorker() would make, but workers are
/// examined once for each kind of request and not once for each request. Between two choices only
/// starts may change the workers; they take room, and never make a worker eligible.
class worker_chooser
{
public:
    explicit worker_chooser(scheduler_state &state);

    /// Returns the eligible worker that suits best, or null.
    worker_record *choose(const worker_request &request);

    /// A run was bound to the worker, which must have been chosen here.
    void noteStart(const worker_record &worker);

private:
    /// What requests of one kind have in common: a worker costs them all the same. The texts are
    /// those of steps, which outlive the chooser.
    struct kind_key
    {
        resources size;
        bool fillsIdleRoom = false;
        bool isServing = false;
        double maxPressure = 0;
        std::string_view image; ///< Empty where it does not matter.
        std::string_view requiredLabel;
        std::string_view preferredRack;

        friend bool operator<(const kind_key &a, const kind_key &b)
        {
            const auto tied = [](const kind_key &k) {
                return std::tie(k.size.milliCores, k.size.memoryMb, k.size.accelerators,
                                k.fillsIdleRoom, k.isServing, k.maxPressure, k.image,
                                k.requiredLabel, k.preferredRack);
            };
            return tied(a) < tied(b);
        }
    };

    /// A worker with its cost for a kind. The dear part of the cost is computed only for those that
    /// come to the top.
    struct candidate
    {
        double cost = 0;
        int worker = 0; ///< Index in the pool.
        int version = 0; ///< Of the worker when the cost was computed.
        bool isWhole = false; ///< Otherwise the cost is a lower bound.
    };

    struct request_kind
    {
        rack_id preferredRack; ///< Keeps the text of its key.
        bool isUnplaceable = false; ///< It finds no worker any more.
        std::vector<double> coefficients; ///< Of its image, if it fills idle room.
        std::vector<candidate> heap; ///< The cheapest first.
        std::size_t startsSeen = 0; ///< Of the pool's starts, those that the heap regards.
    };

    struct open_worker
    {
        worker_record *record = nullptr;
        free_room room;
        int version = 0; ///< Number of starts noted.
    };

    /// The open workers of a service.
    struct worker_pool
    {
        std::vector<open_worker> workers; ///< By identifier.
        std::vector<int> starts; ///< Workers that were started on, in order.
        std::deque<request_kind> kindStore;
        std::map<kind_key, request_kind *> kinds;
        std::vector<kind_key> unplaceable; ///< Kinds that find no worker any more.
    };

    static bool isDearer(const candidate &a, const candidate &b)
    {
        return std::tie(a.cost, a.worker) > std::tie(b.cost, b.worker);
    }
    static kind_key keyOf(const worker_request &request);
    static bool isUnplaceable(const worker_pool &pool, const kind_key &key);
    request_kind &kindOf(worker_pool &pool, const worker_request &request);
    void addCandidate(worker_pool &pool, request_kind &kind, const worker_request &request,
                      int worker);
    void regardBudgets(const worker_record &worker, request_kind &kind,
                       const worker_request &request) const;
    void regardStarts(worker_pool &pool, request_kind &kind, const worker_request &request);
    worker_record *takeBest(worker_pool &pool, request_kind &kind, const worker_request &request);

    scheduler_state &m_state;
    std::map<service_id, worker_pool> m_pools;
};

} // namespace crocuswind::scheduler

#endif
