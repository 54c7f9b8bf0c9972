#include "request_adapter.h"

#include "protocol/caller_bodies.h"

#include <set>

namespace crocuswind {

namespace {

constexpr std::size_t maxRunnerAnswerBytes = 1024 * 1024;

urgent_settings coreSettings(const host_context &context)
{
    urgent_settings settings;
    settings.host = context.settings.host;
    settings.epoch = context.incarnationNumber;
    settings.dataCentre = context.settings.dataCentre;
    settings.seed = context.random.next();
    settings.drainDelay = std::chrono::milliseconds(context.settings.balancerDelayMs);
    settings.drainLimit = std::chrono::milliseconds(context.settings.drainLimitMs);
    return settings;
}

caller_outcome toCallerOutcome(const std::string &id, const request_outcome &result)
{
    caller_outcome outcome;
    outcome.id = id;
    outcome.answer = result.answer;
    if (result.reason != outcome_reason::none)
        outcome.reason = toString(result.reason);
    switch (result.kind) {
    case outcome_kind::pending:
        outcome.what = caller_outcome::kind::pending;
        break;
    case outcome_kind::answered:
        outcome.what = caller_outcome::kind::answered;
        break;
    case outcome_kind::not_run:
        outcome.what = caller_outcome::kind::not_run;
        break;
    case outcome_kind::unknown:
        outcome.what = caller_outcome::kind::unknown;
        break;
    }
    const bool isStillQueryable
        = result.kind == outcome_kind::unknown || result.kind == outcome_kind::pending;
    if (isStillQueryable && !id.empty())
        outcome.ask = "/v1/requests/" + id;
    return outcome;
}

runner_result toRunnerResult(attempt_number attempt, const http_result &answer)
{
    runner_result result;
    result.attempt = attempt;
    switch (answer.outcome) {
    case http_outcome::not_connected:
        result.what = runner_result::kind::not_connected;
        return result;
    case http_outcome::no_answer:
        result.what = runner_result::kind::no_answer;
        return result;
    case http_outcome::answered:
        break;
    }
    result.isLeaving = headerValue(answer.headers, "x-crocuswind-leaving") == "1";
    result.echoedId = parseRequestId(headerValue(answer.headers, "x-crocuswind-request"));
    if (answer.status == 200) {
        result.what = runner_result::kind::answered;
        result.answer = answer.body;
    } else if (answer.status == 503
               && headerValue(answer.headers, "x-crocuswind-not-started") == "1") {
        result.what = runner_result::kind::refused_before_start;
    } else {
        result.what = runner_result::kind::failed;
    }
    return result;
}

} // namespace

request_adapter::request_adapter(host_context &context, request_adapter_callbacks callbacks)
    : m_context(context)
    , m_callbacks(std::move(callbacks))
    , m_core(coreSettings(context))
    , m_wake(context.loop)
{ }

bool request_adapter::handle(const http_request &request, const http_responder &responder)
{
    if (request.path == "/v1/request-ids" && request.method == "POST") {
        feed(identifier_asked{registerCaller(responder, "")});
        return true;
    }
    const auto parts = pathParts(request.path, "/v1/requests");
    if (!parts)
        return false;
    if (parts->empty() && request.method == "POST")
        submit(request, responder);
    else if (parts->size() == 1 && request.method == "GET")
        queryOutcome(parts->front(), responder);
    else
        responder.answer(errorResponse(405, "use POST /v1/requests or GET /v1/requests/ID"));
    return true;
}

void request_adapter::submit(const http_request &request, const http_responder &responder)
{
    const auto body = parseCallerRequest(request.body);
    if (!body) {
        responder.answer(errorResponse(400, "the request is not valid", body.error()));
        return;
    }
    request_submitted event;
    event.id = body->id;
    event.deadline = deadlineFromTimeLeft(request.arrived, body->timeLeftMs);
    event.content.service = body->service;
    event.content.team = body->team;
    event.content.isRepeatable = body->repeatable;
    event.content.level
        = body->urgency == workload_urgency::urgent ? urgency::urgent : urgency::normal;
    event.content.payload = body->payload;
    event.content.trace = parseTraceparent(headerValue(request.headers, "traceparent"));
    event.caller = registerCaller(responder, body->id ? toString(*body->id) : std::string());
    feed(std::move(event));
}

void request_adapter::queryOutcome(const std::string &idText, const http_responder &responder)
{
    const auto id = parseRequestId(idText);
    if (!id) {
        responder.answer(errorResponse(400, "'" + idText + "' is not a request identifier"));
        return;
    }
    const caller_token caller = registerCaller(responder, idText);
    m_callers.at(caller).isQuery = true;
    feed(outcome_asked{caller, *id});
}

caller_token request_adapter::registerCaller(const http_responder &responder,
                                             const std::string &idText)
{
    const caller_token caller = ++m_lastCallerToken;
    m_callers.emplace(caller, waiting_caller{responder, idText, false});
    responder.onDisconnect([this, caller] {
        if (m_callers.erase(caller) != 0)
            feed(request_caller_gone{caller});
    });
    return caller;
}

void request_adapter::setRunners(const std::vector<listed_host> &hosts)
{
    runners_listed event;
    std::map<runner_id, ip_endpoint> endpoints;
    std::set<service_id> services;
    for (const listed_host &host : hosts) {
        const auto endpoint = parseEndpoint(host.address);
        if (host.kind != listed_host::host_kind::runner || !endpoint
            || host.dataCentre != m_context.settings.dataCentre)
            continue;
        const runner_id runner{host.name};
        endpoints[runner] = *endpoint;
        services.insert(host.service);
        event.runners.push_back(
            {runner, host.service, host.slots, host.connections, host.isLeaving});
    }
    m_runnerEndpoints = std::move(endpoints);
    m_services.assign(services.begin(), services.end());
    feed(std::move(event));
}

void request_adapter::perform(const std::vector<urgent_action> &actions)
{
    for (const urgent_action &action : actions)
        std::visit([this](const auto &a) { perform(a); }, action);
}

void request_adapter::perform(const reply_identifier &action)
{
    const auto caller = m_callers.find(action.caller);
    if (caller == m_callers.end())
        return;
    http_response response;
    response.body = toBody(action.id);
    caller->second.responder.answer(response);
    m_callers.erase(caller);
}

void request_adapter::perform(const reply_outcome &action)
{
    const auto caller = m_callers.find(action.caller);
    if (caller == m_callers.end())
        return;
    const std::string id = action.id ? toString(*action.id) : caller->second.idText;
    const caller_outcome outcome = toCallerOutcome(id, action.result);
    http_response response;
    response.status = caller->second.isQuery ? 200 : statusOf(outcome);
    response.body = toBody(outcome);
    if (!caller->second.isQuery)
        countOutcome(action.result);
    caller->second.responder.answer(response);
    m_callers.erase(caller);
}

void request_adapter::countOutcome(const request_outcome &result)
{
    m_context.metrics.add("crocuswind_request_outcomes_total",
                          {{"outcome", std::string(toString(result.kind))},
                           {"reason", std::string(toString(result.reason))}});
}

void request_adapter::perform(const dispatch_to_runner &action)
{
    const auto endpoint = m_runnerEndpoints.find(action.runner);
    if (endpoint == m_runnerEndpoints.end()) {
        runner_result result;
        result.attempt = action.attempt;
        result.what = runner_result::kind::not_connected;
        m_context.loop.post([this, result] { feed(result); });
        return;
    }
    m_context.client.setConnectionLimit(endpoint->second, action.connectionLimit);
    http_call call;
    call.to = endpoint->second;
    call.path = "/run";
    call.headers = {
        {"content-type", "application/octet-stream"},
        {"x-crocuswind-request", toString(action.id)},
        {"x-crocuswind-time-left-ms",
         std::to_string(millisecondsLeft(m_context.loop.now(), action.deadline))},
        {"traceparent", toTraceparent(action.trace)},
    };
    call.body = action.payload;
    call.deadline = action.deadline;
    call.maxAnswerBytes = maxRunnerAnswerBytes;
    const attempt_number attempt = action.attempt;
    const http_call_id id
        = m_context.client.send(std::move(call), [this, attempt](const http_result &answer) {
              finishAttempt(attempt, toRunnerResult(attempt, answer));
          });
    m_attempts[attempt] = attempt_call{id, action.id};
}

void request_adapter::finishAttempt(attempt_number attempt, runner_result result)
{
    if (m_attempts.erase(attempt) != 0)
        feed(std::move(result));
}

void request_adapter::perform(const cancel_attempt &action)
{
    const auto attempt = m_attempts.find(action.attempt);
    if (attempt == m_attempts.end())
        return;
    m_context.client.cancel(attempt->second.call);
    runner_result result;
    result.attempt = action.attempt;
    result.what = runner_result::kind::no_answer;
    // Posted, since the core must not be called while its actions are performed.
    m_context.loop.post([this, result] { finishAttempt(result.attempt, result); });
}

void request_adapter::perform(const send_to_peer &action)
{
    if (m_callbacks.sendToPeer(action.to, action.message))
        return;
    const host_id host = action.to;
    m_context.loop.post([this, host] { feed(urgent_peer_lost{host}); });
}

void request_adapter::perform(const urgent_span &action)
{
    writeSpan(m_context, action.name, action.context, action.parentSpan, action.start, action.end,
              action.attributes);
    const double seconds = std::chrono::duration<double>(action.end - action.start).count();
    m_context.metrics.observe("crocuswind_request_hop_seconds", {{"hop", action.name}}, seconds);
}

void request_adapter::perform(const urgent_log &action)
{
    m_log.info("{}", action.text);
}

void request_adapter::perform(const urgent_wake_at &action)
{
    m_wake.set(action.when, [this] { feed(urgent_tick{}); });
}

void request_adapter::perform(const urgent_drained &)
{
    m_callbacks.drained();
}

} // namespace crocuswind
