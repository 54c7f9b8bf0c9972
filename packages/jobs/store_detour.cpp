#include "store_detour.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace crocuswind {

using namespace scheduler;
using policy::store_way;

namespace {

/// A host that was asked answers within this time, or within twice the patience with the store if
/// that is longer. Shorter than the rest of a lease of a second after its last renewal.
constexpr duration minHelpLimit = 400ms;

/// Messages to helpers whose time is remembered. Updates that are older count as of unknown age.
constexpr std::size_t maxTimesKept = 256;

bool isTransaction(const store_operation &operation)
{
    return std::holds_alternative<store_transaction>(operation);
}

bool isRenewal(const store_operation &operation)
{
    return std::holds_alternative<store_lease_renewal>(operation);
}

} // namespace

store_detour::store_detour(event_loop &loop, store &direct, const logger &log, call_sender send)
    : m_loop(loop)
    , m_direct(direct)
    , m_log(log)
    , m_send(std::move(send))
{ }

store_detour::~store_detour()
{
    *m_isAlive = false;
    m_loop.cancel(m_probeTimer);
    for (const auto &[id, call] : m_calls) {
        m_loop.cancel(call.patienceTimer);
        m_loop.cancel(call.helpTimer);
    }
    for (const auto &[id, watch] : m_watches) {
        m_loop.cancel(watch.timer);
        m_direct.cancelWatch(watch.directWatch);
    }
}

void store_detour::submit(const store_operation &operation, instant deadline, result_callback done)
{
    const call_number id = ++m_lastCall;
    open_call &call = m_calls[id];
    call.operation = operation;
    call.sentAt = m_loop.now();
    call.deadline = deadline;
    call.done = std::move(done);
    if (m_mayAsk && m_standing.way() == store_way::detour && askNext(id)) {
        // Renewals show when the store serves this host again.
        if (isRenewal(operation))
            sendDirect(id);
        return;
    }
    sendDirect(id);
    const instant impatientAt = m_loop.now() + m_standing.patience();
    if (m_mayAsk && isRenewal(operation) && impatientAt < deadline)
        call.patienceTimer = m_loop.callAt(impatientAt, [this, id] { onPatienceOver(id); });
}

void store_detour::sendDirect(call_number id)
{
    open_call &call = m_calls.at(id);
    call.isDirectOpen = true;
    call.wasSentDirect = true;
    m_direct.submit(call.operation, call.deadline,
                    [this, alive = m_isAlive, id, sentAt = m_loop.now()](store_result result) {
                        if (*alive)
                            onDirectResult(id, sentAt, std::move(result));
                    });
}

void store_detour::onDirectResult(call_number id, instant sentAt, store_result result)
{
    const store_way wayBefore = m_standing.way();
    if (result)
        m_standing.onDirectAnswer(m_loop.now(), m_loop.now() - sentAt);
    else
        m_standing.onDirectFailure(m_loop.now());
    logChange(wayBefore);
    const auto found = m_calls.find(id);
    if (found == m_calls.end())
        return;
    open_call &call = found->second;
    call.isDirectOpen = false;
    if (result) {
        finish(id, std::move(result));
        return;
    }
    call.error = result.error();
    call.mayHaveEffect = call.mayHaveEffect || result.error() == store_error::no_answer;
    if (!call.helper && !(mayGoAnotherWay(call) && askNext(id)))
        finishIfSettled(id);
}

// The store is silent, or slower than usual.
void store_detour::onPatienceOver(call_number id)
{
    if (m_calls.count(id) == 0)
        return;
    m_standing.onDirectFailure(m_loop.now());
    if (m_mayAsk)
        askNext(id);
}

bool store_detour::mayGoAnotherWay(const open_call &call) const
{
    return m_mayAsk && !(isTransaction(call.operation) && call.mayHaveEffect);
}

// Asks the next host to make the call. Returns false if there is none, or it has taken too long.
bool store_detour::askNext(call_number id)
{
    open_call &call = m_calls.at(id);
    const instant now = m_loop.now();
    if (!m_standing.mayAskOthers(now) || call.deadline <= now)
        return false;
    while (call.asked.size() < policy::maxHostsAsked) {
        const std::optional<host_id> helper = chooseHelper(call.asked);
        if (!helper)
            break;
        call.asked.insert(*helper);
        if (!send(*helper, {0, millisecondsLeft(now, call.deadline), call.operation}))
            continue;
        ++m_counters.operations;
        call.helper = helper;
        call.helpNumber = m_lastNumber;
        const duration limit = std::max<duration>(minHelpLimit, m_standing.patience() * 2);
        call.helpTimer = m_loop.callAt(std::min(call.deadline, now + limit),
                                       [this, id] { onHelpFailed(id, store_error::no_answer); });
        return true;
    }
    const store_way wayBefore = m_standing.way();
    if (!call.asked.empty())
        m_standing.onDetourFailure(now);
    logChange(wayBefore);
    return false;
}

void store_detour::onHelp(const host_id &helper, const store_help &help)
{
    if (const auto *update = std::get_if<helped_watch_update>(&help)) {
        onHelpUpdate(helper, *update);
        return;
    }
    const auto &answer = std::get<helped_store_result>(help);
    const auto found = std::find_if(m_calls.begin(), m_calls.end(), [&](const auto &entry) {
        return entry.second.helper == helper && entry.second.helpNumber == answer.number;
    });
    if (found != m_calls.end())
        onHelpResult(found->first, answer.result);
}

void store_detour::onHelpResult(call_number id, const store_result &result)
{
    if (!result) {
        onHelpFailed(id, result.error());
        return;
    }
    const store_way wayBefore = m_standing.way();
    m_standing.onDetourAnswer(m_loop.now());
    m_lastGood = m_calls.at(id).helper;
    logChange(wayBefore);
    if (wayBefore == store_way::direct && m_standing.way() == store_way::detour)
        giveUpSilentCalls();
    finish(id, result);
}

void store_detour::onHelpFailed(call_number id, store_error error)
{
    const auto found = m_calls.find(id);
    if (found == m_calls.end() || !found->second.helper)
        return;
    open_call &call = found->second;
    if (m_lastGood == call.helper)
        m_lastGood.reset();
    call.helper.reset();
    m_loop.cancel(call.helpTimer);
    call.error = error;
    if (error == store_error::no_answer) {
        ++m_counters.unanswered;
        call.mayHaveEffect = true;
    }
    if (mayGoAnotherWay(call)) {
        if (askNext(id))
            return;
        if (!call.wasSentDirect && call.deadline > m_loop.now()) {
            sendDirect(id);
            return;
        }
    }
    finishIfSettled(id);
}

void store_detour::finishIfSettled(call_number id)
{
    const open_call &call = m_calls.at(id);
    if (call.isDirectOpen || call.helper)
        return;
    finish(id, tl::unexpected(call.mayHaveEffect ? store_error::no_answer : call.error));
}

void store_detour::finish(call_number id, store_result result)
{
    const auto found = m_calls.find(id);
    if (found == m_calls.end())
        return;
    m_loop.cancel(found->second.patienceTimer);
    m_loop.cancel(found->second.helpTimer);
    const result_callback done = std::move(found->second.done);
    m_calls.erase(found);
    done(std::move(result));
}

// Ends the transactions that the silent store has not answered, so that they are sent again through
// another host. Their first copies may still take effect.
void store_detour::giveUpSilentCalls()
{
    std::vector<call_number> silent;
    for (const auto &[id, call] : m_calls) {
        const bool isLate = call.sentAt + m_standing.patience() <= m_loop.now();
        if (isTransaction(call.operation) && call.isDirectOpen && isLate)
            silent.push_back(id);
    }
    for (call_number id : silent)
        finish(id, tl::unexpected(store_error::no_answer));
}

void store_detour::logChange(store_way wayBefore)
{
    if (m_standing.way() == wayBefore)
        return;
    if (m_standing.way() == store_way::direct) {
        m_log.info("event=store_detour_ended direct={} operations={} unanswered={}",
                   !m_standing.failingSince(), m_counters.operations, m_counters.unanswered);
        return;
    }
    ++m_counters.begun;
    const instant since = m_standing.failingSince().value_or(m_loop.now());
    m_log.info("event=store_detour_begun host={} failing_ms={} hosts={}",
               m_lastGood ? m_lastGood->value : "", millisecondsLeft(since, m_loop.now()),
               m_helpers.size());
}

void store_detour::setMayAskOthers(bool mayAsk)
{
    if (std::exchange(m_mayAsk, mayAsk) == mayAsk)
        return;
    std::vector<store_watch_id> watches;
    for (const auto &[id, watch] : m_watches)
        watches.push_back(id);
    for (store_watch_id id : watches) {
        if (mayAsk)
            beginHelp(id);
        else
            loseHelp(id);
    }
}

void store_detour::addHelper(const host_id &helper)
{
    m_helpers.insert(helper);
}

void store_detour::withdrawHelper(const host_id &helper)
{
    m_helpers.erase(helper);
    if (m_lastGood == helper)
        m_lastGood.reset();
    std::vector<store_watch_id> watches;
    for (const auto &[id, watch] : m_watches) {
        if (watch.helper == helper)
            watches.push_back(id);
    }
    for (store_watch_id id : watches)
        loseHelp(id);
}

void store_detour::removeHelper(const host_id &helper)
{
    withdrawHelper(helper);
    std::vector<call_number> calls;
    for (const auto &[id, call] : m_calls) {
        if (call.helper == helper)
            calls.push_back(id);
    }
    for (call_number id : calls)
        onHelpFailed(id, store_error::no_answer);
}

// The host that made the last call comes first, then the others in turn.
std::optional<host_id> store_detour::chooseHelper(const std::set<host_id> &except)
{
    const auto isFree = [&](const host_id &host) { return except.count(host) == 0; };
    if (m_lastGood && isFree(*m_lastGood))
        return m_lastGood;
    auto found = std::find_if(m_helpers.upper_bound(m_lastAsked), m_helpers.end(), isFree);
    if (found == m_helpers.end())
        found = std::find_if(m_helpers.begin(), m_helpers.end(), isFree);
    if (found == m_helpers.end())
        return std::nullopt;
    return *found;
}

bool store_detour::send(const host_id &helper, helped_store_call call)
{
    m_lastAsked = helper;
    call.number = ++m_lastNumber;
    if (!m_send(helper, call))
        return false;
    m_sentAt[call.number] = m_loop.now();
    if (m_sentAt.size() > maxTimesKept)
        m_sentAt.erase(m_sentAt.begin());
    return true;
}

} // namespace crocuswind
