/// Defines finished spans and how they are written as OTLP/JSON.
#ifndef CROCUSWIND_PROTOCOL_SPAN_BODIES_H
#define CROCUSWIND_PROTOCOL_SPAN_BODIES_H

#include "base/base.h"

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace crocuswind {

/// Attributes of a span or resource, all of them text.
using span_attributes = std::vector<std::pair<std::string, std::string>>;

/// What wrote the spans.
struct span_resource
{
    std::string service = "crocuswindd";
    std::string instance; ///< Name of the host.
    span_attributes attributes;
};

/// One hop of a trace, after it has ended.
struct finished_span
{
    trace_context context; ///< Trace and identifier of this span.
    std::uint64_t parentSpan = 0; ///< 0 for the first span of a trace.
    std::string name;
    std::int64_t startUnixMicroseconds = 0;
    std::int64_t endUnixMicroseconds = 0;
    bool isError = false;
    span_attributes attributes;
};

/// Writes one span as one line of OTLP/JSON (an ExportTraceServiceRequest), without a line feed.
/// Text that is not UTF-8 has the bytes at fault replaced.
std::string toOtlpLine(const span_resource &resource, const finished_span &span);

} // namespace crocuswind

#endif
