/// Defines the adapter that connects the request core to callers and runners over HTTP and to the
/// other entry hosts. It performs I/O only; all decisions are made by the core.
#ifndef CROCUSWIND_CROCUSWINDD_REQUEST_ADAPTER_H
#define CROCUSWIND_CROCUSWINDD_REQUEST_ADAPTER_H

#include "host_context.h"

#include "urgent/urgent.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace crocuswind {

/// The functions of the daemon that the adapter calls.
struct request_adapter_callbacks
{
    /// Sends a message to an entry host. Returns false if nothing was sent.
    std::function<bool(const host_id &to, const urgent_message &message)> sendToPeer;
    std::function<void()> drained; ///< Called when a drain has finished all requests.
};

/// Passes events to one request_core and performs its actions.
class request_adapter
{
public:
    request_adapter(host_context &context, request_adapter_callbacks callbacks);

    /// Handles a caller's HTTP request under `/v1/request-ids` or `/v1/requests`. Returns false for
    /// any other path, without answering.
    bool handle(const http_request &request, const http_responder &responder);

    /// Passes one event to the core and performs the resulting actions.
    template <class what>
    void feed(what event)
    {
        perform(m_core.handle(urgent_event{m_context.loop.now(), std::move(event)}));
    }

    /// Replaces the known runners by those of this data centre in \p hosts.
    void setRunners(const std::vector<listed_host> &hosts);

    /// Returns the services that have a listed runner in this data centre.
    const std::vector<service_id> &services() const { return m_services; }

    const request_core &core() const { return m_core; }

private:
    struct attempt_call
    {
        http_call_id call = 0;
        request_id id;
    };

    void submit(const http_request &request, const http_responder &responder);
    void queryOutcome(const std::string &idText, const http_responder &responder);
    caller_token registerCaller(const http_responder &responder, const std::string &idText);
    void perform(const std::vector<urgent_action> &actions);
    void perform(const reply_identifier &action);
    void perform(const reply_outcome &action);
    void perform(const dispatch_to_runner &action);
    void perform(const cancel_attempt &action);
    void perform(const send_to_peer &action);
    void perform(const urgent_span &action);
    void perform(const urgent_log &action);
    void perform(const urgent_wake_at &action);
    void perform(const urgent_drained &action);
    void finishAttempt(attempt_number attempt, runner_result result);
    void countOutcome(const request_outcome &result);

    struct waiting_caller
    {
        http_responder responder;
        std::string idText; ///< As sent by the caller; used if a reply has no identifier.
        bool isQuery = false;
    };

    host_context &m_context;
    request_adapter_callbacks m_callbacks;
    request_core m_core;
    wake_timer m_wake;
    logger m_log{"urgent"};
    caller_token m_lastCallerToken = 0;
    std::map<caller_token, waiting_caller> m_callers;
    std::map<attempt_number, attempt_call> m_attempts;
    std::map<runner_id, ip_endpoint> m_runnerEndpoints;
    std::vector<service_id> m_services;
};

} // namespace crocuswind

#endif
