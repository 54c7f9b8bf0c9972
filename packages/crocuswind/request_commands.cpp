#include "request_commands.h"

#include "entry_client.h"

#include <algorithm>
#include <memory>
#include <optional>

namespace crocuswind {

namespace {

/// Time after the request's deadline until which an answer is awaited. It lets the entry host's own
/// outcome arrive, which is more precise than the client's `unknown`.
constexpr duration answerMargin = 2s;
constexpr duration pollInterval = 200ms;

struct request_settings
{
    entry_settings entry;
    std::string service;
    std::string team;
    std::string urgency = "normal";
    std::string payload;
    std::string payloadFile;
    std::int64_t timeLeftMs = 1000;
    bool isUnrepeatable = false;
};

struct outcome_settings
{
    entry_settings entry;
    std::string id;
    bool shouldWait = false;
};

exit_status statusOfOutcome(const caller_outcome &outcome)
{
    switch (outcome.what) {
    case caller_outcome::kind::answered:
        return exit_status::done;
    case caller_outcome::kind::not_run:
        return exit_status::refused;
    case caller_outcome::kind::pending:
    case caller_outcome::kind::unknown:
        break;
    }
    return exit_status::unknown;
}

/// Prints an outcome: the answer alone to standard output, the rest to standard error, so that a
/// script can use the answer.
exit_status print(const caller_outcome &outcome, bool isJson)
{
    if (isJson) {
        printLine("{}", toBody(outcome));
        return statusOfOutcome(outcome);
    }
    switch (outcome.what) {
    case caller_outcome::kind::answered:
        fmt::print("{}\n", outcome.answer);
        break;
    case caller_outcome::kind::not_run:
        fmt::print(stderr, "crocuswind: not run: {}\n", outcome.reason);
        break;
    case caller_outcome::kind::pending:
        fmt::print(stderr,
                   "crocuswind: request {} is still in progress; ask again with "
                   "'crocuswind outcome {}'\n",
                   outcome.id, outcome.id);
        break;
    case caller_outcome::kind::unknown:
        fmt::print(stderr,
                   "crocuswind: outcome unknown: {}; request {} may or may not have run; "
                   "ask again with 'crocuswind outcome {}'\n",
                   outcome.reason, outcome.id, outcome.id);
        break;
    }
    return statusOfOutcome(outcome);
}

caller_outcome unknownOutcome(const std::string &id)
{
    return {id, caller_outcome::kind::unknown, "", "no_answer", "/v1/requests/" + id};
}

/// Queries an outcome. With \p shouldWait, polls until the outcome is definite or the deadline has
/// passed; without it, throws a command_error if there is no valid answer.
caller_outcome queryOutcome(entry_client &client, const std::string &id, instant deadline,
                            bool shouldWait)
{
    caller_outcome last = unknownOutcome(id);
    while (true) {
        const http_result result = client.call("GET", "/v1/requests/" + id, "", deadline, true);
        if (result.outcome == http_outcome::answered) {
            if (const auto outcome = parseCallerOutcome(result.body))
                last = *outcome;
            else if (!shouldWait)
                failStatus(result, exit_status::failed);
        } else if (!shouldWait) {
            failUnanswered(client, result.outcome, "repeat the command");
        }
        const bool isDefinite = last.what == caller_outcome::kind::answered
            || last.what == caller_outcome::kind::not_run;
        if (isDefinite || !shouldWait || client.loop().now() + pollInterval >= deadline)
            return last;
        waitFor(client.loop(), pollInterval);
    }
}

request_id fetchIdentifier(entry_client &client)
{
    const http_result result = client.call("POST", "/v1/request-ids", "", client.deadline(), true);
    if (result.outcome == http_outcome::no_answer)
        throw command_error(exit_status::refused,
                            fmt::format("no answer from {} in time; no identifier was issued and "
                                        "the request was not sent. Repeat the command.",
                                        client.addresses()));
    if (result.outcome != http_outcome::answered)
        failUnanswered(client, result.outcome, "");
    if (result.status != 200)
        failStatus(result, exit_status::refused);
    const auto id = parseCallerRequestId(result.body);
    if (!id)
        throw command_error(exit_status::failed,
                            "the entry host's answer holds no request identifier");
    return *id;
}

exit_status runRequest(const request_settings &s)
{
    event_loop loop;
    caller_request request;
    request.service.value = s.service;
    request.team.value = s.team;
    request.repeatable = !s.isUnrepeatable;
    request.urgency = s.urgency == "urgent" ? workload_urgency::urgent : workload_urgency::normal;
    request.timeLeftMs = s.timeLeftMs;
    request.payload
        = s.payloadFile.empty() ? s.payload : readFile(s.payloadFile, maxCallerBodyBytes / 2);
    // Checked before the first call. An identifier, added later, takes less than the reserve.
    constexpr std::size_t identifierReserve = 256;
    if (toBody(request).size() + identifierReserve > maxCallerBodyBytes)
        throw command_error(exit_status::usage,
                            fmt::format("the request is larger than {} bytes with its payload "
                                        "encoded",
                                        maxCallerBodyBytes));
    entry_client client(loop, s.entry);
    if (s.isUnrepeatable)
        request.id = fetchIdentifier(client);

    const instant deadline = loop.now() + std::chrono::milliseconds(s.timeLeftMs) + answerMargin;
    const http_result result
        = client.call("POST", "/v1/requests", toBody(request), deadline, false);
    if (result.outcome == http_outcome::answered) {
        if (const auto outcome = parseCallerOutcome(result.body))
            return print(*outcome, s.entry.isJson);
        failStatus(result, result.status < 500 ? exit_status::failed : exit_status::unknown);
    }
    if (result.outcome == http_outcome::not_connected || !request.id)
        failUnanswered(client, result.outcome,
                       "the request may or may not have run; it is repeatable, so repeat the "
                       "command");
    // The request must not be sent again, but its outcome can be queried by its identifier.
    return print(queryOutcome(client, toString(*request.id),
                              std::max(client.deadline(), loop.now() + answerMargin), true),
                 s.entry.isJson);
}

exit_status runOutcome(const outcome_settings &s)
{
    event_loop loop;
    entry_client client(loop, s.entry);
    return print(queryOutcome(client, s.id, client.deadline(), s.shouldWait), s.entry.isJson);
}

std::string checkName(const std::string &text)
{
    return isValidName(text)
        ? std::string()
        : fmt::format("'{}' is not a name of 1 to 63 characters from a-z, 0-9, '-' and '.'", text);
}

} // namespace

void addRequestCommands(CLI::App &app, exit_status &status)
{
    const auto request = std::make_shared<request_settings>();
    CLI::App *command = app.add_subcommand("request", "Send a request and print its answer");
    command->add_option("service", request->service, "Service that answers")
        ->required()
        ->check(checkName);
    addEntrySettings(*command, request->entry);
    addSetting(*command, "--team", request->team, "Team on whose quota the request runs")
        ->required()
        ->check(checkName);
    addSetting(*command, "--urgency", request->urgency, "urgent or normal")
        ->check(CLI::IsMember({"urgent", "normal"}));
    addSetting(*command, "--time-left-ms", request->timeLeftMs, "Time until the deadline in ms")
        ->check(CLI::Range(std::int64_t(1), std::int64_t(600000)));
    addSwitch(*command, "--unrepeatable", request->isUnrepeatable,
              "Run at most once: get an identifier first, and never send the request again");
    CLI::Option *payload
        = addSetting(*command, "--payload", request->payload, "Payload for the service");
    addSetting(*command, "--payload-file", request->payloadFile,
               "File with the payload, - for standard input")
        ->excludes(payload);
    command->callback([request, &status] { status = runRequest(*request); });

    const auto outcome = std::make_shared<outcome_settings>();
    command = app.add_subcommand("outcome", "Ask for the outcome of a request");
    command->add_option("id", outcome->id, "Identifier of the request")
        ->required()
        ->check([](const std::string &text) {
            return parseRequestId(text) ? std::string()
                                        : fmt::format("'{}' is not a request identifier", text);
        });
    addEntrySettings(*command, outcome->entry);
    addSwitch(*command, "--wait", outcome->shouldWait,
              "Ask until the outcome is definite or the time is over");
    command->callback([outcome, &status] { status = runOutcome(*outcome); });
}

} // namespace crocuswind
