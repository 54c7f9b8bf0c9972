#include "logger.h"

#include <cstdio>
#include <utility>

namespace crocuswind {

namespace {

struct log_state
{
    log_level lowest = log_level::detail;
    std::function<void(log_level, std::string_view)> sink;
    std::function<bool(log_level)> isAdmitted;
};

log_state &logState()
{
    static log_state instance;
    return instance;
}

const char *levelName(log_level level)
{
    switch (level) {
    case log_level::debug:
        return "debug";
    case log_level::detail:
        return "detail";
    case log_level::info:
        return "info";
    case log_level::warning:
        return "warning";
    case log_level::error:
        return "error";
    }
    return "?";
}

} // namespace

void setLogLevel(log_level lowest)
{
    logState().lowest = lowest;
}

void setLogSink(std::function<void(log_level level, std::string_view line)> sink,
                std::function<bool(log_level level)> isAdmitted)
{
    logState().sink = std::move(sink);
    logState().isAdmitted = std::move(isAdmitted);
}

logger::logger(std::string component)
    : m_component(std::move(component))
{ }

bool logger::shouldLog(log_level level) const
{
    if (level < logState().lowest)
        return false;
    return !logState().isAdmitted || logState().isAdmitted(level);
}

void logger::write(log_level level, fmt::string_view format, fmt::format_args values) const
{
    if (!shouldLog(level))
        return;
    std::string line = fmt::format("{} {}: ", levelName(level), m_component);
    line += fmt::vformat(format, values);
    for (char &c : line) {
        if (static_cast<unsigned char>(c) < 0x20 || c == 0x7f)
            c = '?';
    }
    if (logState().sink) {
        logState().sink(level, line);
        return;
    }
    // A single call for each line, so that lines of several processes that share standard error are
    // not interleaved.
    line += '\n';
    std::fwrite(line.data(), 1, line.size(), stderr);
}

} // namespace crocuswind
