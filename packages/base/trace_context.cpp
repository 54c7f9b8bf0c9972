#include "trace_context.h"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>

namespace crocuswind {

namespace {

std::optional<std::uint64_t> parseHex(std::string_view text)
{
    const auto isLowerHex = [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); };
    if (!std::all_of(text.begin(), text.end(), isLowerHex))
        return std::nullopt;
    std::uint64_t number = 0;
    auto [stop, error] = std::from_chars(text.data(), text.data() + text.size(), number, 16);
    if (error != std::errc() || stop != text.data() + text.size())
        return std::nullopt;
    return number;
}

} // namespace

std::optional<trace_context> parseTraceparent(std::string_view header)
{
    // 00-<32 hex digits>-<16 hex digits>-<2 hex digits>
    constexpr std::size_t headerLength = 55;
    if (header.size() != headerLength || header.substr(0, 3) != "00-" || header[35] != '-'
        || header[52] != '-')
        return std::nullopt;
    const auto high = parseHex(header.substr(3, 16));
    const auto low = parseHex(header.substr(19, 16));
    const auto span = parseHex(header.substr(36, 16));
    if (!high || !low || !span || !parseHex(header.substr(53, 2)))
        return std::nullopt;
    if ((*high == 0 && *low == 0) || *span == 0)
        return std::nullopt;
    return trace_context{*high, *low, *span};
}

std::string toTraceparent(const trace_context &context)
{
    return fmt::format("00-{:016x}{:016x}-{:016x}-01", context.traceHigh, context.traceLow,
                       context.span);
}

trace_context startTrace(random_source &random)
{
    return trace_context{random.next() | 1, random.next(), random.next() | 1};
}

trace_context childSpan(const trace_context &parent, random_source &random)
{
    return trace_context{parent.traceHigh, parent.traceLow, random.next() | 1};
}

} // namespace crocuswind
