#include "config_commands.h"

#include "entry_client.h"
#include "store_session.h"
#include "text_difference.h"
#include "workload_reading.h"

#include <algorithm>
#include <chrono>
#include <ctime>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>

namespace crocuswind {

namespace {

constexpr duration pollInterval = 200ms;

struct publish_settings
{
    store_settings store;
    std::vector<std::string> entries; ///< Polled with `--wait`.
    std::vector<std::string> files;
    std::string author;
    std::string publication;
    std::int64_t base = -1;
    std::int64_t rollbackTo = 0;
    bool isDryRun = false;
    bool shouldWait = false;
};

struct history_settings
{
    store_settings store;
    int count = 10;
};

std::string timeText(std::int64_t unixMs)
{
    const std::time_t seconds = unixMs / 1000;
    std::tm utc{};
    gmtime_r(&seconds, &utc);
    char text[32];
    std::strftime(text, sizeof(text), "%Y-%m-%d %H:%M:%S UTC", &utc);
    return text;
}

std::string describe(const config_set &config)
{
    return fmt::format("revision {} by {} at {}", config.revision, config.author,
                       timeText(config.timeMs));
}

/// Prints the difference between two sets of files. Returns true if there is any.
bool printDifference(const config_set &before, const config_set &after)
{
    const std::vector<std::string> changed = changedFiles(before, after);
    const auto textOf = [](const config_set &set, const std::string &name) -> const std::string * {
        for (const config_file &f : set.files) {
            if (f.name == name)
                return &f.text;
        }
        return nullptr;
    };
    for (const std::string &name : changed) {
        const std::string *old = textOf(before, name);
        const std::string *now = textOf(after, name);
        printLine("{} {}", !old ? "added" : !now ? "removed" : "changed", name);
        fmt::print("{}", textDifference(old ? *old : "", now ? *now : ""));
    }
    return !changed.empty();
}

/// Polls `GET /v1/status` until every entry host of \p s reports at least \p revision. Throws a
/// command_error after the timeout.
void waitForRevision(event_loop &loop, const publish_settings &s, std::int64_t revision)
{
    entry_settings entry;
    entry.entries = s.entries;
    entry.timeoutMs = s.store.timeoutMs;
    entry_client client(loop, entry);
    std::vector<ip_endpoint> outdated = client.entries();
    while (true) {
        for (std::size_t i = 0; i < outdated.size();) {
            const http_result result = client.callOne(outdated[i], "GET", "/v1/status", "",
                                                      std::min(client.deadline(), loop.now() + 1s));
            const nlohmann::json status = nlohmann::json::parse(result.body, nullptr, false);
            const bool isInEffect = result.outcome == http_outcome::answered && status.is_object()
                && status.contains("config_revision")
                && status["config_revision"].is_number_integer()
                && status["config_revision"].get<std::int64_t>() >= revision;
            if (isInEffect)
                outdated.erase(outdated.begin() + std::ptrdiff_t(i));
            else
                ++i;
        }
        if (outdated.empty()) {
            printLine("in force on {} entry hosts", client.entries().size());
            return;
        }
        if (loop.now() + pollInterval >= client.deadline()) {
            std::vector<std::string> names;
            for (const ip_endpoint &e : outdated)
                names.push_back(toString(e));
            throw command_error(exit_status::failed,
                                fmt::format("revision {} is published, but not in force yet on {}; "
                                            "it takes effect there once they reach the store or a "
                                            "peer",
                                            revision, fmt::join(names, ", ")));
        }
        waitFor(loop, pollInterval);
    }
}

exit_status finish(event_loop &loop, const publish_settings &s, const publish_request &request,
                   const publish_finished &finished)
{
    switch (finished.verdict) {
    case publish_verdict::published:
        printLine("published revision {}", finished.revision);
        if (s.shouldWait)
            waitForRevision(loop, s, finished.revision);
        return exit_status::done;
    case publish_verdict::conflict: {
        std::string text = "nothing was published: ";
        text += finished.other ? describe(*finished.other) + " came first" : finished.message;
        if (!finished.changed.empty())
            text += fmt::format(" and changed {}", fmt::join(finished.changed, ", "));
        throw command_error(exit_status::refused,
                            text + "; look at 'crocuswind history' and repeat the command");
    }
    case publish_verdict::refused:
        throw command_error(exit_status::refused, "nothing was published: " + finished.message);
    case publish_verdict::not_published:
        throw command_error(exit_status::failed,
                            fmt::format("nothing was published: {}; check --store and repeat the "
                                        "command",
                                        finished.message));
    case publish_verdict::unknown:
        break;
    }
    throw command_error(exit_status::unknown,
                        fmt::format("the store's answer is missing and the publication may take "
                                    "effect; repeat the command with --publication {} --base {}, "
                                    "which cannot publish twice",
                                    request.publication, request.expectedBase.value_or(0)));
}

/// Throws a command_error if the files of an earlier revision are not valid by the current rules.
void checkRollbackFiles(const config_set &old)
{
    std::vector<workload_source> sources;
    for (const config_file &f : old.files)
        sources.push_back({f.name, f.text});
    if (const auto set = parseWorkloadFiles(sources); !set)
        throw command_error(exit_status::refused,
                            fmt::format("the files of revision {} have mistakes by the present "
                                        "rules; nothing was changed:\n{}",
                                        old.revision, toString(set.error())));
}

/// Publishes files, or an earlier revision if \p s.rollbackTo is not 0.
exit_status runPublish(const publish_settings &s)
{
    if (s.shouldWait && s.entries.empty())
        throw command_error(exit_status::usage,
                            "--wait needs the entry hosts to wait for; give "
                            "them with --entry");
    config_set wanted;
    if (s.rollbackTo == 0)
        wanted.files = readWorkloadFiles(s.files).files;
    event_loop loop;
    store_session store(loop, s.store);
    const config_set current = store.readConfig(configCurrentKey).value_or(config_set{});
    if (s.rollbackTo != 0) {
        const auto old = store.readConfig(configHistoryKey(s.rollbackTo));
        if (!old)
            throw command_error(exit_status::refused,
                                fmt::format("revision {} is not in the history, which keeps the "
                                            "last {}; nothing was changed",
                                            s.rollbackTo, configHistoryLength));
        wanted.files = old->files;
        checkRollbackFiles(*old);
    }
    if (current.revision == 0)
        printLine("in force: nothing");
    else
        printLine("in force: {}", describe(current));
    // A repeated publication is submitted even without a difference, since the core finds out
    // whether the first one took effect.
    const bool isRepeated = !s.publication.empty();
    if (!printDifference(current, wanted) && !isRepeated) {
        printLine("nothing to publish: the files are the same");
        if (s.shouldWait && !s.isDryRun && current.revision > 0)
            waitForRevision(loop, s, current.revision);
        return exit_status::done;
    }
    if (s.isDryRun) {
        printLine("dry run: nothing was published");
        return exit_status::done;
    }
    publish_request request;
    request.publication = isRepeated ? s.publication : randomIdentifier();
    request.author = s.author;
    request.timeMs = loop.unixMicroseconds(loop.now()) / 1000;
    // The publication is refused unless it replaces exactly the revision whose difference was
    // printed.
    request.expectedBase = s.base >= 0 ? s.base : current.revision;
    if (s.rollbackTo != 0)
        request.rollbackTo = s.rollbackTo;
    else
        request.files = wanted.files;
    return finish(loop, s, request, store.publish(request));
}

exit_status runCheck(const std::vector<std::string> &paths)
{
    const checked_files checked = readWorkloadFiles(paths);
    printLine("{} files are in order: {} services, {} jobs, {} teams", checked.files.size(),
              checked.set.services.size(), checked.set.jobs.size(), checked.set.teams.size());
    return exit_status::done;
}

exit_status runHistory(const history_settings &s)
{
    event_loop loop;
    store_session store(loop, s.store);
    std::optional<config_set> config = store.readConfig(configCurrentKey);
    if (!config) {
        printLine("nothing has been published");
        return exit_status::done;
    }
    for (int i = 0; i < s.count && config; ++i) {
        // Each revision is compared with its predecessor, which is no longer stored for the oldest
        // one.
        std::optional<config_set> before;
        if (config->revision > 1)
            before = store.readConfig(configHistoryKey(config->revision - 1));
        std::string line = describe(*config);
        if (before || config->revision == 1)
            line += fmt::format(
                ": {}", fmt::join(changedFiles(before.value_or(config_set{}), *config), ", "));
        printLine("{}", line);
        config = std::move(before);
    }
    return exit_status::done;
}

void addPublishSettings(CLI::App &command, publish_settings &s)
{
    addStoreSettings(command, s.store);
    if (const char *user = std::getenv("USER"))
        s.author = user;
    if (s.author.empty())
        s.author = "unknown";
    addSetting(command, "--author", s.author, "Name that the history shows");
    addSwitch(command, "--dry-run", s.isDryRun, "Show the difference and publish nothing");
    addSwitch(command, "--wait", s.shouldWait, "Wait until the entry hosts have it in force");
    addEndpoints(command, "--entry", s.entries, "Entry hosts that --wait asks, as IP:PORT");
    addSetting(command, "--publication", s.publication,
               "Identifier of an earlier run whose outcome is unknown");
    addSetting(command, "--base", s.base, "Revision that the earlier run was based on");
}

} // namespace

void addConfigCommands(CLI::App &app, exit_status &status)
{
    const auto files = std::make_shared<std::vector<std::string>>();
    CLI::App *command = app.add_subcommand("check", "Check workload files without publishing them");
    command->add_option("files", *files, "Workload files, or folders of *.toml files")->required();
    command->callback([files, &status] { status = runCheck(*files); });

    const auto publish = std::make_shared<publish_settings>();
    command = app.add_subcommand("publish",
                                 "Publish workload files as the whole configuration in force");
    command->add_option("files", publish->files, "Workload files, or folders of *.toml files")
        ->required();
    addPublishSettings(*command, *publish);
    command->callback([publish, &status] { status = runPublish(*publish); });

    const auto history = std::make_shared<history_settings>();
    command = app.add_subcommand("history", "List published revisions, the latest first");
    addStoreSettings(*command, history->store);
    addSetting(*command, "--count", history->count, "Most revisions to list")
        ->check(CLI::Range(1, int(configHistoryLength)));
    command->callback([history, &status] { status = runHistory(*history); });

    const auto rollback = std::make_shared<publish_settings>();
    command = app.add_subcommand("rollback", "Publish the files of an earlier revision again");
    command->add_option("revision", rollback->rollbackTo, "Revision to return to")
        ->required()
        ->check(CLI::Range(std::int64_t(1), std::int64_t(1) << 53));
    addPublishSettings(*command, *rollback);
    command->callback([rollback, &status] { status = runPublish(*rollback); });
}

} // namespace crocuswind
