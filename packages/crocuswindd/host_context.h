/// Defines what all adapters of the daemon share: the loop, the settings, the store and HTTP
/// clients, and the destinations of spans and metrics. Also defines helpers for HTTP paths and core
/// timers.
#ifndef CROCUSWIND_CROCUSWINDD_HOST_CONTEXT_H
#define CROCUSWIND_CROCUSWINDD_HOST_CONTEXT_H

#include "settings.h"

#include "io/io.h"
#include "protocol/protocol.h"

#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace crocuswind {

/// The objects that every adapter uses. All of them outlive the adapters.
struct host_context
{
    event_loop &loop;
    const daemon_settings &settings;
    incarnation incarnationNumber; ///< Incarnation of this process.
    http_client &client;
    store &platformStore;
    span_writer &spans;
    metrics_registry &metrics;
    random_source &random;
};

/// A single timer that is rescheduled each time it is set. The adapters use one per core for its
/// wake_at actions.
class wake_timer
{
public:
    explicit wake_timer(event_loop &loop)
        : m_loop(loop)
    { }
    ~wake_timer() { m_loop.cancel(m_timer); }
    wake_timer(const wake_timer &) = delete;
    wake_timer &operator=(const wake_timer &) = delete;

    /// Schedules \p function for \p when and cancels the previous schedule.
    void set(instant when, std::function<void()> function)
    {
        m_loop.cancel(m_timer);
        m_timer = m_loop.callAt(when, std::move(function));
    }

private:
    event_loop &m_loop;
    timer_id m_timer = 0;
};

/// Writes one span of a core. \p start and \p end are times of the event loop and are converted to
/// Unix time.
void writeSpan(const host_context &context, const std::string &name, const trace_context &trace,
               std::uint64_t parentSpan, instant start, instant end,
               const span_attributes &attributes);

/// Returns an HTTP response that reports an error in the form of `caller_error`.
http_response errorResponse(int status, const std::string &message, const findings &problems = {});

/// Splits the part of \p path after \p prefix at slashes. Returns nothing if the path does not
/// start with the prefix. `/v1/jobs/a/b` with prefix `/v1/jobs` gives {"a", "b"}.
std::optional<std::vector<std::string>> pathParts(const std::string &path,
                                                  const std::string &prefix);

/// Returns the value of \p field in a query string such as `team=a&limit=3`, or an empty string if
/// the field is missing. Values are not percent-decoded, since valid names need no encoding.
std::string queryValue(const std::string &query, const std::string &field);

} // namespace crocuswind

#endif
