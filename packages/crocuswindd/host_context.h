/// Defines what all adapters of the daemon share: the loop, the settings, and the outlets for logs,
/// spans and metrics. It also holds small helpers for driving a core from the loop.
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

/// The parts of the daemon that every adapter uses. All references outlive the adapters.
struct host_context
{
    event_loop &loop;
    const daemon_settings &settings;
    incarnation life; ///< This life of the process.
    http_client &client;
    store &platformStore;
    span_writer &spans;
    metrics_registry &metrics;
    random_source &random;
};

/// One timer that is moved each time it is set; cores ask for it with their wake_at actions.
class wake_timer
{
public:
    explicit wake_timer(event_loop &loop)
        : m_loop(loop)
    { }
    ~wake_timer() { m_loop.cancel(m_timer); }
    wake_timer(const wake_timer &) = delete;
    wake_timer &operator=(const wake_timer &) = delete;

    /// Calls \p function at \p when and forgets any earlier time.
    void set(instant when, std::function<void()> function)
    {
        m_loop.cancel(m_timer);
        m_timer = m_loop.callAt(when, std::move(function));
    }

private:
    event_loop &m_loop;
    timer_id m_timer = 0;
};

/// Writes one span of a core. \p start and \p end are times of this process.
void writeSpan(const host_context &context, const std::string &name, const trace_context &trace,
               std::uint64_t parentSpan, instant start, instant end,
               const span_attributes &attributes);

/// Returns an HTTP response that reports an error in the form of `caller_error`.
http_response errorResponse(int status, const std::string &message, const findings &problems = {});

/// Splits the part of \p path behind \p prefix at slashes. Returns nothing if the path does not
/// begin with the prefix. `/v1/jobs/a/b` with prefix `/v1/jobs` gives {"a", "b"}.
std::optional<std::vector<std::string>> pathParts(const std::string &path,
                                                  const std::string &prefix);

/// Returns the value of a field of a query string such as `team=a&limit=3`, or an empty text.
/// Names are never percent-encoded here, since valid names need no encoding.
std::string queryValue(const std::string &query, const std::string &field);

} // namespace crocuswind

#endif
