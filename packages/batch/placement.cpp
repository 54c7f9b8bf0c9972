#include "placement.h"

#include <algorithm>
#include <limits>
#include <tuple>

namespace crocuswind {

namespace {

/// Enough candidates to find one in an unused rack or with little interference. More would take
/// longer for little gain; the fixed bound makes the cost independent of the fleet size.
constexpr std::size_t maxCandidates = 16;

/// Keeps the best candidate of a bounded number.
class candidate_choice
{
public:
    candidate_choice(const resource_accounting &accounting, const placement_request &request)
        : m_accounting(accounting)
        , m_request(request)
    { }

    /// Ranks a slot as a candidate; returns false once enough candidates were examined.
    bool consider(std::size_t number)
    {
        const worker_slot &slot = m_accounting.slot(number);
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
        if (penalty == std::numeric_limits<double>::infinity())
            return true;
        const std::int64_t left = free.milliCores - m_request.size.milliCores;
        const rank candidate{isAvoided, replicas, penalty,
                             m_request.isLatencyCritical ? -left : left, slot.worker};
        if (!m_best || candidate < *m_best)
            m_best = candidate;
        // Avoided workers are used only as a last resort, so they do not count towards the bound.
        m_preferredCandidates += isAvoided ? 0 : 1;
        return m_preferredCandidates < maxCandidates;
    }

    std::optional<worker_id> result() const
    {
        if (!m_best)
            return std::nullopt;
        return std::get<worker_id>(*m_best);
    }

    bool hasPreferredCandidate() const { return m_preferredCandidates > 0; }

private:
    using rank = std::tuple<bool, int, double, std::int64_t, worker_id>;

    const resource_accounting &m_accounting;
    const placement_request &m_request;
    std::optional<rank> m_best;
    std::size_t m_preferredCandidates = 0;
};

} // namespace

std::optional<worker_id> chooseWorker(const resource_accounting &accounting,
                                      const placement_request &request)
{
    candidate_choice choice(accounting, request);
    const auto search = [&](const resource_accounting::index &workers) {
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
        search(accounting.plainWorkers());
    if (!choice.hasPreferredCandidate())
        search(accounting.acceleratedWorkers());
    return choice.result();
}

std::optional<std::pair<worker_id, std::vector<task_key>>>
chooseVictims(const resource_accounting &accounting, const resources &size,
              const std::function<std::optional<std::int64_t>(const task_key &)> &cost,
              const std::function<std::int64_t(const worker_slot &)> &slotCost)
{
    std::optional<std::pair<worker_id, std::vector<task_key>>> best;
    std::int64_t bestCost = 0;
    for (const auto &[worker, number] : accounting.workers()) {
        const worker_slot &slot = accounting.slot(number);
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
        std::int64_t total = slotCost(slot);
        for (const auto &[c, task] : candidates) {
            if (fitsInto(size, free))
                break;
            free = free + slot.tasks.at(task);
            victims.push_back(task);
            total += c;
        }
        if (!fitsInto(size, free) || victims.empty())
            continue;
        // Drops victims that a larger one chosen later has made unnecessary.
        for (auto at = victims.begin(); at != victims.end();) {
            const resources without = free - slot.tasks.at(*at);
            if (!fitsInto(size, without)) {
                ++at;
                continue;
            }
            free = without;
            at = victims.erase(at);
        }
        if (!best || total < bestCost) {
            bestCost = total;
            best.emplace(worker, std::move(victims));
        }
    }
    return best;
}

std::optional<nearest_worker> nearestIfNoneFits(const resource_accounting &accounting,
                                                const resources &size)
{
    std::optional<nearest_worker> nearest;
    double smallest = 0;
    const auto shortage = [](std::int64_t wanted, std::int64_t has) {
        return wanted <= has ? 0 : double(wanted - has) / double(wanted);
    };
    for (const auto &[worker, number] : accounting.workers()) {
        const resources &capacity = accounting.slot(number).capacity;
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
