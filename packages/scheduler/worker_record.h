/// Defines what the owner of the jobs knows about one worker: its clock, its lease, its room and
/// the ends it has listed.
#ifndef CROCUSWIND_SCHEDULER_WORKER_RECORD_H
#define CROCUSWIND_SCHEDULER_WORKER_RECORD_H

#include "job_model.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace crocuswind::scheduler {

/// What service discovery says of a worker.
struct worker_info
{
    worker_id id;
    /// Where it is reached, as text that only what carries orders understands. It changes only when
    /// the worker starts anew.
    std::string address;
    service_id service; ///< The pool that it belongs to.
    data_centre_id dataCentre;
    rack_id rack; ///< Empty if it did not say.
    std::vector<std::string> labels;
    resources capacity;
    bool isDraining = false;
    std::int64_t bornUnixMs = 0; ///< Start of this incarnation, 0 if it did not say.

    friend bool operator==(const worker_info &a, const worker_info &b)
    {
        const auto tied = [](const worker_info &w) {
            return std::tie(w.id, w.address, w.service, w.dataCentre, w.rack, w.labels, w.capacity,
                            w.isDraining, w.bornUnixMs);
        };
        return tied(a) == tied(b);
    }
    friend bool operator!=(const worker_info &a, const worker_info &b) { return !(a == b); }
};

/// A run as a worker reports it.
struct running_report
{
    task_name task;
    int run = 0;
    std::string saved;
    int progressPercent = 0;
    std::int64_t figure = 0; ///< Tail latency in ms of a serving task, else thousandths of a core.
};

/// Why a run ended.
enum class end_reason {
    done,
    failed, ///< By its own fault or the worker's.
    stopped, ///< By our order.
    lapsed, ///< The worker's lease ran out.
    broken, ///< Another member of its gang ended.
    alone, ///< Its gang did not assemble in time.
};

/// The end of a run as a worker lists it.
struct ended_report
{
    std::int64_t number = 0; ///< From 1 in each incarnation of the worker, increasing.
    task_name task;
    int run = 0;
    end_reason reason = end_reason::failed;
    std::string saved;
};

/// What a worker says of itself.
struct worker_report
{
    std::int64_t clockMs = 0; ///< The worker's own steady clock.
    std::int64_t bornUnixMs = 0; ///< Start of this incarnation, 0 if it did not say.
    std::vector<running_report> running;
    std::vector<ended_report> ended;
};

/// A worker takes longer than this to go down and come back.
constexpr duration sameIncarnationLimit = 1500ms;

/// A worker's clock may be this much slower than ours.
constexpr double maxClockSlowness = 0.02;

/// Relates a worker's clock to ours, and remembers how long its lease may last.
class worker_lease
{
public:
    /// Notes a reading of the worker's clock that arrived at \p now.
    void noteClock(std::int64_t clockMs, instant now);

    /// Returns true if the clock was read in this incarnation of the worker.
    bool isClockKnown() const { return m_reading.has_value(); }

    /// Returns the worker's time at which \p deadline of ours has surely come, for use in an order,
    /// and notes that the lease may last until then. The clock must be known.
    std::int64_t grantUntil(instant deadline, instant now);

    /// Returns true if no run can exist any more that was started under this lease, by the slowest
    /// possible clock of the worker. An unknown clock is judged by `limitLapse()` alone.
    bool hasLapsed(instant now) const;

    /// The lease was granted by an earlier owner, who cannot extend it beyond \p latest.
    void limitLapse(instant latest) { m_inheritedUntil = latest; }

    /// Returns true if a clock reading is that of an earlier start than the last one.
    bool isClockBack(std::int64_t clockMs, instant now) const;

private:
    struct reading
    {
        std::int64_t clockMs = 0;
        instant at;
    };
    std::optional<reading> m_reading;
    std::int64_t m_grantedUntilMs = 0; ///< On the worker's clock.
    std::optional<instant> m_inheritedUntil;
};

/// Follows which of a worker's ends have been made durable, so that it may forget them.
class end_cursor
{
public:
    /// Returns true if the end is new; it then counts as not durable yet.
    bool accept(std::int64_t number, const task_name &task = task_name());

    /// Notes that an end needs no further care.
    void settle(std::int64_t number) { m_unsettled.erase(number); }

    /// Returns the highest number up to which the worker may forget its ends.
    std::int64_t settledUpTo() const;

    /// Returns true if ends wait to become durable.
    bool hasUnsettled() const { return !m_unsettled.empty(); }

    /// Returns the ends that are not durable yet, by number, with their tasks.
    const std::map<std::int64_t, task_name> &unsettled() const { return m_unsettled; }

    /// Returns the highest number seen.
    std::int64_t highest() const { return m_highest; }

private:
    std::int64_t m_highest = 0;
    std::map<std::int64_t, task_name> m_unsettled;
};

/// The runs of one image in a worker's idle room.
struct filling_image
{
    int image = 0; ///< Index in the interference model.
    int tasks = 0;
    std::int64_t wantedMilliCores = 0; ///< What they would use at full pace.
    double usedShare = 0; ///< Of the worker's processors, as last reported.
    int pacePercent = 100;
    instant slowSince; ///< Since when the pace is low, if it is.
};

/// The runs of one image on a worker that have a latency target.
struct serving_image
{
    int image = 0; ///< Index in the interference model.
    int tasks = 0;
    int working = 0; ///< Those that have started up, as last reported.
    double latencyRatio = 0; ///< Highest tail latency against its target, as last reported.
    double meanRatio = 0; ///< Mean of the same.
    bool isLoadKnown = false;
    double load = 0; ///< Utilisation by their own users.
};

/// How much interference the tasks of one serving image on a worker can take, and how much of it
/// the work in idle room there uses.
struct interference_budget
{
    int serving = 0; ///< Index of the image in the interference model.
    double added = 0; ///< Utilisation added at full pace.
    double headroom = 1; ///< Utilisation that may be added.
};

struct job_record;
struct task_state;

/// A run that may exist on a worker. What it points at exists as long as the run is bound: a job
/// keeps its tasks while they may run, and a worker the images of its runs.
struct bound_run
{
    int run = 0; ///< Its number.
    job_record *job = nullptr;
    const step_spec *step = nullptr;
    task_state *task = nullptr;
    filling_image *filling = nullptr; ///< Null if the step does not fill idle room.
    serving_image *serving = nullptr; ///< Null if the step has no latency target.
    std::uint64_t shownPoll = 0; ///< The last poll whose report had it.
};

/// One worker.
struct worker_record
{
    worker_info info;
    bool isListed = false; ///< Service discovery has it.
    bool isRecorded = false; ///< A later owner would find it in the stored list of workers.
    /// A later owner may find it in the stored list of leaving workers: it must be given nothing.
    bool isRecordedLeaving = false;
    bool isCurrent
        = false; ///< It has reported what it runs, since the ownership or its incarnation began.
    instant currentSince; ///< First report of this incarnation to us.
    worker_lease lease;
    end_cursor ends;
    std::int64_t bornUnixMs = 0; ///< As reported; 0 if not known.
    bool hasStrayRuns = false; ///< It may have runs that are no task's current one: room is unsure.
    std::uint64_t strayPoll = 0; ///< Only reports of later polls can show that there are none.
    std::map<task_name, bound_run> runs; ///< Runs that may exist there.
    resources committed; ///< What these runs reserve.
    std::int64_t fillingMilliCores = 0; ///< What runs in idle room would like to use.
    std::map<std::string, filling_image> filling; ///< The same by image.
    std::map<std::string, serving_image> serving; ///< Tasks with a latency target by image.
    std::int64_t servingMilliCores = 0; ///< What these reserve.
    /// By the model as of the worker's last report, start or end: choices look at all workers, and
    /// asking the model for each took most of the owner's processor time.
    std::vector<interference_budget> budgets;
    // Polls.
    std::uint64_t lastPoll = 0;
    bool isPolled = false; ///< A poll is under way.
    instant nextPollAt;
    instant lastReportAt;
    int failedPolls = 0; ///< Polls without an answer since the last report.
    std::int64_t ackedEnds = 0; ///< Told to the worker and answered.
    // Failures of what it starts.
    int failuresInRow = 0;
    instant avoidedUntil; ///< It is given nothing before.
    /// Returns the processors and memory that nothing reserves.
    resources room() const { return info.capacity - committed; }
};

} // namespace crocuswind::scheduler

#endif
