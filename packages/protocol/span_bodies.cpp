#include "span_bodies.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace crocuswind {

namespace {

using json = nlohmann::json;

constexpr int spanKindInternal = 1;
constexpr int statusCodeError = 2;

json attributeJson(const std::string &key, const std::string &value)
{
    return {{"key", key}, {"value", {{"stringValue", value}}}};
}

json attributesJson(const span_attributes &attributes)
{
    json list = json::array();
    for (const auto &[key, value] : attributes)
        list.push_back(attributeJson(key, value));
    return list;
}

} // namespace

std::string toOtlpLine(const span_resource &resource, const finished_span &span)
{
    json resourceAttributes = attributesJson(resource.attributes);
    resourceAttributes.push_back(attributeJson("service.name", resource.service));
    resourceAttributes.push_back(attributeJson("service.instance.id", resource.instance));

    json body = {
        {"traceId", fmt::format("{:016x}{:016x}", span.context.traceHigh, span.context.traceLow)},
        {"spanId", fmt::format("{:016x}", span.context.span)},
        {"name", span.name},
        {"kind", spanKindInternal},
        {"startTimeUnixNano", fmt::format("{}000", span.startUnixMicroseconds)},
        {"endTimeUnixNano", fmt::format("{}000", span.endUnixMicroseconds)},
        {"attributes", attributesJson(span.attributes)}};
    if (span.parentSpan != 0)
        body["parentSpanId"] = fmt::format("{:016x}", span.parentSpan);
    if (span.isError)
        body["status"] = {{"code", statusCodeError}};

    json scopeSpans;
    scopeSpans["scope"]["name"] = "crocuswind";
    scopeSpans["spans"] = json::array({std::move(body)});
    json resourceSpans;
    resourceSpans["resource"]["attributes"] = std::move(resourceAttributes);
    resourceSpans["scopeSpans"] = json::array({std::move(scopeSpans)});
    json request;
    request["resourceSpans"] = json::array({std::move(resourceSpans)});
    return request.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace crocuswind
