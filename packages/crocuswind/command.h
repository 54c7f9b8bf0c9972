/// Defines what all commands share: exit statuses, errors, settings that can be given as a flag or
/// an environment variable, and reading of files.
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
    usage = 2, ///< An invalid flag or file; nothing was sent.
    refused = 3, ///< Definitely not run, not accepted or not published.
    unknown = 4, ///< The outcome is not known.
};

/// Aborts a command. main() prints the message and exits with the status.
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

/// Returns the environment variable of a flag, for example CROCUSWIND_TIME_LEFT_MS for
/// `--time-left-ms`.
std::string variableOf(const std::string &flag);

/// Adds a setting as a flag and as an environment variable; the flag overrides the variable. The
/// initial value of \p value is the default.
template <class value_type>
CLI::Option *addSetting(CLI::App &app, const std::string &flag, value_type &value,
                        const std::string &description)
{
    return app.add_option(flag, value, description)
        ->envname(variableOf(flag))
        ->capture_default_str();
}

/// Adds a boolean setting that is true if the flag is given.
CLI::Option *addSwitch(CLI::App &app, const std::string &flag, bool &value,
                       const std::string &description);

/// Adds a setting of one or more addresses, separated by commas. Each must be a numeric IP:PORT.
CLI::Option *addEndpoints(CLI::App &app, const std::string &flag,
                          std::vector<std::string> &addresses, const std::string &description);

/// Parses addresses that addEndpoints() has validated.
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
