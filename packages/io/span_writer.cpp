#include "span_writer.h"

#include <cerrno>
#include <deque>
#include <event2/event.h>
#include <fcntl.h>
#include <unistd.h>
#include <utility>

namespace crocuswind {

struct span_writer::implementation
{
    implementation(event_loop &l, int d, span_resource r, std::size_t maxBytes)
        : loop(l)
        , descriptor(d)
        , resource(std::move(r))
        , maxBufferedBytes(maxBytes)
    {
        if (descriptor < 0)
            return;
        fcntl(descriptor, F_SETFL, fcntl(descriptor, F_GETFL) | O_NONBLOCK);
        writableEvent = event_new(
            loop.base(), descriptor, EV_WRITE,
            [](evutil_socket_t, short, void *self) {
                static_cast<implementation *>(self)->flush();
            },
            this);
    }

    ~implementation()
    {
        loop.cancel(timer);
        if (writableEvent != nullptr)
            event_free(writableEvent);
    }

    void write(const finished_span &span)
    {
        if (descriptor < 0)
            return;
        std::string line = toOtlpLine(resource, span) + "\n";
        if (isBroken || bufferedBytes + line.size() > maxBufferedBytes) {
            ++dropped;
            return;
        }
        bufferedBytes += line.size();
        lines.push_back(std::move(line));
        // Spans of the same round are written together.
        if (timer == 0 && !isWaiting)
            timer = loop.callAt(loop.now(), [this] {
                timer = 0;
                flush();
            });
    }

    void flush()
    {
        isWaiting = false;
        while (!lines.empty()) {
            const std::string &line = lines.front();
            const ssize_t count = ::write(descriptor, line.data() + written, line.size() - written);
            if (count < 0 && errno == EINTR)
                continue;
            if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
                isWaiting = true;
                event_add(writableEvent, nullptr);
                return;
            }
            if (count < 0) {
                isBroken = true;
                dropped += lines.size();
                lines.clear();
                bufferedBytes = 0;
                return;
            }
            written += std::size_t(count);
            if (written == line.size()) {
                bufferedBytes -= line.size();
                lines.pop_front();
                written = 0;
            }
        }
    }

    event_loop &loop;
    int descriptor;
    span_resource resource;
    std::size_t maxBufferedBytes;
    event *writableEvent = nullptr;
    timer_id timer = 0;
    std::deque<std::string> lines;
    std::size_t written = 0; ///< Number of bytes of the first line that have been written.
    std::size_t bufferedBytes = 0;
    std::uint64_t dropped = 0;
    bool isWaiting = false; ///< Whether the writer waits until the descriptor is writable.
    bool isBroken = false; ///< A write has failed; all further spans are dropped.
};

span_writer::span_writer(event_loop &loop, int descriptor, span_resource resource,
                         std::size_t maxBufferedBytes)
    : m_implementation(
        std::make_unique<implementation>(loop, descriptor, std::move(resource), maxBufferedBytes))
{ }

span_writer::~span_writer() = default;

void span_writer::write(const finished_span &span)
{
    m_implementation->write(span);
}

std::uint64_t span_writer::dropped() const
{
    return m_implementation->dropped;
}

} // namespace crocuswind
