/// Sends commands to workers on behalf of the owner of the jobs, which is another host.
#ifndef CROCUSWIND_JOBS_COMMAND_RELAY_H
#define CROCUSWIND_JOBS_COMMAND_RELAY_H

#include "io/io.h"
#include "worker_link.h"

#include <functional>
#include <map>
#include <memory>
#include <string_view>
#include <vector>

namespace crocuswind {

/// The relay of one host. It decides nothing: it sends each command once, or reports that it was
/// not sent, and returns the results in batches.
class command_relay
{
public:
    using result_sender = std::function<void(const host_id &owner, std::string bytes)>;

    command_relay(event_loop &loop, worker_link &workers, result_sender send);
    ~command_relay();
    command_relay(const command_relay &) = delete;
    command_relay &operator=(const command_relay &) = delete;

    /// Handles a message with commands of an owner. Returns false if it is malformed.
    bool onCommands(const host_id &owner, std::string_view bytes);

    /// The link to the owner was closed: results for it are dropped, and the delay of a later link
    /// is measured anew.
    void onOwnerLost(const host_id &owner);

private:
    /// What is known of an owner while its link is up.
    struct owner_state
    {
        /// Smallest difference of the two hosts' clocks that a message has shown, in milliseconds.
        /// A message with a larger difference was delayed by the excess.
        std::int64_t minClockDifferenceMs = 0;
        bool isClockKnown = false;
        std::vector<scheduler::relayed_result> results;
        bool isFlushPending = false;
    };

    std::int64_t measureDelay(owner_state &owner, std::int64_t sentAtMs) const;
    void send(const host_id &owner, const scheduler::relayed_command &relayed);
    void addResult(const host_id &owner, scheduler::relayed_result result);
    void flush(const host_id &owner);
    worker_link::command_callback commandDone(const host_id &owner, std::uint64_t number);

    event_loop &m_loop;
    worker_link &m_workers;
    result_sender m_send;
    std::map<host_id, owner_state> m_owners;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace crocuswind

#endif
