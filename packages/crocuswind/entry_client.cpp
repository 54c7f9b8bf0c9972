#include "entry_client.h"

#include <algorithm>
#include <memory>
#include <optional>

namespace crocuswind {

namespace {

/// Limit of an answer's size; no entry host sends a larger one.
constexpr std::size_t maxAnswerBytes = 2 * 1024 * 1024;

} // namespace

void addEntrySettings(CLI::App &app, entry_settings &settings)
{
    addEndpoints(app, "--entry", settings.entries,
                 "Entry hosts as IP:PORT, separated by commas; the next one is tried if one cannot "
                 "be reached")
        ->required();
    addSetting(app, "--timeout-ms", settings.timeoutMs, "Time for the whole command in ms")
        ->check(CLI::Range(std::int64_t(1), std::int64_t(86400000)));
    addSwitch(app, "--json", settings.isJson, "Print JSON");
}

entry_client::entry_client(event_loop &loop, const entry_settings &settings)
    : m_loop(loop)
    , m_client(loop, http_client_settings{})
    , m_entries(endpointsOf(settings.entries))
    , m_deadline(loop.now() + std::chrono::milliseconds(settings.timeoutMs))
{ }

http_result entry_client::callOne(const ip_endpoint &to, const std::string &method,
                                  const std::string &path, const std::string &body,
                                  instant deadline)
{
    http_call call;
    call.to = to;
    call.method = method;
    call.path = path;
    call.body = body;
    if (!body.empty())
        call.headers = {{"content-type", "application/json"}};
    call.deadline = deadline;
    call.maxAnswerBytes = maxAnswerBytes;
    // Shared with the callback, which may be called after this function has returned.
    const auto result = std::make_shared<std::optional<http_result>>();
    m_client.send(std::move(call), [result](http_result r) { *result = std::move(r); });
    const duration limit = std::max(duration(0), deadline - m_loop.now()) + 1s;
    m_loop.runUntil([&result] { return result->has_value(); }, limit);
    return result->value_or(http_result{});
}

http_result entry_client::call(const std::string &method, const std::string &path,
                               const std::string &body, instant deadline, bool isRepeatable)
{
    http_result result;
    bool mayHaveBeenSent = false;
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
        result = callOne(m_entries[m_next], method, path, body, deadline);
        if (result.outcome == http_outcome::answered)
            return result;
        m_next = (m_next + 1) % m_entries.size();
        if (result.outcome == http_outcome::no_answer) {
            mayHaveBeenSent = true;
            if (!isRepeatable)
                break;
        }
        if (m_loop.now() >= deadline)
            break;
    }
    result.outcome = mayHaveBeenSent ? http_outcome::no_answer : http_outcome::not_connected;
    return result;
}

std::string entry_client::addresses() const
{
    std::vector<std::string> texts;
    for (const ip_endpoint &e : m_entries)
        texts.push_back(toString(e));
    return fmt::format("{}", fmt::join(texts, ", "));
}

void failUnanswered(const entry_client &client, http_outcome outcome, const std::string &advice)
{
    if (outcome == http_outcome::not_connected)
        throw command_error(exit_status::failed,
                            fmt::format("cannot connect to an entry host at {}; check --entry and "
                                        "that crocuswindd runs there. Nothing was sent.",
                                        client.addresses()));
    throw command_error(exit_status::unknown,
                        fmt::format("no answer from {} in time; {}", client.addresses(), advice));
}

void failStatus(const http_result &result, exit_status status)
{
    const caller_error error = parseCallerError(result.body);
    std::string text = fmt::format("the entry host answers with status {}: {}", result.status,
                                   error.message.empty() ? "no reason given" : error.message);
    for (const finding &f : error.problems)
        text += "\n  " + toString(f);
    throw command_error(status, text);
}

void waitFor(event_loop &loop, duration time)
{
    loop.runUntil([] { return false; }, time);
}

} // namespace crocuswind
