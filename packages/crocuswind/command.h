/// Defines what all commands of the command line share: exit statuses, errors, settings that are
/// flags and environment variables at once, and reading of files.
#ifndef CROCUSWIND_CROCUSWIND_COMMAND_H
#define CROCUSWIND_CROCUSWIND_COMMAND_H

#include "io/io.h"

#include <CLI/CLI.hpp>
#include <cstdint>
#include <fmt/format.h>
#include <stdexcept>
#include <string>
#include <vector>

namespace crocuswind {

/// The exit statuses of the program; docs/command-line.md documents them.
enum class exit_status {
    done = 0,
    failed = 1, ///< Nothing was done, or the work failed.
    usage = 2, ///< A wrong flag or file; nothing was sent.
    refused = 3, ///< Surely not run, not accepted or not published.
    unknown = 4, ///< The outcome is not known.
};

/// Ends a command with an error that is printed as one line.
class command_error : public std::runtime_error
{
public:
    command_error(exit_status status, const std::string &message)
        : std::runtime_error(message)
        , m_status(status)
    { }

    exit_status status() const { return m_status; }

private:
    exit_status m_status;
};

/// Returns the environment variable of a flag: `--time-left-ms` is CROCUSWIND_TIME_LEFT_MS.
std::string variableOf(const std::string &flag);

/// Adds a setting as a flag and as its environment variable; the flag goes first. The initial value
/// of \p value is the default.
template <class value_type>
CLI::Option *addSetting(CLI::App &app, const std::string &flag, value_type &value,
                        const std::string &description)
{
    return app.add_option(flag, value, description)
        ->envname(variableOf(flag))
        ->capture_default_str();
}

/// Adds a setting that is true if it is given.
CLI::Option *addSwitch(CLI::App &app, const std::string &flag, bool &value,
                       const std::string &description);

/// Adds a setting that is one or more addresses, separated by commas.
CLI::Option *addEndpoints(CLI::App &app, const std::string &flag,
                          std::vector<std::string> &addresses, const std::string &description);

/// Parses addresses that addEndpoints() has checked.
std::vector<ip_endpoint> endpointsOf(const std::vector<std::string> &addresses);

/// Reads a whole file of at most \p maxBytes, or standard input for `-`. Throws a command_error of
/// status `usage` that names the file and the reason.
std::string readFile(const std::string &path, std::size_t maxBytes);

/// Prints a line to standard output.
template <class... values>
void printLine(fmt::format_string<values...> format, values &&...v)
{
    fmt::print("{}\n", fmt::format(format, std::forward<values>(v)...));
}

/// Returns 16 random bytes as hexadecimal text.
std::string randomIdentifier();

} // namespace crocuswind

#endif
