#include "batch_adapter.h"

#include "protocol/worker_bodies.h"

#include <algorithm>

namespace crocuswind {

namespace {

/// Time after which the outcome of an unanswered forwarded call counts as unknown. A commit takes
/// at most a second or two, so a longer timeout would only hold the caller's connection.
constexpr duration forwardTimeout = 5s;

/// Limit of a sync response: a worker reports at most a few hundred tasks of about 1 KB each.
constexpr std::size_t maxSyncAnswerBytes = 1024 * 1024;

job_answer_body failure(int status, const std::string &message)
{
    return {status, toBody(caller_error{message, {}})};
}

http_response toResponse(const job_answer_body &answer)
{
    http_response response;
    response.status = answer.status;
    response.body = answer.body;
    return response;
}

tl::expected<sync_report, sync_error> toSyncResult(const http_result &answer)
{
    if (answer.outcome == http_outcome::not_connected)
        return tl::unexpected(sync_error{sync_error::reason::not_sent, 0});
    if (answer.outcome == http_outcome::answered && answer.status == 409) {
        const auto epoch = parseStaleEpoch(answer.body);
        if (epoch)
            return tl::unexpected(sync_error{sync_error::reason::stale_epoch, *epoch});
    }
    if (answer.outcome == http_outcome::answered && answer.status == 200) {
        const auto report = parseSyncReport(answer.body);
        if (report)
            return *report;
    }
    return tl::unexpected(sync_error{sync_error::reason::no_answer, 0});
}

} // namespace

/// Merges the job lists of all shards into one response, and sends it after the last one arrived.
struct batch_adapter::merged_job_list
{
    http_responder responder;
    std::size_t shardsPending;
    caller_job_list jobs;
    std::string smallestContinuation; ///< Smallest `next` of the shards with further jobs.
    job_answer_body failure; ///< The last failed answer; valid if isFailed.
    bool isFailed = false;

    void add(const job_answer_body &answer)
    {
        const auto part = answer.status == 200
            ? parseCallerJobList(answer.body)
            : tl::expected<caller_job_list, findings>(tl::unexpected(findings{}));
        if (!part) {
            isFailed = true;
            failure = answer;
        } else {
            jobs.jobs.insert(jobs.jobs.end(), part->jobs.begin(), part->jobs.end());
            if (!part->next.empty()
                && (smallestContinuation.empty() || part->next < smallestContinuation))
                smallestContinuation = part->next;
        }
        if (--shardsPending == 0)
            finish();
    }

    void finish()
    {
        if (isFailed) {
            responder.answer(toResponse(failure));
            return;
        }
        std::sort(jobs.jobs.begin(), jobs.jobs.end(),
                  [](const caller_job_view &a, const caller_job_view &b) { return a.id < b.id; });
        // Drops all jobs after the smallest continuation. The next page starts there for all
        // shards; starting later would skip jobs that the shard with this continuation did not
        // list.
        if (!smallestContinuation.empty()) {
            const auto last = parseJobId(smallestContinuation);
            while (last && !jobs.jobs.empty() && *last < jobs.jobs.back().id)
                jobs.jobs.pop_back();
            jobs.next = smallestContinuation;
        }
        http_response response;
        response.body = toBody(jobs);
        responder.answer(response);
    }
};

batch_adapter::batch_adapter(host_context &context, batch_adapter_callbacks callbacks)
    : m_context(context)
    , m_callbacks(std::move(callbacks))
{
    for (int number = 0; number < context.settings.shards; ++number) {
        shard_settings settings;
        settings.host = context.settings.host;
        settings.incarnationNumber = context.incarnationNumber;
        settings.shard = {context.settings.dataCentre, number};
        settings.shardCount = context.settings.shards;
        m_shards.push_back(std::make_unique<shard>(context.loop, settings));
    }
}

batch_adapter::~batch_adapter() = default;

bool batch_adapter::handle(const http_request &request, const http_responder &responder)
{
    const auto parts = pathParts(request.path, "/v1/jobs");
    if (!parts)
        return false;
    if (parts->empty() && request.method == "POST") {
        submit(request, responder);
        return true;
    }
    if (parts->empty() && request.method == "GET") {
        list(request, responder);
        return true;
    }
    const bool isCancel
        = parts->size() == 3 && parts->back() == "cancel" && request.method == "POST";
    const bool isQuery = parts->size() == 2 && request.method == "GET";
    if (!isCancel && !isQuery) {
        responder.answer(errorResponse(
            405,
            "use POST or GET /v1/jobs, GET /v1/jobs/TEAM/NAME, POST /v1/jobs/TEAM/NAME/cancel"));
        return true;
    }
    const auto job = parseJobId((*parts)[0] + "/" + (*parts)[1]);
    if (!job) {
        responder.answer(errorResponse(400, "a job is named TEAM/NAME"));
        return true;
    }
    const job_call call = isCancel ? job_call(cancel_job{*job}) : job_call(query_job{*job});
    run(shardOfJob(*job, m_context.settings.shards), call, true,
        [responder](const job_answer_body &answer) { responder.answer(toResponse(answer)); });
    return true;
}

void batch_adapter::submit(const http_request &request, const http_responder &responder)
{
    const auto body = parseCallerJob(request.body);
    if (!body) {
        responder.answer(errorResponse(400, "the job is not valid", body.error()));
        return;
    }
    submit_job call;
    call.spec = toJobSpec(*body);
    const auto trace = parseTraceparent(headerValue(request.headers, "traceparent"));
    call.trace = trace ? *trace : startTrace(m_context.random);
    const int shardNumber = shardOfJob(call.spec.id, m_context.settings.shards);
    run(shardNumber, call, true,
        [responder](const job_answer_body &answer) { responder.answer(toResponse(answer)); });
}

void batch_adapter::list(const http_request &request, const http_responder &responder)
{
    list_jobs call;
    const std::string team = queryValue(request.query, "team");
    const std::string after = queryValue(request.query, "after");
    if (!team.empty())
        call.team = team_id{team};
    if (!after.empty()) {
        call.after = parseJobId(after);
        if (!call.after) {
            responder.answer(errorResponse(400, "'after' must be TEAM/NAME"));
            return;
        }
    }
    auto collected = std::make_shared<merged_job_list>(
        merged_job_list{responder, m_shards.size(), {}, {}, {}, false});
    for (std::size_t number = 0; number < m_shards.size(); ++number)
        run(int(number), call, true,
            [collected](const job_answer_body &answer) { collected->add(answer); });
}

void batch_adapter::run(int shardNumber, job_call call, bool mayForward, answer_callback done)
{
    const caller_token token = ++m_lastCallerToken;
    m_calls.emplace(token, open_call{call, std::move(done), mayForward, shardNumber});
    shard &s = *m_shards.at(std::size_t(shardNumber));
    if (const auto *submitted = std::get_if<submit_job>(&call))
        feed(s, shard_submit{token, submitted->spec, submitted->trace});
    else if (const auto *queried = std::get_if<query_job>(&call))
        feed(s, shard_query{token, queried->job});
    else if (const auto *cancelled = std::get_if<cancel_job>(&call))
        feed(s, shard_cancel{token, cancelled->job});
    else if (const auto *listed = std::get_if<list_jobs>(&call))
        feed(s, shard_list{token, listed->team, listed->after, listed->limit});
}

void batch_adapter::perform(shard &, const shard_reply &action)
{
    const auto found = m_calls.find(action.caller);
    if (found == m_calls.end())
        return;
    const open_call open = std::move(found->second);
    m_calls.erase(found);
    const job_reply &reply = action.reply;
    const bool hasOtherOwner = reply.owner && *reply.owner != m_context.settings.host;
    if (reply.outcome == job_outcome::not_owner && open.mayForward && hasOtherOwner)
        forward(open, *reply.owner);
    else
        open.done(toAnswer(open.call, reply));
}

void batch_adapter::forward(const open_call &open, const host_id &owner)
{
    const std::uint64_t token = ++m_lastForwardToken;
    const shard_id id{m_context.settings.dataCentre, open.shard};
    if (!m_callbacks.forwardJob(owner, id, token, encodeJobCall(open.call))) {
        open.done(failure(503,
                          "the owner of the shard, " + owner.value
                              + ", cannot be reached; repeat the call"));
        return;
    }
    forwarded_call forwarded{owner, open.done, 0};
    forwarded.timer = m_context.loop.callAt(m_context.loop.now() + forwardTimeout, [this, token] {
        finishForwarded(token,
                        failure(504, "the owner of the shard gave no answer; repeat the call"));
    });
    m_forwarded.emplace(token, std::move(forwarded));
}

void batch_adapter::finishForwarded(std::uint64_t token, const job_answer_body &answer)
{
    const auto found = m_forwarded.find(token);
    if (found == m_forwarded.end())
        return;
    const answer_callback done = std::move(found->second.done);
    m_context.loop.cancel(found->second.timer);
    m_forwarded.erase(found);
    done(answer);
}

void batch_adapter::receiveCall(const host_id &from, int shard, std::uint64_t token,
                                const std::string &body)
{
    const shard_id id{m_context.settings.dataCentre, shard};
    const auto answer = [this, from, id, token](const job_answer_body &a) {
        m_callbacks.answerJob(from, id, token, encodeJobAnswer(a));
    };
    const auto call = decodeJobCall(body);
    if (!call || shard < 0 || shard >= int(m_shards.size())) {
        answer(failure(400, "the forwarded call is not valid"));
        return;
    }
    run(shard, *call, false, answer);
}

void batch_adapter::receiveAnswer(std::uint64_t token, const std::string &body)
{
    const auto answer = decodeJobAnswer(body);
    finishForwarded(token, answer ? *answer : failure(504, "the owner's answer is not valid"));
}

void batch_adapter::peerLost(const host_id &host)
{
    std::vector<std::uint64_t> lost;
    for (const auto &[token, call] : m_forwarded) {
        if (call.to == host)
            lost.push_back(token);
    }
    for (std::uint64_t token : lost)
        finishForwarded(token, failure(504, "the owner of the shard was lost; repeat the call"));
}

void batch_adapter::setWorkers(const std::vector<listed_host> &hosts)
{
    shard_workers event;
    std::map<worker_id, ip_endpoint> endpoints;
    for (const listed_host &host : hosts) {
        const auto endpoint = parseEndpoint(host.address);
        if (host.kind != listed_host::host_kind::worker || !endpoint
            || host.dataCentre != m_context.settings.dataCentre)
            continue;
        const worker_id worker{host.name};
        endpoints[worker] = *endpoint;
        const resources capacity{std::int64_t(host.cores) * 1000, host.memoryMb, host.accelerators};
        event.workers.push_back({worker, host.rack, capacity, host.isLeaving});
    }
    m_workerEndpoints = std::move(endpoints);
    feedAll(event);
}

void batch_adapter::perform(shard &s, const std::vector<shard_action> &actions)
{
    for (const shard_action &action : actions)
        std::visit([this, &s](const auto &a) { perform(s, a); }, action);
}

void batch_adapter::perform(shard &s, const shard_store_call &action)
{
    const std::uint64_t token = action.token;
    m_context.metrics.add("crocuswind_store_calls_total", {{"part", "batch"}});
    m_context.platformStore.submit(action.operation, action.deadline,
                                   [this, &s, token](store_result result) {
                                       feed(s, shard_store_result{token, std::move(result)});
                                   });
}

void batch_adapter::perform(shard &s, const shard_sync_worker &action)
{
    const auto endpoint = m_workerEndpoints.find(action.worker);
    if (endpoint == m_workerEndpoints.end()) {
        const sync_error error{sync_error::reason::not_sent, 0};
        const shard_sync_result result{action.worker, action.request.epoch, action.request.sequence,
                                       tl::unexpected(error)};
        m_context.loop.post([this, &s, result] { feed(s, result); });
        return;
    }
    http_call call;
    call.to = endpoint->second;
    call.path = "/v1/sync";
    call.headers = {{"content-type", "application/json"}};
    call.body = encodeSyncRequest(action.request);
    call.deadline = action.deadline;
    call.maxAnswerBytes = maxSyncAnswerBytes;
    m_context.client.send(std::move(call), [this, &s, action](const http_result &answer) {
        finishSync(s, action, answer);
    });
}

void batch_adapter::finishSync(shard &s, const shard_sync_worker &sync, const http_result &answer)
{
    feed(s,
         shard_sync_result{sync.worker, sync.request.epoch, sync.request.sequence,
                           toSyncResult(answer)});
}

void batch_adapter::perform(shard &, const shard_span &action)
{
    const trace_context span = childSpan(action.trace, m_context.random);
    writeSpan(m_context, action.name, span, action.trace.span, action.start, action.end,
              action.attributes);
}

void batch_adapter::perform(shard &s, const shard_log &action)
{
    m_log.info("Shard {}: {}", s.number, action.text);
}

void batch_adapter::perform(shard &s, const shard_wake_at &action)
{
    s.wake.set(action.when, [this, &s] { feed(s, shard_tick{}); });
}

void batch_adapter::perform(shard &s, const shard_drained &)
{
    s.isDrained = true;
    const bool allDrained = std::all_of(m_shards.begin(), m_shards.end(),
                                        [](const auto &other) { return other->isDrained; });
    if (allDrained)
        m_context.loop.post([this] { m_callbacks.drained(); });
}

std::vector<shard_status> batch_adapter::status() const
{
    std::vector<shard_status> all;
    for (const auto &s : m_shards)
        all.push_back(s->core.status());
    return all;
}

} // namespace crocuswind
