#include "socket_throughput.h"

#include <algorithm>
#include <cstddef>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
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

// Returns how many bytes the next read may add to the input: none from the high watermark on.
std::size_t nextReadSize(bufferevent *socket)
{
    std::size_t highWatermark = 0;
    bufferevent_getwatermark(socket, EV_READ, nullptr, &highWatermark);
    if (highWatermark == 0)
        return libeventReadSize;
    const std::size_t length = evbuffer_get_length(bufferevent_get_input(socket));
    return std::min(libeventReadSize, std::max(highWatermark, length) - length);
}

// Reads more input from within libevent's own read, the only time at which libevent allows others
// to add to the input buffer. Each additional read calls this function recursively.
void onInput(evbuffer *input, const evbuffer_cb_info *info, void *argument)
{
    thread_local bool isReadingMore = false;
    if (isReadingMore || info->n_added < libeventReadSize)
        return;
    isReadingMore = true;
    auto *socket = static_cast<bufferevent *>(argument);
    const int descriptor = bufferevent_getfd(socket);
    // Reading stops at the end of the connection or an error, which libevent then detects itself.
    for (int i = 0; i < maxExtraReads && hasUnreadInput(descriptor); ++i) {
        const std::size_t size = nextReadSize(socket);
        if (size == 0 || evbuffer_read(input, descriptor, int(size)) < int(size))
            break;
    }
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
