/// Defines where finished spans go: one OTLP/JSON line each to a file descriptor.
#ifndef CROCUSWIND_IO_SPAN_WRITER_H
#define CROCUSWIND_IO_SPAN_WRITER_H

#include "event_loop.h"
#include "protocol/span_bodies.h"

#include <cstddef>
#include <cstdint>
#include <memory>

namespace crocuswind {

/// Writes spans without ever blocking the loop. While the reader is slow, lines wait in a buffer;
/// when that is full, spans are dropped and counted.
class span_writer
{
public:
    /// Writes to \p descriptor, which is set to non-blocking and not closed. A negative descriptor
    /// drops every span without counting. \p maxBufferedBytes bounds the buffer.
    span_writer(event_loop &loop, int descriptor, span_resource resource,
                std::size_t maxBufferedBytes = 1024 * 1024);
    ~span_writer();
    span_writer(const span_writer &) = delete;
    span_writer &operator=(const span_writer &) = delete;

    /// Appends one span.
    void write(const finished_span &span);

    /// Returns the number of spans dropped because the buffer was full or the reader was gone.
    std::uint64_t dropped() const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace crocuswind

#endif
