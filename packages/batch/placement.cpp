#include "placement.h"

#include <algorithm>
#include <tuple>

namespace crocuswind {

namespace {

/// Enough candidates to find one in an unused rack or with little interference; more cost time for
/// little gain, and a fixed number keeps the cost independent of the size of the fleet.
constexpr std::size_t maxCandidates = 16;

/// Collects the best of a few candidates.
class candidate_choice
{
public:
    candidate_choice(const commitment_book &book, const placement_request &request)
        : m_book(book)
        , m_request(request)
    { }

    /// Considers a slot; returns false once enough candidates were seen.
    bool consider(std::size_t number)
    {
        const worker_slot &slot = m_book.slot(number);
        const resources free = slot.free();
        if (!fitsInto(m_request.size, free))
            return true;
        if (m_request.reserved != nullptr && *m_request.reserved == slot.worker)
            return true;
        const bool isAvoided
            = m_request.avoid != nullptr && m_request.avoid->count(slot.worker) != 0;
        int replicas = 0;
        if (m_request.replicasByRack != nullptr) {
            const auto at = m_request.replicasByRack->find(slot.rack);
            replicas = at == m_request.replicasByRack->end() ? 0 : at->second;
        }
        const double penalty = m_request.penalty ? m_request.penalty(slot) : 0;
        const std::int64_t left = free.milliCores - m_request.size.milliCores;
        const rank candidate{isAvoided, replicas, penalty,
                             m_request.isLatencyCritical ? -left : left, slot.worker};
        if (!m_best || candidate < *m_best)
            m_best = candidate;
        // A candidate of last resort must not end the search.
        m_seen += isAvoided ? 0 : 1;
        return m_seen < maxCandidates;
    }

    std::optional<worker_id> result() const
    {
        if (!m_best)
            return std::nullopt;
        return std::get<worker_id>(*m_best);
    }

    bool hasGood() const { return m_seen > 0; }

private:
    using rank = std::tuple<bool, int, double, std::int64_t, worker_id>;

    const commitment_book &m_book;
    const placement_request &m_request;
    std::optional<rank> m_best;
    std::size_t m_seen = 0;
};

} // namespace

std::optional<worker_id> chooseWorker(const commitment_book &book, const placement_request &request)
{
    candidate_choice choice(book, request);
    const auto search = [&](const commitment_book::index &workers) {
        const auto first = workers.lower_bound({request.size.milliCores, 0});
        if (request.isLatencyCritical) {
            for (auto at = workers.end(); at != first;) {
                --at;
                if (!choice.consider(at->second))
                    return;
            }
            return;
        }
        for (auto at = first; at != workers.end(); ++at) {
            if (!choice.consider(at->second))
                return;
        }
    };
    if (request.size.accelerators == 0)
        search(book.plainWorkers());
    if (!choice.hasGood())
        search(book.acceleratedWorkers());
    return choice.result();
}

std::optional<std::pair<worker_id, std::vector<task_key>>>
chooseVictims(const commitment_book &book, const resources &size,
              const std::function<std::optional<std::int64_t>(const task_key &)> &cost)
{
    std::optional<std::pair<worker_id, std::vector<task_key>>> best;
    std::int64_t bestCost = 0;
    for (const auto &[worker, number] : book.workers()) {
        const worker_slot &slot = book.slot(number);
        if (!slot.isEligible || !fitsInto(size, slot.capacity))
            continue;
        std::vector<std::pair<std::int64_t, task_key>> candidates;
        for (const auto &[task, taskSize] : slot.tasks) {
            if (const auto c = cost(task))
                candidates.emplace_back(*c, task);
        }
        std::sort(candidates.begin(), candidates.end());
        resources free = slot.free();
        std::vector<task_key> victims;
        std::int64_t total = 0;
        for (const auto &[c, task] : candidates) {
            if (fitsInto(size, free))
                break;
            free = free + slot.tasks.at(task);
            victims.push_back(task);
            total += c;
        }
        if (!fitsInto(size, free) || victims.empty())
            continue;
        // Drops victims that a later, larger one has made unnecessary.
        for (auto at = victims.begin(); at != victims.end();) {
            const resources without = free - slot.tasks.at(*at);
            if (!fitsInto(size, without)) {
                ++at;
                continue;
            }
            free = without;
            at = victims.erase(at);
        }
        total += std::int64_t(victims.size());
        if (!best || total < bestCost) {
            bestCost = total;
            best.emplace(worker, std::move(victims));
        }
    }
    return best;
}

std::optional<nearest_worker> nearestIfNoneFits(const commitment_book &book, const resources &size)
{
    std::optional<nearest_worker> nearest;
    double smallest = 0;
    const auto shortage = [](std::int64_t wanted, std::int64_t has) {
        return wanted <= has ? 0 : double(wanted - has) / double(wanted);
    };
    for (const auto &[worker, number] : book.workers()) {
        const resources &capacity = book.slot(number).capacity;
        if (fitsInto(size, capacity))
            return std::nullopt;
        const double worst = std::max({shortage(size.milliCores, capacity.milliCores),
                                       shortage(size.memoryMb, capacity.memoryMb),
                                       shortage(size.accelerators, capacity.accelerators)});
        if (!nearest || worst < smallest) {
            smallest = worst;
            nearest = nearest_worker{worker, capacity};
        }
    }
    return nearest;
}

} // namespace crocuswind
