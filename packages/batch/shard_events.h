/// Defines what `shard_core` receives and what it asks for. The adapter carries out the actions in
/// their order and makes no decisions.
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

/// Names a caller's open request; the adapter chooses it.
using caller_token = std::uint64_t;

/// The guaranteed share of a team. A team without one has weight 1.
struct quota
{
    team_id team;
    std::int64_t weight = 1;

    friend bool operator==(const quota &a, const quota &b)
    {
        return a.team == b.team && a.weight == b.weight;
    }
};

/// The store session of this host: keys bound to `lease` live at least until `validUntil`, counted
/// from the moment the renewal was sent. Sent after every renewal. A lease of 0 means none.
struct shard_session
{
    std::int64_t lease = 0;
    instant validUntil;
};

/// The entry hosts of the data centre that are believed alive, this one included. They determine
/// which host tries first to take over a shard. Sent on every change.
struct shard_hosts
{
    std::vector<host_id> hosts;
};

/// The outcome of a `shard_store_call`.
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

/// Asks for at most `limit` jobs after `after` in the order of their identifiers.
struct shard_list
{
    caller_token caller = 0;
    std::optional<team_id> team;
    std::optional<job_id> after;
    std::size_t limit = 100;
};

/// All workers of the data centre, from the host list. The core picks those of its shard. Sent
/// after every poll, changed or not.
struct shard_workers
{
    std::vector<worker_info> workers;
};

/// The outcome of a `shard_sync_worker`.
struct shard_sync_result
{
    worker_id worker;
    std::int64_t epoch = 0; ///< Epoch and sequence of the sync.
    std::int64_t sequence = 0;
    tl::expected<sync_report, sync_error> result;
};

/// The quotas in force, from the configuration.
struct shard_quotas
{
    std::vector<quota> quotas;
};

/// The time asked for with `shard_wake_at` has come.
struct shard_tick
{ };

/// Finish the commit in flight, place nothing more, give up ownership, then report `shard_drained`.
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

/// One call to the store. The adapter answers with `no_answer` or `not_sent` once `deadline` has
/// passed.
struct shard_store_call
{
    std::uint64_t token = 0;
    store_operation operation;
    instant deadline;
};

/// One `POST /v1/sync` to a worker. The adapter answers with a `sync_error` after `deadline`.
struct shard_sync_worker
{
    worker_id worker;
    sync_request request;
    instant deadline;
};

/// What a caller learns about one job.
struct job_view
{
    job_record record;
    job_state state = job_state::waiting;
    std::string explanation; ///< Why the job waits or where it runs, one or two sentences.
};

/// What became of a caller's request; the status in brackets is that of the HTTP answer.
enum class job_outcome {
    accepted, ///< Newly submitted and durable (201).
    exists, ///< The same job was submitted before and is durable (200).
    conflict, ///< A job of this name has other content (409).
    never_fits, ///< No worker of the shard can ever hold it (422).
    invalid, ///< The specification has mistakes, see `problems` (400).
    not_accepted, ///< Surely not recorded (503).
    unknown, ///< May or may not have been recorded; repeat it or query it (504).
    found, ///< The answer to a query or list (200).
    not_found, ///< There is no such job (404).
    cancelled, ///< The cancellation is durable, or the job had already finished (200).
    not_owner, ///< This host does not own the shard (503); see `owner`.
};

/// The answer to a caller.
struct job_reply
{
    job_outcome outcome = job_outcome::not_accepted;
    std::string reason;
    findings problems;
    std::vector<job_view> jobs; ///< One for a query, submission or cancel; several for a list.
    std::optional<host_id> owner; ///< The owner as last read, for `not_owner`.
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

/// Asks for `shard_tick` at this time. Replaces any earlier request.
struct shard_wake_at
{
    instant when;
};

/// The shard is given up: nothing is in flight any more.
struct shard_drained
{ };

using shard_action = std::variant<shard_store_call, shard_sync_worker, shard_reply, shard_span,
                                  shard_log, shard_wake_at, shard_drained>;

} // namespace crocuswind

#endif
