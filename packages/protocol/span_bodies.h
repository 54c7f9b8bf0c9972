/// Defines finished spans and formats them as OTLP/JSON.
#ifndef CROCUSWIND_PROTOCOL_SPAN_BODIES_H
#define CROCUSWIND_PROTOCOL_SPAN_BODIES_H

#include "base/base.h"

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace crocuswind {

/// Attributes of a span or resource as pairs of key and text value.
using span_attributes = std::vector<std::pair<std::string, std::string>>;

/// The process that produced the spans.
struct span_resource
{
    std::string service = "crocuswindd";
    std::string instance; ///< Name of the host.
    span_attributes attributes;
};

/// One completed span of a trace.
struct finished_span
{
    trace_context context; ///< Trace identifier and span identifier.
    std::uint64_t parentSpan = 0; ///< Identifier of the parent span, 0 for a root span.
    std::string name;
    std::int64_t startUnixMicroseconds = 0;
    std::int64_t endUnixMicroseconds = 0;
    bool isError = false;
    span_attributes attributes;
};

/// Formats a span as one line of OTLP/JSON (an ExportTraceServiceRequest) without a line feed.
/// Replaces bytes that are not UTF-8 by U+FFFD.
std::string toOtlpLine(const span_resource &resource, const finished_span &span);

} // namespace crocuswind

#endif
