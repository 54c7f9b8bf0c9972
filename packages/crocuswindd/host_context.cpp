#include "host_context.h"

#include "protocol/caller_bodies.h"

namespace crocuswind {

void writeSpan(const host_context &context, const std::string &name, const trace_context &trace,
               std::uint64_t parentSpan, instant start, instant end,
               const span_attributes &attributes)
{
    finished_span span;
    span.context = trace;
    span.parentSpan = parentSpan;
    span.name = name;
    span.startUnixMicroseconds = context.loop.unixMicroseconds(start);
    span.endUnixMicroseconds = context.loop.unixMicroseconds(end);
    span.attributes = attributes;
    context.spans.write(span);
}

http_response errorResponse(int status, const std::string &message, const findings &problems)
{
    http_response response;
    response.status = status;
    response.body = toBody(caller_error{message, problems});
    return response;
}

std::optional<std::vector<std::string>> pathParts(const std::string &path,
                                                  const std::string &prefix)
{
    if (path.compare(0, prefix.size(), prefix) != 0)
        return std::nullopt;
    std::vector<std::string> parts;
    std::size_t begin = prefix.size();
    if (begin < path.size() && path[begin] != '/')
        return std::nullopt;
    while (begin < path.size()) {
        const std::size_t end = std::min(path.find('/', begin + 1), path.size());
        parts.push_back(path.substr(begin + 1, end - begin - 1));
        begin = end;
    }
    return parts;
}

std::string queryValue(const std::string &query, const std::string &field)
{
    std::size_t begin = 0;
    while (begin < query.size()) {
        const std::size_t end = std::min(query.find('&', begin), query.size());
        const std::string item = query.substr(begin, end - begin);
        if (item.compare(0, field.size() + 1, field + "=") == 0)
            return item.substr(field.size() + 1);
        begin = end + 1;
    }
    return std::string();
}

} // namespace crocuswind
