/// Makes calls to the store for an owner of the jobs that the store refuses. Open it to learn what
/// a host does for another one's detour.
#ifndef CROCUSWIND_JOBS_STORE_HELPER_H
#define CROCUSWIND_JOBS_STORE_HELPER_H

#include "io/io.h"
#include "scheduler/scheduler.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <utility>

namespace crocuswind {

/// Carries out what other hosts ask for, and decides nothing: each operation is sent to the store
/// once, or not at all after its time, and its result is returned as it is.
class store_helper
{
public:
    /// Returns false if the message was not sent.
    using help_sender
        = std::function<bool(const host_id &owner, const scheduler::store_help &help)>;

    store_helper(event_loop &loop, store &platformStore, help_sender send);
    ~store_helper();
    store_helper(const store_helper &) = delete;
    store_helper &operator=(const store_helper &) = delete;

    void onCall(const host_id &owner, const scheduler::helped_store_call &call);

    /// The link to the host was closed: its watches end, and results for it are dropped.
    void onHostLost(const host_id &owner);

    /// Returns how many operations this host has made for others.
    std::int64_t operations() const { return m_operations; }

private:
    struct owner_state
    {
        std::map<std::uint64_t, store_watch_id> watches; ///< By the number of the request.
        /// The last calls, and when they arrived.
        std::deque<std::pair<std::uint64_t, instant>> arrivals;
    };

    void submit(const host_id &owner, std::uint64_t number, std::int64_t timeLeftMs,
                const store_operation &operation);
    void beginWatch(const host_id &owner, std::uint64_t number,
                    const scheduler::store_watch_request &request);
    void endWatch(owner_state &state, std::uint64_t number);
    void onUpdate(const host_id &owner, std::uint64_t number, const store_watch_update &update);

    event_loop &m_loop;
    store &m_store;
    help_sender m_send;
    std::map<host_id, owner_state> m_owners;
    std::int64_t m_operations = 0;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace crocuswind

#endif
