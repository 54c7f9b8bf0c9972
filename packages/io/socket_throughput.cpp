#include "socket_throughput.h"

#include <cstddef>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <sys/ioctl.h>

namespace crocuswind {

namespace {

/// What libevent reads at most for one look at a socket.
constexpr std::size_t bytesOfRead = 4096;

/// Keeps a sender that writes faster than it is read from holding up all others.
constexpr int maxFurtherReads = 63;

bool hasInput(int socket)
{
    int unread = 0;
    return ioctl(socket, FIONREAD, &unread) == 0 && unread > 0;
}

// Reads on from within libevent's own read, the only time at which it lets others add to its
// buffer. Each further read calls this again.
void onInput(evbuffer *input, const evbuffer_cb_info *info, void *argument)
{
    thread_local bool isReadingOn = false;
    if (isReadingOn || info->n_added < bytesOfRead)
        return;
    isReadingOn = true;
    const int socket = bufferevent_getfd(static_cast<bufferevent *>(argument));
    int count = int(bytesOfRead);
    // The end of the connection and errors are left for libevent to find.
    for (int i = 0; i < maxFurtherReads && count == int(bytesOfRead) && hasInput(socket); ++i)
        count = evbuffer_read(input, socket, -1);
    isReadingOn = false;
}

/// Keeps one large message from holding up all others.
constexpr std::size_t bytesOfWrite = 256 * 1024;

} // namespace

void readAllThatArrived(bufferevent *socket)
{
    evbuffer_add_cb(bufferevent_get_input(socket), &onInput, socket);
}

void writeAllAtOnce(bufferevent *socket)
{
    bufferevent_set_max_single_write(socket, bytesOfWrite);
}

} // namespace crocuswind
