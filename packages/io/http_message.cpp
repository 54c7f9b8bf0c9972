#include "http_message.h"

namespace crocuswind {

std::string_view headerValue(const http_headers &headers, std::string_view lowerCaseName)
{
    for (const http_header &h : headers) {
        if (h.name == lowerCaseName)
            return h.value;
    }
    return {};
}

} // namespace crocuswind
