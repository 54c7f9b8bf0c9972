/// Defines the logger with which a component writes log lines to standard error or to a sink.
#ifndef CROCUSWIND_IO_LOGGER_H
#define CROCUSWIND_IO_LOGGER_H

#include <fmt/format.h>
#include <functional>
#include <string>
#include <string_view>

namespace crocuswind {

/// The severity of a line; lines below the process's level are not written. Lines on a single
/// request, task or command are `detail`; lines on what the process knows of the cluster are
/// `info`.
enum class log_level { debug, detail, info, warning, error };

/// Sets the lowest level that is written, for the whole process. The default is `detail`.
void setLogLevel(log_level lowest);

/// Sends lines to \p sink instead of standard error; an empty function restores standard error.
/// \p isAdmitted is called before a line is formatted; if it returns false, the line is not
/// written.
void setLogSink(std::function<void(log_level level, std::string_view line)> sink,
                std::function<bool(log_level level)> isAdmitted = {});

/// Writes the lines of one component as `<level> <component>: <text>`. Control characters in the
/// text are written as `?`, so that one call is one line.
class logger
{
public:
    explicit logger(std::string component);

    /// Returns whether a line of the level would be written now. If the result is false, the line
    /// has been counted as dropped (unless its level is disabled), so the caller must not log it.
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
