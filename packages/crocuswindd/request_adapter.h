/// Defines the adapter between the request core and the outside: callers and runners over HTTP, and
/// other entry hosts. It decides nothing.
#ifndef CROCUSWIND_CROCUSWINDD_REQUEST_ADAPTER_H
#define CROCUSWIND_CROCUSWINDD_REQUEST_ADAPTER_H

#include "host_context.h"

#include "urgent/urgent.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace crocuswind {

/// What the adapter asks of the rest of the daemon.
struct request_adapter_callbacks
{
    /// Sends a message to an entry host. Returns false if nothing was sent.
    std::function<bool(const host_id &to, const urgent_message &message)> sendToPeer;
    std::function<void()> drained; ///< All requests are finished after a drain.
};

/// Drives one request_core.
class request_adapter
{
public:
    request_adapter(host_context &context, request_adapter_callbacks callbacks);

    /// Handles a request of a caller. Returns false if the path is not one of this adapter.
    bool handle(const http_request &request, const http_responder &responder);

    /// Hands one event to the core and carries out its actions.
    template <class what>
    void feed(what event)
    {
        perform(m_core.handle(urgent_event{m_context.loop.now(), std::move(event)}));
    }

    /// Takes in the host list's runners of this data centre.
    void setRunners(const std::vector<listed_host> &hosts);

    /// Returns the services that runners of this data centre answer for.
    const std::vector<service_id> &services() const { return m_services; }

    const request_core &core() const { return m_core; }

private:
    struct attempt_call
    {
        http_call_id call = 0;
        request_id id;
    };

    void submit(const http_request &request, const http_responder &responder);
    void ask(const std::string &idText, const http_responder &responder);
    caller_token remember(const http_responder &responder, const std::string &idText);
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
        std::string idText; ///< As the caller wrote it, for replies without an identifier.
        bool isQuery = false;
    };

    host_context &m_context;
    request_adapter_callbacks m_callbacks;
    request_core m_core;
    wake_timer m_wake;
    logger m_log{"urgent"};
    caller_token m_lastCaller = 0;
    std::map<caller_token, waiting_caller> m_callers;
    std::map<attempt_number, attempt_call> m_attempts;
    std::map<runner_id, ip_endpoint> m_runnerEndpoints;
    std::vector<service_id> m_services;
};

} // namespace crocuswind

#endif
