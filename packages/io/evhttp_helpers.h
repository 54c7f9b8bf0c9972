/// Converts between evhttp's types and the types of this package, and configures the connections of
/// the client; private to the package.
#ifndef CROCUSWIND_IO_EVHTTP_HELPERS_H
#define CROCUSWIND_IO_EVHTTP_HELPERS_H

#include "endpoint.h"
#include "http_client.h"
#include "http_message.h"

#include <event2/http.h>
#include <string>
#include <string_view>

struct evbuffer;
struct evkeyvalq;

namespace crocuswind {

/// Returns \p text with ASCII letters in lower case.
std::string lowerCase(std::string_view text);

/// Copies header fields, with their names in lower case.
http_headers copyHeaders(const evkeyvalq *source);

/// Removes all bytes from a buffer and returns them.
std::string drainBuffer(evbuffer *buffer);

/// Returns evhttp's constant for a method; GET for an unknown method.
evhttp_cmd_type toEvhttpMethod(std::string_view method);

/// Returns the method's name, or an empty text for one that the server does not accept.
const char *methodName(evhttp_cmd_type method);

/// Returns whether a response is complete: its body has the announced content length, or its last
/// chunk arrived. A response that is delimited by the end of the connection may be truncated, so it
/// does not count as complete.
bool isComplete(const http_result &result, std::string_view method);

/// Returns whether the address is a numeric IP address and the port is not 0.
bool isNumericEndpoint(const ip_endpoint &endpoint);

/// Creates a connection, which connects when its first request is sent. Returns null if the
/// connection cannot be created.
evhttp_connection *newClientConnection(event_loop &loop, const http_client_settings &settings,
                                       const ip_endpoint &to);

/// Sets the TCP options of a connected socket; a stream also gets TCP keep-alive.
void configureSocket(evhttp_connection *evhttpConnection, bool isStream);

/// Returns whether an idle connection can be used for another request. If the server has closed the
/// connection, the request would end as `no_answer` although the server never received it. Unread
/// bytes on the connection would be mistaken for the response to that request.
bool isReusable(evhttp_connection *evhttpConnection);

/// Sets the header fields and the body of a request.
void fillRequest(evhttp_request *request, const http_call &call);

} // namespace crocuswind

#endif
