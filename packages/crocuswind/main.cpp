// Entry point of the command-line program for operators and callers.

#include "config_commands.h"
#include "job_commands.h"
#include "load_command.h"
#include "request_commands.h"
#include "status_command.h"

using namespace crocuswind;

namespace {

/// Returns the flags of the parsed command, or those of \p app if no command was parsed.
std::vector<std::string> flagsOf(const CLI::App &app)
{
    const auto parsed = app.get_subcommands();
    std::vector<std::string> flags;
    for (const CLI::Option *option : (parsed.empty() ? &app : parsed.front())->get_options())
        flags.push_back("--" + option->get_single_name());
    return flags;
}

std::vector<std::string> commandsOf(const CLI::App &app)
{
    std::vector<std::string> names;
    for (const CLI::App *command : app.get_subcommands([](const CLI::App *) { return true; }))
        names.push_back(command->get_name());
    return names;
}

/// Returns the error message for an invalid command line. An unknown flag or command is reported in
/// preference to a missing argument, since the misspelt word may be the reason that it is missing.
std::string explain(const CLI::App &app, const CLI::ParseError &error)
{
    for (const std::string &word : app.remaining(true)) {
        const std::string name = word.substr(0, word.find('='));
        const bool isFlag = name.rfind("--", 0) == 0;
        if (!isFlag && !app.get_subcommands().empty())
            continue;
        const std::string nearest = nearestWord(name, isFlag ? flagsOf(app) : commandsOf(app));
        return fmt::format("unknown {} '{}'{}", isFlag ? "flag" : "command", name,
                           nearest.empty() ? std::string()
                                           : fmt::format("; did you mean '{}'?", nearest));
    }
    std::string text = error.what();
    // CLI11's message does not mention that an environment variable may replace a required flag.
    const std::string required = " is required";
    const std::size_t at = text.find(required);
    if (text.rfind("--", 0) == 0 && at != std::string::npos)
        text += fmt::format("; give it as a flag or in {}", variableOf(text.substr(0, at)));
    return text;
}

} // namespace

int main(int argc, char **argv)
{
    exit_status status = exit_status::done;
    CLI::App app("Sends requests and jobs to crocuswind, and publishes its configuration.",
                 "crocuswind");
    app.footer("Every flag --some-flag is also the environment variable CROCUSWIND_SOME_FLAG.\n"
               "Exit statuses: 0 done, 1 failed, 2 wrong usage, 3 refused or not run, 4 outcome "
               "unknown.");
    app.require_subcommand(1);
    addRequestCommands(app, status);
    addJobCommands(app, status);
    addConfigCommands(app, status);
    addStatusCommand(app, status);
    addLoadCommand(app, status);
    try {
        app.parse(argc, argv);
    } catch (const CLI::CallForHelp &help) {
        return app.exit(help);
    } catch (const CLI::CallForAllHelp &help) {
        return app.exit(help);
    } catch (const CLI::ParseError &error) {
        const auto parsed = app.get_subcommands();
        fmt::print(stderr, "crocuswind: {}\nSee 'crocuswind {}--help'.\n", explain(app, error),
                   parsed.empty() ? "" : parsed.front()->get_name() + " ");
        return int(exit_status::usage);
    } catch (const command_error &error) {
        std::fflush(stdout);
        std::string text = error.what();
        while (!text.empty() && text.back() == '\n')
            text.pop_back();
        fmt::print(stderr, "crocuswind: {}\n", text);
        return int(error.status());
    }
    return int(status);
}
