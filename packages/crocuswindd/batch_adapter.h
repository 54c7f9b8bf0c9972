/// Defines the adapter that connects the shard cores of this data centre to callers, the store,
/// workers and the other entry hosts that own shards. It performs I/O only; all scheduling
/// decisions are made by the cores.
#ifndef CROCUSWIND_CROCUSWINDD_BATCH_ADAPTER_H
#define CROCUSWIND_CROCUSWINDD_BATCH_ADAPTER_H

#include "host_context.h"
#include "job_bodies.h"

#include "batch/batch.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace crocuswind {

/// The functions of the daemon that the adapter calls.
struct batch_adapter_callbacks
{
    /// Forwards a job call to the host that owns the shard. Returns false if nothing was sent.
    std::function<bool(const host_id &to, const shard_id &shard, std::uint64_t token,
                       const std::string &body)>
        forwardJob;
    /// Sends the answer to a job call that a peer forwarded to this host.
    std::function<void(const host_id &to, const shard_id &shard, std::uint64_t token,
                       const std::string &body)>
        answerJob;
    std::function<void()> drained; ///< Called when a drain has released all shards.
};

/// Passes events to one shard_core per shard of the data centre and performs their actions.
class batch_adapter
{
public:
    batch_adapter(host_context &context, batch_adapter_callbacks callbacks);
    ~batch_adapter();

    /// Handles a caller's HTTP request under `/v1/jobs`. Returns false for any other path, without
    /// answering.
    bool handle(const http_request &request, const http_responder &responder);

    /// Passes one event to every shard core and performs the resulting actions.
    template <class what>
    void feedAll(const what &event)
    {
        for (auto &shard : m_shards)
            feed(*shard, event);
    }

    /// Replaces the known workers by those of this data centre in \p hosts.
    void setWorkers(const std::vector<listed_host> &hosts);

    /// Handles a job call that a peer forwarded. It is never forwarded again: if this host does not
    /// own the shard either, the answer says so.
    void receiveCall(const host_id &from, int shard, std::uint64_t token, const std::string &body);

    /// Handles a peer's answer to a call that this host forwarded. Answers to unknown tokens, for
    /// example after the timeout, are ignored.
    void receiveAnswer(std::uint64_t token, const std::string &body);

    /// Answers all calls that were forwarded to \p host with status 504, since their outcome is
    /// unknown.
    void peerLost(const host_id &host);

    /// Returns the state of each shard, ordered by shard number.
    std::vector<shard_status> status() const;

private:
    using answer_callback = std::function<void(const job_answer_body &)>;

    struct shard
    {
        shard(event_loop &loop, shard_settings settings)
            : number(settings.shard.index)
            , core(settings)
            , wake(loop)
        { }
        int number;
        shard_core core;
        wake_timer wake;
        bool isDrained = false;
    };

    struct open_call
    {
        job_call call;
        answer_callback done;
        bool mayForward = false; ///< False for a call that a peer forwarded.
        int shard = 0;
    };

    struct forwarded_call
    {
        host_id to;
        answer_callback done;
        timer_id timer = 0;
    };

    struct merged_job_list;

    template <class what>
    void feed(shard &s, what event)
    {
        perform(s, s.core.handle(shard_event{m_context.loop.now(), std::move(event)}));
    }

    void submit(const http_request &request, const http_responder &responder);
    void list(const http_request &request, const http_responder &responder);
    void run(int shardNumber, job_call call, bool mayForward, answer_callback done);
    void forward(const open_call &open, const host_id &owner);
    void finishForwarded(std::uint64_t token, const job_answer_body &answer);
    void perform(shard &s, const std::vector<shard_action> &actions);
    void perform(shard &s, const shard_store_call &action);
    void perform(shard &s, const shard_sync_worker &action);
    void perform(shard &s, const shard_reply &action);
    void perform(shard &s, const shard_span &action);
    void perform(shard &s, const shard_log &action);
    void perform(shard &s, const shard_wake_at &action);
    void perform(shard &s, const shard_drained &action);
    void finishSync(shard &s, const shard_sync_worker &sync, const http_result &answer);

    host_context &m_context;
    batch_adapter_callbacks m_callbacks;
    logger m_log{"batch"};
    std::vector<std::unique_ptr<shard>> m_shards;
    std::map<worker_id, ip_endpoint> m_workerEndpoints;
    caller_token m_lastCallerToken = 0;
    std::map<caller_token, open_call> m_calls;
    std::uint64_t m_lastForwardToken = 0;
    std::map<std::uint64_t, forwarded_call> m_forwarded;
};

} // namespace crocuswind

#endif
