/// Defines how a component writes log lines to standard error.
#ifndef CROCUSWIND_IO_LOGGER_H
#define CROCUSWIND_IO_LOGGER_H

#include <fmt/format.h>
#include <functional>
#include <string>
#include <string_view>

namespace crocuswind {

/// How important a line is; lines below the process's level are not written. Lines of single
/// requests, tasks and orders are `detail`, those of what the process believes of the world `info`.
enum class log_level { debug, detail, info, warning, error };

/// Sets the lowest level that is written, for the whole process. The default is `detail`.
void setLogLevel(log_level lowest);

/// Sends lines to \p sink instead of standard error; an empty function restores standard error.
/// \p hasRoom is asked before a line is formatted; a line that it refuses is not written.
void setLogSink(std::function<void(log_level level, std::string_view line)> sink,
                std::function<bool(log_level level)> hasRoom = {});

/// Writes the lines of one component as `<level> <component>: <text>`. Control characters in the
/// text are written as `?`, so that one call is one line.
class logger
{
public:
    explicit logger(std::string component);

    /// Returns true if a line of the level would be written now. A caller that gets no for an
    /// answer leaves its line out, which then counts as refused.
    bool shouldLog(log_level level) const;

    template <class... values>
    void debug(fmt::format_string<values...> format, values &&...v) const
    {
        write(log_level::debug, format, fmt::make_format_args(v...));
    }
    template <class... values>
    void detail(fmt::format_string<values...> format, values &&...v) const
    {
        write(log_level::detail, format, fmt::make_format_args(v...));
    }
    template <class... values>
    void info(fmt::format_string<values...> format, values &&...v) const
    {
        write(log_level::info, format, fmt::make_format_args(v...));
    }
    template <class... values>
    void warning(fmt::format_string<values...> format, values &&...v) const
    {
        write(log_level::warning, format, fmt::make_format_args(v...));
    }
    template <class... values>
    void error(fmt::format_string<values...> format, values &&...v) const
    {
        write(log_level::error, format, fmt::make_format_args(v...));
    }

private:
    void write(log_level level, fmt::string_view format, fmt::format_args values) const;

    std::string m_component;
};

} // namespace crocuswind

#endif
