/// Defines the store adapter for the JSON gateway of the etcd v3 protocol.
#ifndef CROCUSWIND_IO_ETCD_STORE_H
#define CROCUSWIND_IO_ETCD_STORE_H

#include "http_client.h"
#include "store.h"

#include <memory>
#include <vector>

namespace crocuswind {

/// Settings of the adapter.
struct etcd_store_settings
{
    std::vector<ip_endpoint> endpoints; ///< Must not be empty.
    std::size_t maxAnswerBytes = 2 * 1024 * 1024; ///< Values of 1 MB grow by a third as base64.
    int maxConnections = 8; ///< To each endpoint.
    std::size_t maxQueued = 64; ///< Further operations fail at once with `not_sent`.
    /// A watch without a byte for this long is set up again. The store sends progress every 10 min;
    /// a dead connection is noticed earlier, by TCP keep-alive.
    duration watchReceiveTimeout = 1800s;
    duration minRetryDelay = 200ms; ///< First delay before a broken watch is set up again.
    duration maxRetryDelay = 5s; ///< The delay doubles up to this bound.
    std::shared_ptr<tls_context> tls;
};

/// Speaks to the store over HTTP/JSON. Operations go to one endpoint until it fails, then to the
/// next; a failed operation itself is not repeated.
class etcd_store final : public store
{
public:
    /// \p random jitters the delays and must outlive the store.
    etcd_store(event_loop &loop, etcd_store_settings settings, random_source &random);
    ~etcd_store() override;

    void submit(const store_operation &operation, instant deadline, result_callback done) override;
    store_watch_id watch(const std::string &prefix, duration maxSilence,
                         watch_callback callback) override;
    void cancelWatch(store_watch_id watch) override;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace crocuswind

#endif
