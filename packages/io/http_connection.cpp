#include "http_connection.h"

#include "evhttp_helpers.h"
#include "libevent_time.h"
#include "socket_throughput.h"

#include <cerrno>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace crocuswind {

namespace {

// Added to evhttp's own timeout, so that the client's timers always fire first.
constexpr duration timeoutMargin = 5s;

// Buffer space for chunk sizes and the header, in addition to the body of an answer or one object
// of a stream.
constexpr std::size_t bufferMargin = 64 * 1024;

void onOutput(evbuffer *, const evbuffer_cb_info *info, void *argument)
{
    auto *c = static_cast<http_connection *>(argument);
    if (info->n_added == 0 || c->currentCall == nullptr)
        return;
    if (!c->isConfigured) {
        c->isConfigured = true;
        configureSocket(c->evhttpConnection, c->ownerPool == nullptr);
    }
    c->currentCall->bytesSent = true;
}

// evhttp bounds the header and the body of an answer, but not what it cannot parse yet, such as a
// chunk size without an end. The end of the connection ends the call. A read watermark would not
// do: libevent calls evhttp again and again while the input stays at the watermark.
void onInput(evbuffer *input, const evbuffer_cb_info *info, void *argument)
{
    auto *c = static_cast<http_connection *>(argument);
    if (c->currentCall == nullptr)
        return;
    c->currentCall->receivedBytes += info->n_added;
    const std::size_t maxUnread = c->currentCall->call.maxAnswerBytes + bufferMargin;
    if (c->ownerPool != nullptr && evbuffer_get_length(input) > maxUnread)
        shutdown(bufferevent_getfd(c->socket()), SHUT_RDWR);
}

// evhttp installs its own callbacks again once the socket is connected.
void onConnect(bufferevent *socket, short what, void *argument)
{
    auto *c = static_cast<http_connection *>(argument);
    if ((what & BEV_EVENT_ERROR) != 0 && errno == ECONNREFUSED)
        c->isRefused = true;
    c->connectCallback(socket, what, c->evhttpConnection);
}

int onHeader(evhttp_request *, void *argument)
{
    auto *c = static_cast<http_connection *>(argument);
    if (c->currentCall != nullptr)
        c->currentCall->headerArrived = true;
    return 0;
}

void onChunk(evhttp_request *request, void *argument)
{
    auto *c = static_cast<http_connection *>(argument);
    if (c->currentCall != nullptr)
        c->events.onStreamBytes(*c, request);
}

void onClosed(evhttp_connection *, void *argument)
{
    auto *c = static_cast<http_connection *>(argument);
    if (!c->isDisposed && c->currentCall == nullptr)
        c->events.onIdleClosed(*c);
}

void onDone(evhttp_request *request, void *argument)
{
    auto *c = static_cast<http_connection *>(argument);
    if (c->currentCall != nullptr)
        c->events.onResponse(*c, request);
}

} // namespace

std::unique_ptr<http_connection> http_connection::create(event_loop &loop,
                                                         const http_client_settings &settings,
                                                         const ip_endpoint &to,
                                                         http_connection_pool *ownerPool,
                                                         http_connection_events &events)
{
    evhttp_connection *evhttp = newClientConnection(loop, settings, to);
    if (evhttp == nullptr)
        return nullptr;
    auto created = std::make_unique<http_connection>(evhttp, to, ownerPool, events);
    // A stream is read only as fast as its receiver processes the data.
    if (ownerPool != nullptr && !settings.tls)
        enableLargeReads(created->socket());
    return created;
}

http_connection::http_connection(evhttp_connection *evhttp, const ip_endpoint &endpoint,
                                 http_connection_pool *pool, http_connection_events &e)
    : events(e)
    , ownerPool(pool)
    , evhttpConnection(evhttp)
    , to(endpoint)
{
    evhttp_connection_set_closecb(evhttpConnection, onClosed, this);
    evbuffer_add_cb(bufferevent_get_output(socket()), onOutput, this);
    evbuffer_add_cb(bufferevent_get_input(socket()), onInput, this);
    enableLargeWrites(socket());
}

http_connection::~http_connection()
{
    isDisposed = true;
    evhttp_connection_free(evhttpConnection);
}

bool http_connection::sendCurrentCall(instant now)
{
    const http_call &call = currentCall->call;
    const bool isStream = bool(currentCall->onData);
    const duration silence
        = (isStream ? currentCall->receiveTimeout : call.deadline - now) + timeoutMargin;
    const timeval limit = toTimeval(silence);
    evhttp_connection_set_timeout_tv(evhttpConnection, &limit);
    // A stream has no maximum body size; its unread data is bounded by the read watermark.
    evhttp_connection_set_max_body_size(evhttpConnection,
                                        isStream ? -1 : ev_ssize_t(call.maxAnswerBytes));
    if (isStream)
        bufferevent_setwatermark(socket(), EV_READ, 0, call.maxAnswerBytes + bufferMargin);

    evhttp_request *request = evhttp_request_new(onDone, this);
    evhttp_request_set_header_cb(request, onHeader);
    if (isStream)
        evhttp_request_set_chunked_cb(request, onChunk);
    fillRequest(request, call);

    errno = 0;
    const int failed = evhttp_make_request(evhttpConnection, request, toEvhttpMethod(call.method),
                                           call.path.c_str());
    isRefused = errno == ECONNREFUSED;
    return failed == 0;
}

void http_connection::watchConnect()
{
    bufferevent_getcb(socket(), nullptr, nullptr, &connectCallback, nullptr);
    bufferevent_setcb(socket(), nullptr, nullptr, onConnect, this);
}

bool http_connection::hasUnreadAnswer(http_call_state &state) const
{
    if (!state.bytesSent)
        return false;
    int unread = 0;
    const int descriptor = bufferevent_getfd(socket());
    if (descriptor < 0 || ioctl(descriptor, FIONREAD, &unread) != 0 || unread <= 0)
        return false;
    if (!state.bytesInTime)
        state.bytesInTime = state.receivedBytes + std::size_t(unread);
    return state.receivedBytes < *state.bytesInTime;
}

void http_connection::shutDown()
{
    isDisposed = true;
    // If the connection is established before it is freed, it must not send its request: the
    // call has already been reported as not connected.
    if (!isConfigured)
        bufferevent_setcb(socket(), nullptr, nullptr, nullptr, nullptr);
    // The server must see the end of this connection before a new connection replaces it.
    shutdown(bufferevent_getfd(socket()), SHUT_RDWR);
}

bufferevent *http_connection::socket() const
{
    return evhttp_connection_get_bufferevent(evhttpConnection);
}

} // namespace crocuswind
