#include "relayed_worker_link.h"

#include <algorithm>

namespace crocuswind {

using namespace scheduler;

namespace {

/// A command whose result has not arrived within its own time limit and this time has an unknown
/// outcome. It covers the way to the relay and back.
constexpr duration relayMargin = 400ms;

/// Time limit of a command other than a poll, and of a poll beyond the time that the worker may
/// wait.
constexpr duration commandTimeout = 800ms;

constexpr duration expiryInterval = 100ms;

/// A message is sent once it holds this much, so that it stays below the maximum size of a frame.
constexpr std::size_t maxMessageBytes = 256 * 1024;

/// Size of a command in a message without its payload.
constexpr std::size_t commandBytes = 200;

std::int64_t toMs(duration d)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(d).count();
}

std::size_t payloadBytes(const worker_command &command)
{
    const auto *start = std::get_if<start_command>(&command);
    return commandBytes + (start == nullptr ? 0 : start->payload.size());
}

} // namespace

relayed_worker_link::relayed_worker_link(event_loop &loop, random_source &random,
                                         worker_link &direct, std::int64_t ownerMilliCores,
                                         message_sender send)
    : m_loop(loop)
    , m_direct(direct)
    , m_send(std::move(send))
    , m_assignment(ownerMilliCores)
    , m_numbers(random)
{ }

relayed_worker_link::~relayed_worker_link()
{
    *m_isAlive = false;
    m_loop.cancel(m_expiryTimer);
}

void relayed_worker_link::setAddress(const worker_id &worker, const std::string &address)
{
    m_addresses[worker] = address;
}

void relayed_worker_link::start(const start_command &command, command_callback done)
{
    send(command, commandTimeout, [done = std::move(done)](const relayed_result &result) {
        done({result.outcome,
              result.report.clockMs == 0 ? std::nullopt : std::optional(result.report.clockMs)});
    });
}

void relayed_worker_link::stop(const stop_command &command, command_callback done)
{
    send(command, commandTimeout, [done = std::move(done)](const relayed_result &result) {
        done({result.outcome, std::nullopt});
    });
}

void relayed_worker_link::pace(const pace_command &command, command_callback done)
{
    send(command, commandTimeout, [done = std::move(done)](const relayed_result &result) {
        done({result.outcome, std::nullopt});
    });
}

void relayed_worker_link::poll(const poll_command &command, poll_callback done)
{
    setAddress(command.worker, command.address);
    send(command, std::chrono::milliseconds(command.waitMs) + commandTimeout,
         [done = std::move(done)](const relayed_result &result) {
             done({result.outcome, result.report});
         });
}

void relayed_worker_link::fenceEarlierCommands(const worker_id &worker)
{
    m_assignment.renewRoute(worker);
}

void relayed_worker_link::onWorker(const worker_info &info)
{
    setAddress(info.id, info.address);
    m_assignment.addWorker(info.id, info.dataCentre);
}

void relayed_worker_link::onWorkerGone(const worker_id &worker)
{
    m_assignment.removeWorker(worker);
}

void relayed_worker_link::onOffer(const host_id &host, const relay_offer &offer)
{
    // Commands that a host still has when it withdraws its offer are answered before it exits.
    m_assignment.onOffer(host, offer);
}

void relayed_worker_link::onHostLost(const host_id &host)
{
    m_assignment.onLost(host);
    m_outgoing.erase(host);
    std::vector<std::uint64_t> lost;
    for (const auto &[number, command] : m_inFlight) {
        if (command.route.relay == host)
            lost.push_back(number);
    }
    finishAll(lost, command_outcome::no_answer);
}

bool relayed_worker_link::onResults(std::string_view bytes)
{
    auto results = decodeResults(bytes);
    if (!results)
        return false;
    for (relayed_result &result : *results) {
        if (m_numbers.isIssued(result.number))
            finish(std::move(result));
        else
            ++m_foreignResults;
    }
    return true;
}

void relayed_worker_link::reset()
{
    m_inFlight.clear();
    m_inFlightOfWorker.clear();
    m_outgoing.clear();
    m_assignment.clearWorkers();
}

void relayed_worker_link::send(worker_command command, duration timeout, result_callback done)
{
    const worker_id worker = workerOf(command);
    const bool isIdle = m_inFlightOfWorker.count(worker) == 0;
    const command_route route = m_assignment.routeFor(worker, isIdle, m_loop.now());
    std::visit([&](auto &c) { c.epoch = commandToken(c.epoch, route); }, command);
    const std::uint64_t number = m_numbers.next();
    m_inFlight[number] = {worker, route, m_loop.now() + timeout + relayMargin, std::move(done)};
    ++m_inFlightOfWorker[worker];
    if (route.relay.empty()) {
        sendDirectly(number, command);
        return;
    }
    ++m_relayedCommands;
    scheduleExpiry();
    enqueue(route.relay, {number, m_addresses[worker], toMs(timeout), std::move(command)});
}

void relayed_worker_link::sendDirectly(std::uint64_t number, const worker_command &command)
{
    const auto done = [this, number, alive = m_isAlive](const command_result &result) {
        if (!*alive)
            return;
        relayed_result direct{number, result.outcome, {}};
        direct.report.clockMs = result.clockMs.value_or(0);
        finish(std::move(direct));
    };
    if (const auto *start = std::get_if<start_command>(&command))
        m_direct.start(*start, done);
    else if (const auto *stop = std::get_if<stop_command>(&command))
        m_direct.stop(*stop, done);
    else if (const auto *pace = std::get_if<pace_command>(&command))
        m_direct.pace(*pace, done);
    else if (const auto *poll = std::get_if<poll_command>(&command))
        m_direct.poll(*poll, [this, number, alive = m_isAlive](const poll_result &result) {
            if (*alive)
                finish({number, result.outcome, result.report});
        });
}

// Commands of one round of the event loop share a message.
void relayed_worker_link::enqueue(const host_id &relay, relayed_command command)
{
    outgoing_batch &batch = m_outgoing[relay];
    const bool isFirst = batch.commands.empty();
    batch.payloadBytes += payloadBytes(command.command);
    batch.commands.push_back(std::move(command));
    // The callbacks of failed commands must not be called from within this call.
    if (isFirst)
        m_loop.post([this, relay, alive = m_isAlive] {
            if (*alive)
                flush(relay);
        });
}

void relayed_worker_link::flush(const host_id &relay)
{
    const auto found = m_outgoing.find(relay);
    if (found == m_outgoing.end())
        return;
    const outgoing_batch batch = std::move(found->second);
    m_outgoing.erase(found);
    relayed_commands message;
    message.sentAtMs = toMs(m_loop.now().time_since_epoch());
    std::size_t bytes = 0;
    const auto sendMessage = [&] {
        if (!m_send(relay, encodeCommands(message))) {
            std::vector<std::uint64_t> unsent;
            for (const relayed_command &command : message.commands)
                unsent.push_back(command.number);
            finishAll(unsent, command_outcome::not_done);
        }
        message.commands.clear();
        bytes = 0;
    };
    for (const relayed_command &command : batch.commands) {
        bytes += payloadBytes(command.command);
        message.commands.push_back(command);
        if (bytes >= maxMessageBytes)
            sendMessage();
    }
    if (!message.commands.empty())
        sendMessage();
}

void relayed_worker_link::finish(relayed_result result)
{
    const auto found = m_inFlight.find(result.number);
    if (found == m_inFlight.end())
        return;
    const command_in_flight command = std::move(found->second);
    m_inFlight.erase(found);
    if (--m_inFlightOfWorker[command.worker] == 0)
        m_inFlightOfWorker.erase(command.worker);
    // A worker that has heard from a later relay, or of a later fence, refuses the token of the
    // former route. That is no later owner.
    const bool isFormerRoute = m_assignment.currentRoute(command.worker) != command.route;
    if (result.outcome == command_outcome::refused_stale_epoch && isFormerRoute)
        result.outcome = command_outcome::no_answer;
    command.done(result);
}

void relayed_worker_link::finishAll(const std::vector<std::uint64_t> &numbers,
                                    command_outcome outcome)
{
    for (std::uint64_t number : numbers)
        finish({number, outcome, {}});
}

void relayed_worker_link::scheduleExpiry()
{
    if (m_expiryTimer != 0)
        return;
    m_expiryTimer = m_loop.callAt(m_loop.now() + expiryInterval, [this] {
        m_expiryTimer = 0;
        expire();
        if (!m_inFlight.empty())
            scheduleExpiry();
    });
}

// Direct commands have time limits of their own.
void relayed_worker_link::expire()
{
    std::vector<std::uint64_t> expired;
    for (const auto &[number, command] : m_inFlight) {
        if (!command.route.relay.empty() && command.deadline <= m_loop.now())
            expired.push_back(number);
    }
    finishAll(expired, command_outcome::no_answer);
}

} // namespace crocuswind
