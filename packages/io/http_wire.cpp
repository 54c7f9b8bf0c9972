#include "http_wire.h"

#include <charconv>
#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>

namespace crocuswind {

std::string lowerCase(std::string_view text)
{
    std::string lower(text);
    for (char &c : lower) {
        if (c >= 'A' && c <= 'Z')
            c = char(c - 'A' + 'a');
    }
    return lower;
}

http_headers copyHeaders(const evkeyvalq *source)
{
    http_headers headers;
    for (const evkeyval *h = source->tqh_first; h != nullptr; h = h->next.tqe_next)
        headers.push_back({lowerCase(h->key), h->value});
    return headers;
}

std::string takeBuffer(evbuffer *buffer)
{
    std::string bytes(evbuffer_get_length(buffer), '\0');
    evbuffer_remove(buffer, bytes.data(), bytes.size());
    return bytes;
}

evhttp_cmd_type commandOf(std::string_view method)
{
    if (method == "POST")
        return EVHTTP_REQ_POST;
    if (method == "PUT")
        return EVHTTP_REQ_PUT;
    if (method == "DELETE")
        return EVHTTP_REQ_DELETE;
    if (method == "HEAD")
        return EVHTTP_REQ_HEAD;
    return EVHTTP_REQ_GET;
}

const char *methodName(evhttp_cmd_type method)
{
    switch (method) {
    case EVHTTP_REQ_GET:
        return "GET";
    case EVHTTP_REQ_POST:
        return "POST";
    case EVHTTP_REQ_PUT:
        return "PUT";
    case EVHTTP_REQ_DELETE:
        return "DELETE";
    default:
        return "";
    }
}

bool isWhole(const http_result &result, std::string_view method)
{
    if (method == "HEAD" || result.status == 204 || result.status == 304)
        return true;
    if (lowerCase(headerValue(result.headers, "transfer-encoding")) == "chunked")
        return true; // evhttp reports the answer only after the last chunk.
    const std::string_view text = headerValue(result.headers, "content-length");
    std::size_t length = 0;
    const auto [stop, error] = std::from_chars(text.data(), text.data() + text.size(), length);
    return error == std::errc() && stop == text.data() + text.size() && !text.empty()
        && length == result.body.size();
}

bool isNumericEndpoint(const ip_endpoint &endpoint)
{
    return endpoint.port != 0 && parseEndpoint(toString(endpoint)).has_value();
}

} // namespace crocuswind
