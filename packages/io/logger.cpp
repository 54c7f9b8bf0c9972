#include "logger.h"

#include <cstdio>
#include <utility>

namespace crocuswind {

namespace {

struct log_output
{
    log_level lowest = log_level::detail;
    std::function<void(log_level, std::string_view)> sink;
    std::function<bool(log_level)> hasRoom;
};

log_output &output()
{
    static log_output instance;
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
    output().lowest = lowest;
}

void setLogSink(std::function<void(log_level level, std::string_view line)> sink,
                std::function<bool(log_level level)> hasRoom)
{
    output().sink = std::move(sink);
    output().hasRoom = std::move(hasRoom);
}

logger::logger(std::string component)
    : m_component(std::move(component))
{ }

bool logger::shouldLog(log_level level) const
{
    if (level < output().lowest)
        return false;
    return !output().hasRoom || output().hasRoom(level);
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
    if (output().sink) {
        output().sink(level, line);
        return;
    }
    // One call for each line, so that lines of several processes with one standard error stay
    // whole.
    line += '\n';
    std::fwrite(line.data(), 1, line.size(), stderr);
}

} // namespace crocuswind
