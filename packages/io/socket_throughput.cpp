#include "socket_throughput.h"

#include <cstddef>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <sys/ioctl.h>

namespace crocuswind {

namespace {

/// The maximum number of bytes that libevent reads from a socket in one round.
constexpr std::size_t libeventReadSize = 4096;

/// Bounds the reads of one socket in a round, so that a fast sender does not block the other
/// sockets.
constexpr int maxExtraReads = 63;

bool hasUnreadInput(int socket)
{
    int unread = 0;
    return ioctl(socket, FIONREAD, &unread) == 0 && unread > 0;
}

// Reads more input from within libevent's own read, the only time at which libevent allows others
// to add to the input buffer. Each additional read calls this function recursively.
void onInput(evbuffer *input, const evbuffer_cb_info *info, void *argument)
{
    thread_local bool isReadingMore = false;
    if (isReadingMore || info->n_added < libeventReadSize)
        return;
    isReadingMore = true;
    const int socket = bufferevent_getfd(static_cast<bufferevent *>(argument));
    int count = int(libeventReadSize);
    // Reading stops at the end of the connection or an error, which libevent then detects itself.
    for (int i = 0; i < maxExtraReads && count == int(libeventReadSize) && hasUnreadInput(socket);
         ++i)
        count = evbuffer_read(input, socket, -1);
    isReadingMore = false;
}

/// Bounds the bytes written to one socket in a round, so that a large message does not block the
/// other sockets.
constexpr std::size_t maxWriteSize = 256 * 1024;

} // namespace

void enableLargeReads(bufferevent *socket)
{
    evbuffer_add_cb(bufferevent_get_input(socket), &onInput, socket);
}

void enableLargeWrites(bufferevent *socket)
{
    bufferevent_set_max_single_write(socket, maxWriteSize);
}

} // namespace crocuswind
