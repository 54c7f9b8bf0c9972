/// Defines the state that the owner keeps for a worker: its clock, lease, runs, free resources and
/// reported completions.
#ifndef CROCUSWIND_SCHEDULER_WORKER_RECORD_H
#define CROCUSWIND_SCHEDULER_WORKER_RECORD_H

#include "earlier_authority.h"
#include "job_model.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace crocuswind::scheduler {

/// A worker as service discovery describes it.
struct worker_info
{
    worker_id id;
    /// Network address, opaque to the scheduler; only the transport of commands interprets it. It
    /// changes only when the worker restarts.
    std::string address;
    service_id service; ///< The pool that the worker belongs to.
    data_centre_id dataCentre;
    rack_id rack; ///< Empty if not known.
    std::vector<std::string> labels;
    resources capacity;
    bool isDraining = false;
    /// The draining worker leaves at this time of its own steady clock at the earliest.
    std::optional<std::int64_t> leavesAtClockMs;
    std::int64_t incarnationStartUnixMs = 0; ///< Start of this incarnation; 0 if not known.

    friend bool operator==(const worker_info &a, const worker_info &b)
    {
        const auto tied = [](const worker_info &w) {
            return std::tie(w.id, w.address, w.service, w.dataCentre, w.rack, w.labels, w.capacity,
                            w.isDraining, w.leavesAtClockMs, w.incarnationStartUnixMs);
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
    std::string checkpoint;
    int progressPercent = 0;
    /// Tail latency in ms of a serving task, otherwise the processor usage in thousandths of a
    /// core.
    std::int64_t measurement = 0;
};

/// Why a run ended.
enum class completion_reason {
    done,
    failed, ///< By a fault of the task or of the worker.
    stopped, ///< By a stop command of the owner.
    lapsed, ///< The worker's lease expired.
    gang_member_ended, ///< Another member of its gang ended.
    gang_incomplete, ///< Its gang did not assemble in time.
};

/// The completion of a run as a worker reports it.
struct completion_report
{
    std::int64_t number = 0; ///< Counts up from 1 in each incarnation of the worker.
    task_name task;
    int run = 0;
    completion_reason reason = completion_reason::failed;
    std::string checkpoint;
};

/// The report of a worker on its state, in answer to a poll.
struct worker_report
{
    std::int64_t clockMs = 0; ///< The worker's own steady clock.
    std::int64_t incarnationStartUnixMs = 0; ///< Start of this incarnation; 0 if not reported.
    std::vector<running_report> running;
    std::vector<completion_report> completedRuns; ///< By number; the lowest come first.
    /// `completedRuns` has all completions that the worker has not forgotten. Otherwise the worker
    /// may have more than it lists at once, and a run that is missing from the report may be one of
    /// them.
    bool isWhole = true;
};

/// A worker takes longer than this to restart. If its last report is more recent, it is still the
/// same incarnation.
constexpr duration sameIncarnationLimit = 1500ms;

/// A command without an answer is carried out within this time or never.
constexpr duration lateCommandLimit = 15s;

/// Maximum relative rate by which a worker's clock may be slower than the owner's.
constexpr double maxClockSlowness = 0.02;

/// What bounds a worker's lease.
enum class lease_source {
    none, ///< Nobody can have granted one.
    granted, ///< Commands of this owner.
    inherited, ///< Commands of earlier owners, to the incarnation that they knew.
    misdirected, ///< Commands that were meant for an earlier incarnation.
};

/// Returns the word for a log line.
const char *toWord(lease_source source);

/// Relates a worker's clock to the owner's clock, and tracks how long the worker's lease may last.
class worker_lease
{
public:
    /// Records a reading of the worker's clock that arrived at \p now.
    void recordClock(std::int64_t clockMs, instant now);

    /// Returns true if the clock was read in this incarnation of the worker.
    bool isClockKnown() const { return m_reading.has_value(); }

    /// Returns when the worker's clock reads \p clockMs, or a little later. The clock must be
    /// known.
    instant timeOf(std::int64_t clockMs) const;

    /// Returns true if this owner has granted a lease to this incarnation of the worker.
    bool isGranted() const { return m_grantedUntilMs != 0; }

    /// Extends the lease to \p deadline, a time of the owner's clock. Returns the corresponding
    /// time of the worker's clock for use in a command. It is not after \p latest even if the
    /// worker's clock is as slow as it may be. The worker's clock must be known.
    std::int64_t grantUntil(instant deadline, instant latest, instant now);

    /// Returns true if the lease has certainly expired, so that no run started under it can exist.
    /// Assumes the slowest possible clock of the worker. If no clock reading is known, only the
    /// limits set by `limitLapse()` and `limitMisdirectedLapse()` count.
    bool hasLapsed(instant now) const { return now > lapsesBy(); }

    /// Returns the latest time at which the lease lapses, under the same assumptions.
    instant lapsesBy() const;

    /// Returns which of the bounds of `lapsesBy()` is the latest.
    lease_source latestSource() const;

    /// Notes that an earlier owner may have granted a lease, which lapses at \p latest at the
    /// latest.
    void limitLapse(instant latest) { m_inheritedUntil = latest; }

    /// Notes that commands meant for an earlier incarnation may have given this one a lease, which
    /// lapses at \p latest at the latest, whatever its owners have granted.
    void limitMisdirectedLapse(instant latest) { m_misdirectedUntil = latest; }

    /// Returns the latest time at which a lease by commands meant for an earlier incarnation
    /// lapses, or nothing if there is none.
    std::optional<instant> misdirectedUntil() const { return m_misdirectedUntil; }

    /// Forgets a lease by commands meant for an earlier incarnation if it has lapsed by \p now.
    void dropLapsedMisdirected(instant now);

    /// An inherited lease lapses at \p latest at the latest.
    void tightenLapse(instant latest);

    /// A lease by commands meant for an earlier incarnation lapses at \p latest at the latest.
    void tightenMisdirectedLapse(instant latest);

    /// Returns true if a clock reading is so far behind the expected one that the worker must have
    /// restarted, which resets its clock.
    bool isClockReset(std::int64_t clockMs, instant now) const;

private:
    struct reading
    {
        std::int64_t clockMs = 0;
        instant at;
    };

    /// Returns the latest end of a lease by commands of this owner, or instant() without one.
    instant grantLapsesBy() const;

    std::optional<reading> m_reading;
    std::int64_t m_grantedUntilMs = 0; ///< On the worker's clock.
    std::optional<instant> m_inheritedUntil;
    std::optional<instant> m_misdirectedUntil;
};

/// Bounds the reading of a worker's clock from above.
class clock_ceiling
{
public:
    /// The clock read \p clockMs at some time from \p sentAt to \p now.
    void record(std::int64_t clockMs, instant sentAt, instant now);

    /// Returns the highest reading that the clock can have at \p now, or nothing if it was never
    /// read. The clock is faster than the owner's by maxClockRateDifference at most.
    std::optional<std::int64_t> at(instant now) const;

private:
    struct reading
    {
        std::int64_t clockMs = 0;
        instant sentAt;
    };
    std::optional<reading> m_reading; ///< The one with the lowest ceiling.
};

/// Tracks which completions of a worker are durable, so that the worker may forget them.
class completion_cursor
{
public:
    /// Returns true if the completion is new; it then counts as not durable yet.
    bool accept(std::int64_t number, const task_name &task = task_name());

    /// Marks a completion as settled: it is durable, or nothing of it has to be stored.
    void settle(std::int64_t number) { m_unsettled.erase(number); }

    /// Returns the highest number up to which the worker may forget its completions.
    std::int64_t settledUpTo() const;

    /// Returns true if completions wait to become durable.
    bool hasUnsettled() const { return !m_unsettled.empty(); }

    /// Returns the completions that are not durable yet, by number, with their tasks.
    const std::map<std::int64_t, task_name> &unsettled() const { return m_unsettled; }

    /// Returns the highest number seen.
    std::int64_t highest() const { return m_highest; }

private:
    std::int64_t m_highest = 0;
    std::map<std::int64_t, task_name> m_unsettled;
};

/// The best-effort runs of one image on a worker.
struct best_effort_image
{
    int image = 0; ///< Index in the interference model.
    int tasks = 0;
    std::int64_t wantedMilliCores = 0; ///< Processors that they would use at full pace.
    double usedShare = 0; ///< Share of the worker's processors in use, as last reported.
    int pacePercent = 100; ///< Of the runs that do not yield.
    instant slowSince; ///< Since when the pace is low. Meaningful only while it is low.
};

/// The runs of one image with a latency target on a worker.
struct serving_image
{
    int image = 0; ///< Index in the interference model.
    int tasks = 0;
    int working = 0; ///< Number of tasks that have finished starting up, as last reported.
    double latencyRatio = 0; ///< Highest ratio of tail latency to target, as last reported.
    /// Harmonic mean of the ratios, as last reported: its utilisation is the mean of theirs.
    double meanRatio = 0;
    bool isLoadKnown = false;
    /// Utilisation caused by the requests of the tasks' own users, without the forecast swing.
    double load = 0;
    double presumedSwing = 0; ///< Forecast difference from `load` while the worker measured.
    double presumedLoad = 0; ///< What `load` was expected to be at the latest report.
    bool isLoadShared = false; ///< `presumedLoad` is what the workers of each task's step show.
    bool isForecast = false; ///< The next two are forecast for each task.
    double loadSoon = 0; ///< Highest load of a task until its pace changes next.
    double loadLater = 0; ///< Highest load of a task during a run that starts now.
    int overTarget = 0; ///< Number of tasks over their latency target, as last reported.
};

/// How much interference the tasks of one serving image on a worker tolerate, and how much the
/// best-effort tasks there cause.
struct interference_budget
{
    int serving = 0; ///< Index of the image in the interference model.
    double addedUtilisation = 0; ///< Utilisation that the best-effort tasks add at full pace.
    double headroom = 1; ///< Utilisation that best-effort tasks may add.
};

struct job_record;
struct step_load;
struct task_state;

/// A run that may exist on a worker. The pointers are valid as long as the run is bound: a job
/// keeps its tasks while they may have a run, and a worker record keeps the images of its runs.
struct bound_run
{
    int run = 0; ///< Number of the run.
    job_record *job = nullptr;
    const step_spec *step = nullptr;
    task_state *task = nullptr;
    best_effort_image *bestEffort = nullptr; ///< Null if the step is not best effort.
    bool isYielding = false; ///< Yields to all other runs, see yielding_runs.h.
    serving_image *serving = nullptr; ///< Null if the step has no latency target.
    step_load *load = nullptr; ///< Null likewise.
    std::uint64_t lastSeenPoll = 0; ///< Number of the last poll whose report contained the run.
    /// An answer has shown that the run began in the known incarnation of the worker.
    bool isConfirmed = false;
};

/// The owner's state of one worker.
struct worker_record
{
    worker_info info;
    bool isListed = false; ///< Service discovery lists the worker.
    bool isInStoredList
        = false; ///< The worker is in the durable list of workers, for a later owner.
    /// A later owner may find a leaving record of the worker in the store. No task may start there,
    /// because the record would not contain it.
    bool mayHaveLeavingRecord = false;
    /// The worker has reported its runs since this ownership and its current incarnation began.
    bool hasReported = false;
    instant firstReportAt; ///< Time of the first such report.
    worker_lease lease;
    clock_ceiling clockCeiling;
    /// The last epoch that may have granted the worker a lease, apart from what `lease` knows.
    std::int64_t lastLeaseEpoch = 0;
    /// Until when runs that an earlier owner started may last on an incarnation that has answered
    /// no owner. Nothing once the worker has reported, or if there can be none.
    std::optional<instant> unheardUntil;
    /// The stored list of workers may name the worker as silent. It gets no lease and no task,
    /// because a later owner would not know of them.
    bool isStoredAsSilent = false;
    completion_cursor completions;
    /// Start of the incarnation, as reported to this owner, else as the former owner knew it; 0 if
    /// not known.
    std::int64_t incarnationStartUnixMs = 0;
    /// The one that the durable list of workers names. Tasks start only in that incarnation, so
    /// that a later owner can tell whether starts may have reached another one.
    std::int64_t storedIncarnationStartUnixMs = 0;
    /// The known incarnation was still running at this time. Meaningful once it has reported.
    instant knownAliveAt;
    /// The worker may have stray runs, which are not the current run of any task. Its free
    /// resources are then uncertain.
    bool hasStrayRuns = false;
    std::uint64_t strayPoll = 0; ///< Only the report of a later poll can prove that there are none.
    std::map<task_name, bound_run> runs; ///< Runs that may exist on the worker.
    resources committed; ///< Resources that these runs reserve.
    resources finiteCommitted; ///< The part of it that finite runs reserve.
    resources claimed; ///< Resources kept for tasks that are to start here, see room_claims.h.
    std::int64_t bestEffortMilliCores = 0; ///< Processors that best-effort runs use at full pace.
    std::map<std::string, best_effort_image> bestEffort; ///< Best-effort runs by image.
    std::map<std::string, serving_image> serving; ///< Runs with a latency target by image.
    std::int64_t servingMilliCores = 0; ///< Processors that the runs in `serving` reserve.
    /// Computed from the interference model at the worker's last report, start or completion. They
    /// are cached because the choice of a worker examines all workers, and querying the model for
    /// each took most of the owner's processor time.
    std::vector<interference_budget> budgets;
    instant targetsCheckedAt; ///< Last report that showed times over latency targets.
    bool isChangeNoted = false; ///< The worker is among scheduler_state::changedWorkers.
    // Polls.
    std::uint64_t lastPoll = 0;
    bool isPollInFlight = false; ///< A poll is in flight.
    bool isAcknowledgementInFlight = false; ///< That poll acknowledges completions.
    /// Since when polls could not acknowledge completions that are durable.
    std::optional<instant> unacknowledgedSince;
    instant pollSentAt; ///< When the last poll was sent.
    instant nextPollAt;
    instant lastReportAt;
    int failedPolls = 0; ///< Polls without an answer since the last report.
    /// The answer to a later poll shows that the worker refuses all commands that were sent before
    /// its restart was known.
    std::uint64_t lastPollBeforeFence = 0;
    std::int64_t ackedCompletions
        = 0; ///< Highest acknowledged completion that the worker confirmed.
    // Failures of runs on this worker.
    int consecutiveFailures = 0;
    instant avoidedUntil; ///< No task is started on the worker before this time.
    /// Returns the resources that no run reserves and that are kept for no task. They may be
    /// negative while room is kept that is not free yet.
    resources freeResources() const { return info.capacity - committed - claimed; }
};

} // namespace crocuswind::scheduler

#endif
