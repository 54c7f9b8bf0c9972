/// Defines the events that `shard_core` handles and the actions that it returns. The adapter
/// carries out the actions in order and makes no decisions.
#ifndef CROCUSWIND_BATCH_SHARD_EVENTS_H
#define CROCUSWIND_BATCH_SHARD_EVENTS_H

#include "job.h"
#include "worker_sync.h"

#include <cstdint>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <utility>
#include <variant>
#include <vector>

namespace crocuswind {

/// Identifies a caller's open request. Chosen by the adapter.
using caller_token = std::uint64_t;

/// The weight of a team, which determines its guaranteed share. A team without a quota has weight
/// 1.
struct quota
{
    team_id team;
    std::int64_t weight = 1;

    friend bool operator==(const quota &a, const quota &b)
    {
        return a.team == b.team && a.weight == b.weight;
    }
};

/// The store session of this host; sent after every renewal. Keys bound to `lease` exist at least
/// until `validUntil`, counted from the time at which the renewal was sent. A lease of 0 means that
/// there is no session.
struct shard_session
{
    std::int64_t lease = 0;
    instant validUntil;
};

/// The entry hosts of the data centre that are believed alive, including this one; sent on every
/// change. They determine which host is the first to attempt a takeover of a shard.
struct shard_hosts
{
    std::vector<host_id> hosts;
};

/// The result of a `shard_store_call`.
struct shard_store_result
{
    std::uint64_t token = 0;
    store_result result;
};

struct shard_submit
{
    caller_token caller = 0;
    job_spec spec;
    trace_context trace;
};

struct shard_cancel
{
    caller_token caller = 0;
    job_id job;
};

struct shard_query
{
    caller_token caller = 0;
    job_id job;
};

/// Requests at most `limit` jobs after `after`, ordered by identifier.
struct shard_list
{
    caller_token caller = 0;
    std::optional<team_id> team;
    std::optional<job_id> after;
    std::size_t limit = 100;
};

/// All workers of the data centre from the host list; sent after every poll, changed or not. The
/// core selects those of its shard.
struct shard_workers
{
    std::vector<worker_info> workers;
};

/// The result of a `shard_sync_worker`.
struct shard_sync_result
{
    worker_id worker;
    std::int64_t epoch = 0; ///< Epoch and sequence of the sync.
    std::int64_t sequence = 0;
    tl::expected<sync_report, sync_error> result;
};

/// The quotas of the configuration in effect.
struct shard_quotas
{
    std::vector<quota> quotas;
};

/// The time requested with `shard_wake_at` has been reached.
struct shard_tick
{ };

/// Finish the commit in flight, place no further tasks, release the shard, then return
/// `shard_drained`.
struct shard_drain
{ };

struct shard_event
{
    instant now;
    std::variant<shard_session, shard_hosts, shard_store_result, shard_submit, shard_cancel,
                 shard_query, shard_list, shard_workers, shard_sync_result, shard_quotas,
                 shard_tick, shard_drain>
        what;
};

/// A call to the store. The adapter returns `no_answer` or `not_sent` once `deadline` has passed.
struct shard_store_call
{
    std::uint64_t token = 0;
    store_operation operation;
    instant deadline;
};

/// A `POST /v1/sync` to a worker. The adapter returns a `sync_error` once `deadline` has passed.
struct shard_sync_worker
{
    worker_id worker;
    sync_request request;
    instant deadline;
};

/// The state of a job as returned to a caller.
struct job_view
{
    job_record record;
    job_state state = job_state::waiting;
    std::string explanation; ///< Why the job is waiting or where it runs, in one or two sentences.
};

/// The outcome of a caller's request, with the status of the HTTP response in brackets.
enum class job_outcome {
    accepted, ///< The job was submitted and is durable (201).
    exists, ///< The same job was submitted before and is durable (200).
    conflict, ///< A job of the same name but with other content exists (409).
    never_fits, ///< No worker of the shard is large enough (422).
    invalid, ///< The specification is invalid, see `problems` (400).
    not_accepted, ///< Certainly not recorded (503).
    unknown, ///< May or may not have been recorded; the caller should repeat or query it (504).
    found, ///< Successful query or list (200).
    not_found, ///< The job does not exist (404).
    cancelled, ///< The cancellation is durable, or the job had already finished (200).
    not_owner, ///< This host does not own the shard, see `owner` (503).
};

/// The reply to a caller's request.
struct job_reply
{
    job_outcome outcome = job_outcome::not_accepted;
    std::string reason;
    findings problems;
    /// One for a query, submission or cancellation; any number for a list.
    std::vector<job_view> jobs;
    std::optional<host_id> owner; ///< For `not_owner`: the owner that was last read.
};

struct shard_reply
{
    caller_token caller = 0;
    job_reply reply;
};

/// A completed span.
struct shard_span
{
    std::string name;
    trace_context trace;
    instant start;
    instant end;
    std::vector<std::pair<std::string, std::string>> attributes;
};

struct shard_log
{
    std::string text;
};

/// Requests a `shard_tick` at this time. Replaces any earlier request.
struct shard_wake_at
{
    instant when;
};

/// The shard has been released and nothing is in flight any more.
struct shard_drained
{ };

using shard_action = std::variant<shard_store_call, shard_sync_worker, shard_reply, shard_span,
                                  shard_log, shard_wake_at, shard_drained>;

} // namespace crocuswind

#endif
