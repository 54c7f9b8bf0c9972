/// Defines the trace context that every hop propagates, following the W3C recommendation "Trace
/// Context".
#ifndef CROCUSWIND_BASE_TRACE_CONTEXT_H
#define CROCUSWIND_BASE_TRACE_CONTEXT_H

#include "random_source.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace crocuswind {

/// Identifies a trace and the span within it that is the parent of the next hop.
struct trace_context
{
    std::uint64_t traceHigh = 0;
    std::uint64_t traceLow = 0;
    std::uint64_t span = 0;

    friend bool operator==(const trace_context &a, const trace_context &b)
    {
        return a.traceHigh == b.traceHigh && a.traceLow == b.traceLow && a.span == b.span;
    }
};

/// Parses a `traceparent` header of version 00. Returns nothing for any other format or for
/// identifiers that are zero; the recommendation then requires a new trace.
std::optional<trace_context> parseTraceparent(std::string_view header);

/// Formats a `traceparent` header of version 00 with the sampled flag set.
std::string toTraceparent(const trace_context &context);

/// Starts a new trace.
trace_context startTrace(random_source &random);

/// Returns a context in the same trace with a new span identifier.
trace_context childSpan(const trace_context &parent, random_source &random);

} // namespace crocuswind

#endif
