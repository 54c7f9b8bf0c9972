#include "peer_link.h"

#include "socket_address.h"
#include "socket_throughput.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/bufferevent_ssl.h>
#include <event2/event.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <utility>

namespace crocuswind {

namespace {

// Time allowed for sending the remaining bytes, such as a close frame, after the session has
// finished.
constexpr duration lingerTimeout = 1s;

constexpr std::size_t readSize = 16 * 1024;

} // namespace

peer_link::peer_link(event_loop &loop, const peer_links_settings &settings,
                     websocket_factory &factory, peer_link_callbacks callbacks)
    : m_loop(loop)
    , m_settings(settings)
    , m_factory(factory)
    , m_callbacks(std::move(callbacks))
{ }

peer_link::~peer_link()
{
    close();
    if (m_session)
        m_session->terminate();
}

void peer_link::accept(int socket)
{
    m_session = m_factory.newServerSession(sessionCallbacks());
    if (m_settings.tls) {
        useSocket(bufferevent_openssl_socket_new(m_loop.base(), socket,
                                                 m_settings.tls->newServerSession(),
                                                 BUFFEREVENT_SSL_ACCEPTING, BEV_OPT_CLOSE_ON_FREE));
        return;
    }
    useSocket(bufferevent_socket_new(m_loop.base(), socket, BEV_OPT_CLOSE_ON_FREE));
    beginHandshake();
}

bool peer_link::dial(const ip_endpoint &to)
{
    m_isDialled = true;
    const auto address = toSocketAddress(to);
    m_session = m_factory.newClientSession(to, m_settings.tls != nullptr, sessionCallbacks());
    if (!address || !m_session)
        return false;
    useSocket(m_settings.tls ? bufferevent_openssl_socket_new(
                  m_loop.base(), -1, m_settings.tls->newClientSession(to.address),
                  BUFFEREVENT_SSL_CONNECTING, BEV_OPT_CLOSE_ON_FREE)
                             : bufferevent_socket_new(m_loop.base(), -1, BEV_OPT_CLOSE_ON_FREE));
    if (bufferevent_socket_connect(m_socket, address->pointer(), int(address->length)) == 0)
        return true;
    close();
    return false;
}

void peer_link::useSocket(bufferevent *socket)
{
    CROCUSWIND_INVARIANT(socket != nullptr, "cannot create a bufferevent");
    m_socket = socket;
    m_lastReceived = m_loop.now();
    enableLargeWrites(socket);
    if (m_settings.tls)
        bufferevent_openssl_set_allow_dirty_shutdown(socket, 1);
    else
        enableLargeReads(socket);
    bufferevent_setcb(socket, &peer_link::onRead, &peer_link::onWritten, &peer_link::onEvent, this);
    bufferevent_enable(socket, EV_READ | EV_WRITE);
    closeAfter(m_settings.handshakeTimeout);
}

websocket_callbacks peer_link::sessionCallbacks()
{
    websocket_callbacks callbacks;
    callbacks.write = [this](std::string_view bytes) { write(bytes); };
    callbacks.opened = [this] {
        m_peerIncarnation = m_session->peerIncarnation();
        m_callbacks.opened();
    };
    callbacks.message = [this](std::string_view frame) {
        if (m_socket != nullptr && !m_isLingering)
            m_callbacks.frame(frame);
    };
    return callbacks;
}

void peer_link::beginHandshake()
{
    const int on = 1;
    setsockopt(bufferevent_getfd(m_socket), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    m_session->start();
}

void peer_link::completeHandshake()
{
    m_loop.cancel(std::exchange(m_closeTimer, 0));
    schedulePing();
}

bool peer_link::send(std::string_view frame)
{
    return m_socket != nullptr && !m_isLingering && m_session->send(frame);
}

void peer_link::closeAfter(duration delay)
{
    m_loop.cancel(m_closeTimer);
    m_closeTimer = m_loop.callAt(m_loop.now() + delay, [this] { fail(); });
}

void peer_link::close()
{
    m_loop.cancel(std::exchange(m_closeTimer, 0));
    m_loop.cancel(std::exchange(m_pingTimer, 0));
    if (m_socket != nullptr)
        bufferevent_free(std::exchange(m_socket, nullptr));
}

std::size_t peer_link::queuedBytes() const
{
    return m_socket == nullptr ? 0 : evbuffer_get_length(bufferevent_get_output(m_socket));
}

void peer_link::fail()
{
    if (m_socket == nullptr)
        return;
    close();
    m_callbacks.closed();
}

void peer_link::write(std::string_view bytes)
{
    if (m_socket == nullptr)
        return;
    // The owner bounds the frames that it sends; this check bounds the pongs caused by a flood of
    // pings. This function is called from within the session, so the link is closed in the next
    // round.
    if (queuedBytes() > m_settings.maxQueuedBytes + m_settings.maxFrameBytes)
        closeAfter(duration::zero());
    else
        evbuffer_add(bufferevent_get_output(m_socket), bytes.data(), bytes.size());
}

void peer_link::onRead(bufferevent *, void *self)
{
    static_cast<peer_link *>(self)->read();
}

void peer_link::onWritten(bufferevent *, void *self)
{
    auto *link = static_cast<peer_link *>(self);
    if (link->m_isLingering)
        link->fail();
}

void peer_link::onEvent(bufferevent *, short what, void *self)
{
    auto *link = static_cast<peer_link *>(self);
    if ((what & BEV_EVENT_CONNECTED) != 0)
        link->beginHandshake();
    else
        link->fail();
}

void peer_link::read()
{
    m_lastReceived = m_loop.now();
    char bytes[readSize];
    while (m_socket != nullptr) {
        const std::size_t count = bufferevent_read(m_socket, bytes, sizeof(bytes));
        if (count == 0)
            return;
        if (m_isLingering)
            continue; // Bytes after the end of the session are discarded.
        m_session->receive({bytes, count});
        if (m_socket != nullptr && m_session->isFinished())
            linger();
    }
}

void peer_link::linger()
{
    m_isLingering = true;
    closeAfter(queuedBytes() == 0 ? duration::zero() : lingerTimeout);
}

void peer_link::schedulePing()
{
    m_pingTimer = m_loop.callAt(m_loop.now() + m_settings.pingInterval, [this] {
        if (m_loop.now() - m_lastReceived > m_settings.receiveTimeout) {
            fail();
            return;
        }
        schedulePing();
        if (queuedBytes() == 0 && !m_isLingering)
            m_session->ping();
    });
}

} // namespace crocuswind
