/// Defines the writer of finished spans, which writes each span as one OTLP/JSON line to a file
/// descriptor.
#ifndef CROCUSWIND_IO_SPAN_WRITER_H
#define CROCUSWIND_IO_SPAN_WRITER_H

#include "event_loop.h"
#include "protocol/span_bodies.h"

#include <cstddef>
#include <cstdint>
#include <memory>

namespace crocuswind {

/// Writes spans without blocking the loop. Lines for a slow reader are buffered; when the buffer is
/// full, spans are dropped and counted.
class span_writer
{
public:
    /// Writes to \p descriptor, which is switched to non-blocking mode and never closed. With a
    /// negative descriptor, every span is discarded without being counted. \p maxBufferedBytes
    /// bounds the buffer.
    span_writer(event_loop &loop, int descriptor, span_resource resource,
                std::size_t maxBufferedBytes = 1024 * 1024);
    ~span_writer();
    span_writer(const span_writer &) = delete;
    span_writer &operator=(const span_writer &) = delete;

    /// Buffers one span for writing.
    void write(const finished_span &span);

    /// Returns the number of spans dropped because the buffer was full or the reader had closed the
    /// descriptor.
    std::uint64_t dropped() const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace crocuswind

#endif
