#include "overload_triage.h"

#include <algorithm>
#include <map>
#include <queue>
#include <tuple>
#include <utility>

namespace crocuswind::policy {

namespace {

/// The work of a job that was given up counts this many times, so that decisions do not alternate.
constexpr double givenUpFactor = 1.3;

/// The work left of a job that has begun counts this many times.
constexpr double begunFactor = 0.25;

/// Shares of a queue's jobs that the largest sizes and those below them make up.
constexpr double largestShare = 0.1;
constexpr double largeShare = 0.2;

/// The share kept of each of these sizes, as a multiple of the share kept of all, at least.
constexpr double minRelativeShare = 0.6;

enum size_class { largest, large, other };
constexpr int sizeClasses = 3;

/// The jobs of one size class of a queue.
struct job_class
{
    std::size_t jobs = 0;
    std::size_t kept = 0;
    /// Jobs kept so far of the present priority, the one to give up first on top: by work, as
    /// weighted, and index.
    std::priority_queue<std::pair<double, std::size_t>> candidates;
};

/// The jobs of one queue.
struct job_queue
{
    std::vector<std::size_t> jobs;
    std::size_t kept = 0;
    job_class classes[sizeClasses];

    // Returns true if one more job of the class may be given up.
    bool mayGiveUp(int sizeClass) const
    {
        const job_class &c = classes[sizeClass];
        if (sizeClass == other || kept <= 1)
            return true;
        const double keptOfClass = double(c.kept - 1) / double(c.jobs);
        const double keptOfAll = double(kept - 1) / double(jobs.size());
        return keptOfClass >= minRelativeShare * keptOfAll;
    }
};

class triage
{
public:
    triage(const std::vector<triage_job> &jobs, const triage_room &room)
        : m_jobs(jobs)
        , m_room(room)
        , m_classOf(jobs.size(), other)
        , m_work(room.workAhead)
    {
        m_decision.isKept.assign(jobs.size(), false);
        for (std::size_t i = 0; i < jobs.size(); ++i)
            m_queues[jobs[i].queue].jobs.push_back(i);
        for (auto &[number, queue] : m_queues)
            classify(queue);
    }

    triage_decision run()
    {
        std::vector<std::size_t> order(m_jobs.size());
        for (std::size_t i = 0; i < order.size(); ++i)
            order[i] = i;
        std::sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
            return std::tie(m_jobs[a].priority, m_jobs[a].latestStart, a)
                < std::tie(m_jobs[b].priority, m_jobs[b].latestStart, b);
        });
        int priority = order.empty() ? 0 : m_jobs[order.front()].priority;
        for (const std::size_t index : order) {
            if (std::exchange(priority, m_jobs[index].priority) != m_jobs[index].priority)
                settleCandidates();
            keep(index);
            while (m_work > workUntil(m_jobs[index].latestStart) && giveUpOne()) { }
        }
        m_decision.keptWork = m_work;
        return std::move(m_decision);
    }

private:
    void classify(job_queue &queue)
    {
        std::vector<std::size_t> bySize = queue.jobs;
        std::sort(bySize.begin(), bySize.end(), [&](std::size_t a, std::size_t b) {
            return std::tie(m_jobs[b].size, a) < std::tie(m_jobs[a].size, b);
        });
        const double count = double(bySize.size());
        for (std::size_t rank = 0; rank < bySize.size(); ++rank) {
            const double position = double(rank + 1) / count;
            const int sizeClass = position <= largestShare ? largest
                : position <= largestShare + largeShare    ? large
                                                           : other;
            m_classOf[bySize[rank]] = sizeClass;
            ++queue.classes[sizeClass].jobs;
        }
    }

    // Returns the work that the room can start by \p time.
    double workUntil(instant time) const
    {
        return m_room.milliCores * double((time - m_room.now).count()) / 1000;
    }

    void keep(std::size_t index)
    {
        const triage_job &job = m_jobs[index];
        job_queue &queue = m_queues[job.queue];
        job_class &c = queue.classes[m_classOf[index]];
        m_decision.isKept[index] = true;
        m_work += job.work;
        ++queue.kept;
        ++c.kept;
        const double factor = job.hasBegun ? begunFactor : job.wasGivenUp ? givenUpFactor : 1;
        c.candidates.emplace(job.work * factor, index);
    }

    // Gives up the best candidate of all queues. Returns false if there is none.
    bool giveUpOne()
    {
        job_class *best = nullptr;
        for (auto &[number, queue] : m_queues) {
            for (int sizeClass = 0; sizeClass < sizeClasses; ++sizeClass) {
                job_class &c = queue.classes[sizeClass];
                if (c.candidates.empty() || !queue.mayGiveUp(sizeClass))
                    continue;
                if (best == nullptr || best->candidates.top() < c.candidates.top())
                    best = &c;
            }
        }
        if (best == nullptr)
            return false;
        const std::size_t index = best->candidates.top().second;
        best->candidates.pop();
        --best->kept;
        --m_queues[m_jobs[index].queue].kept;
        m_work -= m_jobs[index].work;
        m_decision.isKept[index] = false;
        ++m_decision.givenUp;
        return true;
    }

    // Jobs of earlier priorities are not given up any more.
    void settleCandidates()
    {
        for (auto &[number, queue] : m_queues) {
            for (job_class &c : queue.classes)
                c.candidates = {};
        }
    }

    const std::vector<triage_job> &m_jobs;
    const triage_room &m_room;
    std::vector<int> m_classOf; ///< The size class of each job.
    std::map<int, job_queue> m_queues;
    double m_work; ///< Of the jobs kept so far, and ahead of them.
    triage_decision m_decision;
};

} // namespace

triage_decision triageOverload(const std::vector<triage_job> &jobs, const triage_room &room)
{
    return triage(jobs, room).run();
}

} // namespace crocuswind::policy
