#include "status_command.h"

#include "entry_client.h"

#include <memory>
#include <nlohmann/json.hpp>

namespace crocuswind {

namespace {

/// Formats a value of the status on one line: strings as they are, all others as JSON.
std::string valueText(const nlohmann::json &value)
{
    return value.is_string() ? value.get<std::string>() : value.dump();
}

/// Prints the status of one entry host. Returns true if it answered and is ready.
bool printStatus(entry_client &client, const ip_endpoint &entry, bool isJson)
{
    const http_result ready = client.callOne(entry, "GET", "/readyz", "", client.deadline());
    const http_result result = client.callOne(entry, "GET", "/v1/status", "", client.deadline());
    const bool isAnswered
        = result.outcome == http_outcome::answered && ready.outcome == http_outcome::answered;
    const bool isReady = isAnswered && ready.status == 200;
    nlohmann::json status = nlohmann::json::parse(result.body, nullptr, false);
    if (!isAnswered || !status.is_object())
        status = nlohmann::json::object();
    if (isJson) {
        nlohmann::json line = {{"entry", toString(entry)},
                               {"answers", isAnswered},
                               {"ready", isReady},
                               {"status", status}};
        if (isAnswered && !isReady)
            line["reason"] = ready.body;
        printLine("{}", line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
        return isReady;
    }
    if (!isAnswered)
        printLine("{}: does not answer", toString(entry));
    else if (!isReady)
        printLine("{}: not ready: {}", toString(entry), ready.body);
    else
        printLine("{}: ready", toString(entry));
    for (const auto &[key, value] : status.items())
        printLine("  {}: {}", key, valueText(value));
    return isReady;
}

exit_status runStatus(const entry_settings &s)
{
    event_loop loop;
    entry_client client(loop, s);
    bool areAllReady = true;
    for (const ip_endpoint &entry : client.entries())
        areAllReady = printStatus(client, entry, s.isJson) && areAllReady;
    return areAllReady ? exit_status::done : exit_status::failed;
}

} // namespace

void addStatusCommand(CLI::App &app, exit_status &status)
{
    const auto settings = std::make_shared<entry_settings>();
    CLI::App *command
        = app.add_subcommand("status", "Show the state of each entry host; 0 if all are ready");
    addEntrySettings(*command, *settings);
    command->callback([settings, &status] { status = runStatus(*settings); });
}

} // namespace crocuswind
