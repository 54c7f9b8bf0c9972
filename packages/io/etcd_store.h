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
    std::size_t maxAnswerBytes = 2 * 1024 * 1024; ///< A value of 1 MB grows by a third in base64.
    int maxConnections = 8; ///< For each endpoint.
    std::size_t maxQueued = 64; ///< Further operations fail at once with `not_sent`.
    /// A watch that receives no byte for this long is set up again. The store sends a progress
    /// notification every 10 min; TCP keep-alive detects a dead connection earlier.
    duration watchReceiveTimeout = 1800s;
    duration minRetryDelay = 200ms; ///< First delay before a broken watch is set up again.
    duration maxRetryDelay = 5s; ///< The delay doubles up to this bound.
    std::shared_ptr<tls_context> tls;
};

/// Accesses the store over HTTP/JSON. Operations are sent to one endpoint until it fails, and from
/// then on to the next endpoint. A failed operation is not retried.
class etcd_store final : public store
{
public:
    /// \p random jitters the retry delays and must outlive the store.
    etcd_store(event_loop &loop, etcd_store_settings settings, random_source &random);
    ~etcd_store() override;

    void submit(const store_operation &operation, instant deadline, result_callback done) override;
    store_watch_id watch(const std::string &prefix, duration progressInterval,
                         watch_callback callback) override;
    void cancelWatch(store_watch_id watch) override;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace crocuswind

#endif
