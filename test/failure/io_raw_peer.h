/// A TCP server that sends exactly the bytes a test gives it, for peers that break the protocol.
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

/// Guards a test against waiting for ever; no test depends on the value.
constexpr duration testTimeout = 20s;

/// One raw connection, accepted or dialled.
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
    /// Closes once all bytes have been handed to the system.
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
        // A copy, since the function may replace itself.
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

/// Accepts connections and lets a function answer them.
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

/// A listening socket outside the loop: what its connections send and receive needs no round.
class silent_listener
{
public:
    silent_listener()
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
    ~silent_listener() { close(m_socket); }
    silent_listener(const silent_listener &) = delete;
    silent_listener &operator=(const silent_listener &) = delete;

    ip_endpoint endpoint() const { return {"127.0.0.1", ntohs(m_address.sin_port)}; }

    /// Adds the connections that are established by now.
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

/// Returns true if bytes have arrived on \p socket that were not read.
inline bool hasInput(int socket)
{
    int count = 0;
    return ioctl(socket, FIONREAD, &count) == 0 && count > 0;
}

/// Listens and lets no further connection come about: its queue is full.
class unaccepting_listener
{
public:
    explicit unaccepting_listener(event_loop &loop)
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
        constexpr int connectionsToFillTheQueue = 4;
        for (int i = 0; i < connectionsToFillTheQueue; ++i)
            m_waiting.push_back(std::make_unique<raw_connection>(loop, endpoint));
    }
    ~unaccepting_listener() { evutil_closesocket(m_socket); }
    unaccepting_listener(const unaccepting_listener &) = delete;
    unaccepting_listener &operator=(const unaccepting_listener &) = delete;

    ip_endpoint endpoint;

private:
    evutil_socket_t m_socket;
    std::vector<std::unique_ptr<raw_connection>> m_waiting;
};

/// Returns an endpoint on which nobody listens: the port of a listener that is gone.
inline ip_endpoint unusedEndpoint(event_loop &loop)
{
    return raw_server(loop, nullptr).endpoint;
}

} // namespace crocuswind

#endif
