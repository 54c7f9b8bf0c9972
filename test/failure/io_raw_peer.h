/// Defines TCP peers that send exactly the bytes that a test specifies, to simulate peers that
/// violate the protocol.
#ifndef CROCUSWIND_TEST_IO_RAW_PEER_H
#define CROCUSWIND_TEST_IO_RAW_PEER_H

#include "io/io.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <functional>
#include <gtest/gtest.h>
#include <memory>
#include <netinet/in.h>
#include <string>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace crocuswind {

/// Bounds the time that a test waits; no test depends on the value.
constexpr duration testTimeout = 20s;

/// A raw TCP connection, accepted or dialled.
class raw_connection
{
public:
    raw_connection(event_loop &loop, evutil_socket_t socket)
        : m_socket(bufferevent_socket_new(loop.base(), socket, BEV_OPT_CLOSE_ON_FREE))
    {
        bufferevent_setcb(m_socket, onRead, nullptr, onEvent, this);
        bufferevent_enable(m_socket, EV_READ | EV_WRITE);
    }
    raw_connection(event_loop &loop, const ip_endpoint &to)
        : raw_connection(loop, -1)
    {
        sockaddr_storage address = {};
        int length = sizeof(address);
        evutil_parse_sockaddr_port(toString(to).c_str(), reinterpret_cast<sockaddr *>(&address),
                                   &length);
        bufferevent_socket_connect(m_socket, reinterpret_cast<sockaddr *>(&address), length);
    }
    ~raw_connection() { close(); }
    raw_connection(const raw_connection &) = delete;
    raw_connection &operator=(const raw_connection &) = delete;

    void send(std::string_view bytes) { bufferevent_write(m_socket, bytes.data(), bytes.size()); }
    void close()
    {
        if (m_socket != nullptr)
            bufferevent_free(m_socket);
        m_socket = nullptr;
        isClosed = true;
    }
    /// Closes the connection with a reset, so that its port is free again at once. Thousands of
    /// ports in TIME_WAIT would leave none for tests that run at the same time.
    void reset()
    {
        const linger immediate = {1, 0};
        if (m_socket != nullptr)
            setsockopt(bufferevent_getfd(m_socket), SOL_SOCKET, SO_LINGER, &immediate,
                       sizeof(immediate));
        close();
    }
    /// Closes the connection once all bytes have been written to the socket.
    void closeWhenSent()
    {
        bufferevent_setcb(
            m_socket, onRead,
            [](bufferevent *, void *self) { static_cast<raw_connection *>(self)->close(); },
            onEvent, this);
    }

    std::string received;
    bool isClosed = false;
    std::function<void(raw_connection &)> onBytes;

private:
    static void onRead(bufferevent *socket, void *self)
    {
        auto *c = static_cast<raw_connection *>(self);
        char bytes[4096];
        while (const std::size_t count = bufferevent_read(socket, bytes, sizeof(bytes)))
            c->received.append(bytes, count);
        // Copied because the function may replace itself.
        if (const auto handler = c->onBytes)
            handler(*c);
    }
    static void onEvent(bufferevent *, short what, void *self)
    {
        if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0)
            static_cast<raw_connection *>(self)->isClosed = true;
    }

    bufferevent *m_socket;
};

/// Accepts connections and calls a function when bytes arrive on one of them.
class raw_server
{
public:
    raw_server(event_loop &loop, std::function<void(raw_connection &)> onBytes)
        : m_loop(loop)
        , m_onBytes(std::move(onBytes))
    {
        sockaddr_in address = {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        m_listener = evconnlistener_new_bind(
            loop.base(),
            [](evconnlistener *, evutil_socket_t socket, sockaddr *, int, void *self) {
                auto *s = static_cast<raw_server *>(self);
                s->connections.push_back(std::make_unique<raw_connection>(s->m_loop, socket));
                s->connections.back()->onBytes = s->m_onBytes;
            },
            this, LEV_OPT_CLOSE_ON_FREE, 16, reinterpret_cast<sockaddr *>(&address),
            sizeof(address));
        socklen_t length = sizeof(address);
        getsockname(evconnlistener_get_fd(m_listener), reinterpret_cast<sockaddr *>(&address),
                    &length);
        endpoint = {"127.0.0.1", ntohs(address.sin_port)};
    }
    ~raw_server() { evconnlistener_free(m_listener); }
    raw_server(const raw_server &) = delete;
    raw_server &operator=(const raw_server &) = delete;

    ip_endpoint endpoint;
    std::vector<std::unique_ptr<raw_connection>> connections;

private:
    event_loop &m_loop;
    std::function<void(raw_connection &)> m_onBytes;
    evconnlistener *m_listener;
};

/// A listening socket outside the loop: a test reads from and writes to its connections without
/// running the loop.
class manual_listener
{
public:
    manual_listener()
        : m_socket(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0))
    {
        m_address.sin_family = AF_INET;
        m_address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t length = sizeof(m_address);
        auto *address = reinterpret_cast<sockaddr *>(&m_address);
        EXPECT_EQ(bind(m_socket, address, length), 0);
        EXPECT_EQ(listen(m_socket, SOMAXCONN), 0);
        EXPECT_EQ(getsockname(m_socket, address, &length), 0);
    }
    ~manual_listener() { close(m_socket); }
    manual_listener(const manual_listener &) = delete;
    manual_listener &operator=(const manual_listener &) = delete;

    ip_endpoint endpoint() const { return {"127.0.0.1", ntohs(m_address.sin_port)}; }

    /// Accepts all pending connections and appends them to \p sockets.
    void acceptReady(std::vector<int> &sockets) const
    {
        for (int s = accept(m_socket, nullptr, nullptr); s >= 0;
             s = accept(m_socket, nullptr, nullptr))
            sockets.push_back(s);
    }

private:
    int m_socket;
    sockaddr_in m_address = {};
};

/// Returns whether \p socket has unread input.
inline bool hasUnreadInput(int socket)
{
    int count = 0;
    return ioctl(socket, FIONREAD, &count) == 0 && count > 0;
}

/// A listening socket with a full accept queue, so that no further connection is established.
class full_backlog_listener
{
public:
    explicit full_backlog_listener(event_loop &loop)
        : m_socket(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address = {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t length = sizeof(address);
        EXPECT_EQ(bind(m_socket, reinterpret_cast<sockaddr *>(&address), length), 0);
        EXPECT_EQ(listen(m_socket, 0), 0);
        getsockname(m_socket, reinterpret_cast<sockaddr *>(&address), &length);
        endpoint = {"127.0.0.1", ntohs(address.sin_port)};
        constexpr int backlogConnections = 4;
        for (int i = 0; i < backlogConnections; ++i)
            m_waiting.push_back(std::make_unique<raw_connection>(loop, endpoint));
    }
    ~full_backlog_listener() { evutil_closesocket(m_socket); }
    full_backlog_listener(const full_backlog_listener &) = delete;
    full_backlog_listener &operator=(const full_backlog_listener &) = delete;

    ip_endpoint endpoint;

private:
    evutil_socket_t m_socket;
    std::vector<std::unique_ptr<raw_connection>> m_waiting;
};

/// Returns an endpoint on which no process listens: the port of a listener that was closed.
inline ip_endpoint unusedEndpoint(event_loop &loop)
{
    return raw_server(loop, nullptr).endpoint;
}

} // namespace crocuswind

#endif
