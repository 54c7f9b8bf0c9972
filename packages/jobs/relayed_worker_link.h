/// Sends an owner's commands to workers through relays, or directly while the fleet is small.
#ifndef CROCUSWIND_JOBS_RELAYED_WORKER_LINK_H
#define CROCUSWIND_JOBS_RELAYED_WORKER_LINK_H

#include "base/base.h"
#include "io/io.h"
#include "life_tokens.h"
#include "worker_link.h"

#include <functional>
#include <map>
#include <memory>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace crocuswind {

/// The owner's side of the relays. The epoch of a command becomes a fencing token that contains the
/// worker's route, so that what a former relay still sends cannot take effect.
class relayed_worker_link final : public worker_link
{
public:
    /// Sends a message to a host. Returns false if it was not sent.
    using message_sender = std::function<bool(const host_id &relay, const std::string &bytes)>;

    /// \p random is used during the construction only. Processes of a host must get different
    /// numbers from it, so that a result for a former one is recognized.
    relayed_worker_link(event_loop &loop, random_source &random, worker_link &direct,
                        std::int64_t ownerMilliCores, message_sender send);
    ~relayed_worker_link() override;

    void setAddress(const worker_id &worker, const std::string &address) override;
    void start(const scheduler::start_command &command, command_callback done) override;
    void stop(const scheduler::stop_command &command, command_callback done) override;
    void pace(const scheduler::pace_command &command, command_callback done) override;
    void poll(const scheduler::poll_command &command, poll_callback done) override;

    /// Raises the fencing token of the worker's later commands.
    void fenceEarlierCommands(const worker_id &worker);

    /// Service discovery has added or changed a worker, or has removed it.
    void onWorker(const scheduler::worker_info &info);
    void onWorkerGone(const worker_id &worker);

    /// A host offers to relay commands, or withdraws the offer.
    void onOffer(const host_id &host, const scheduler::relay_offer &offer);
    /// The link to a host was closed. Commands that it has not answered have an unknown outcome.
    void onHostLost(const host_id &host);
    /// Handles a message with results. Those of commands of a former process of this host are
    /// dropped and counted. Returns false if the message is malformed.
    bool onResults(std::string_view bytes);

    /// Drops all commands in flight without a result, at the end of an ownership.
    void reset();

    std::size_t relayCount() const { return m_assignment.relayCount(); }
    /// Returns the number of commands that were given to relays.
    std::int64_t relayedCommands() const { return m_relayedCommands; }
    /// Returns the number of dropped results of commands of a former process of this host.
    std::int64_t foreignResults() const { return m_foreignResults; }

private:
    using result_callback = std::function<void(const scheduler::relayed_result &result)>;

    struct command_in_flight
    {
        worker_id worker;
        scheduler::command_route route;
        instant deadline;
        result_callback done;
    };
    struct outgoing_batch
    {
        std::vector<scheduler::relayed_command> commands;
        std::size_t payloadBytes = 0;
    };

    void send(scheduler::worker_command command, duration timeout, result_callback done);
    void sendDirectly(std::uint64_t number, const scheduler::worker_command &command);
    void enqueue(const host_id &relay, scheduler::relayed_command command);
    void flush(const host_id &relay);
    void finish(scheduler::relayed_result result);
    void finishAll(const std::vector<std::uint64_t> &numbers, scheduler::command_outcome outcome);
    void scheduleExpiry();
    void expire();

    event_loop &m_loop;
    worker_link &m_direct;
    message_sender m_send;
    scheduler::relay_assignment m_assignment;
    std::unordered_map<worker_id, std::string> m_addresses;
    std::unordered_map<worker_id, int> m_inFlightOfWorker;
    std::unordered_map<std::uint64_t, command_in_flight> m_inFlight;
    std::map<host_id, outgoing_batch> m_outgoing;
    life_tokens m_numbers;
    std::int64_t m_relayedCommands = 0;
    std::int64_t m_foreignResults = 0;
    timer_id m_expiryTimer = 0;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace crocuswind

#endif
