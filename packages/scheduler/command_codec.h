/// Encodes the commands that an owner of the jobs hands to other hosts, which send them to the
/// workers, and the results that these hosts return.
#ifndef CROCUSWIND_SCHEDULER_COMMAND_CODEC_H
#define CROCUSWIND_SCHEDULER_COMMAND_CODEC_H

#include "scheduler_ports.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace crocuswind::scheduler {

/// Any command to a worker.
using worker_command = std::variant<start_command, stop_command, pace_command, poll_command>;

/// Returns the worker that the command is meant for.
const worker_id &workerOf(const worker_command &command);

/// A command that another host is to send.
struct relayed_command
{
    std::uint64_t number = 0; ///< Returned with the result.
    std::string address; ///< Of the worker.
    /// Time left until the command must not be sent any more. It is counted from `sentAtMs` of its
    /// batch, since the clocks of two hosts differ.
    std::int64_t timeLeftMs = 0;
    worker_command command;
};

/// Commands that an owner sends to a relay in one message.
struct relayed_commands
{
    std::int64_t sentAtMs = 0; ///< On the owner's steady clock.
    std::vector<relayed_command> commands;
};

/// The result of a relayed command. Commands other than polls have only an outcome and a clock
/// reading, which is 0 if the worker did not give one.
struct relayed_result
{
    std::uint64_t number = 0;
    command_outcome outcome = command_outcome::no_answer;
    worker_report report;
};

/// A host offers to send commands, or withdraws its offer.
struct relay_offer
{
    bool isAvailable = false;
    data_centre_id dataCentre;
    std::int64_t milliCores = 0; ///< Processors that the host may use, in thousandths of a core.
    bool makesStoreCalls = true; ///< It can be asked for calls to the store. Earlier builds can't.
};

std::string encodeCommands(const relayed_commands &batch);
std::string encodeResults(const std::vector<relayed_result> &results);
std::string encodeOffer(const relay_offer &offer);

/// Decode the messages. Return std::nullopt for malformed input.
std::optional<relayed_commands> decodeCommands(std::string_view bytes);
std::optional<std::vector<relayed_result>> decodeResults(std::string_view bytes);
std::optional<relay_offer> decodeOffer(std::string_view bytes);

} // namespace crocuswind::scheduler

#endif
