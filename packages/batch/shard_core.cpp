#include "shard_core.h"

namespace crocuswind {

/// The state of one shard on one host.
class shard_core::implementation
{
public:
    explicit implementation(shard_settings given)
        : settings(std::move(given))
    { }

    shard_settings settings;
};

int shardOfJob(const job_id &job, int shardCount)
{
    return int(stableHash(toString(job)) % std::uint64_t(shardCount));
}

int shardOfWorker(const worker_id &worker, int shardCount)
{
    return int(stableHash(worker.value) % std::uint64_t(shardCount));
}

shard_core::shard_core(shard_settings settings)
    : m_implementation(std::make_unique<implementation>(std::move(settings)))
{ }

shard_core::~shard_core() = default;

std::vector<shard_action> shard_core::handle(const shard_event & /*event*/)
{
    return {};
}

shard_status shard_core::status() const
{
    return {};
}

} // namespace crocuswind
