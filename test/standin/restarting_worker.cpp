#include "restarting_worker.h"

#include <algorithm>

namespace crocuswind::standin {

using nlohmann::json;

namespace {

constexpr duration tickInterval = 5ms;
constexpr duration checkInInterval = 1500ms;
constexpr duration stopDuration = 150ms;
constexpr std::int64_t longestLeaseMs = 10000;
constexpr int lastingLatencyMs = 40;

} // namespace

restarting_worker::restarting_worker(event_loop &loop, std::string id, platform_store &store,
                                     run_audit &audit, run_time_function runTime)
    : m_loop(loop)
    , m_id(std::move(id))
    , m_store(store)
    , m_audit(audit)
    , m_runTime(std::move(runTime))
    , m_service(loop, [this](const auto &exchange) { handle(exchange); })
    , m_createdAt(loop.now())
{
    CROCUSWIND_INVARIANT(m_service.listen("127.0.0.1:0", 1), "the worker cannot listen");
    restart();
    tick();
}

restarting_worker::~restarting_worker()
{
    m_loop.cancel(m_timer);
}

void restarting_worker::restart()
{
    for (const auto &[task, run] : m_runs)
        m_audit.noteEnd(audited(task, run.run));
    ++m_life;
    m_bornAt = m_loop.now();
    m_bornUnixMs = m_loop.unixMicroseconds(m_bornAt) / 1000;
    m_sequence = 0;
    m_nextCheckIn = m_bornAt;
    m_highestToken = 0;
    m_leaseUntilMs = 0;
    m_runs.clear();
    m_highestRuns.clear();
    m_ended.clear();
    m_lastEnd = 0;
    dropPolls();
}

void restarting_worker::setReach(worker_reach reach)
{
    m_reach = reach;
    if (reach == worker_reach::dark)
        m_lifeBeforeDark = m_life;
    if (reach != worker_reach::connected) {
        for (const waiting_poll &poll : m_polls)
            m_unanswered.push_back(poll.exchange);
        m_polls.clear();
        return;
    }
    const auto held = std::exchange(m_held, {});
    for (const auto &exchange : held) {
        if (m_lifeBeforeDark != m_life)
            m_audit.noteMisdirected();
        const json body = json::parse(exchange->body(), nullptr, false);
        if (body.is_object())
            execute(exchange->path(), body, nullptr);
        m_unanswered.push_back(exchange);
    }
}

void restarting_worker::handle(const std::shared_ptr<http_exchange> &exchange)
{
    if (m_reach == worker_reach::dark)
        m_held.push_back(exchange);
    if (m_reach == worker_reach::cut_off)
        m_unanswered.push_back(exchange);
    if (m_reach != worker_reach::connected)
        return;
    const json body = json::parse(exchange->body(), nullptr, false);
    if (!body.is_object())
        return respond(exchange, 400, json::object());
    if (exchange->header("expect-instance") != m_id)
        return respond(exchange, 421, json::object());
    if (const auto response = execute(exchange->path(), body, exchange))
        respond(exchange, response->first, response->second);
}

void restarting_worker::respond(const std::shared_ptr<http_exchange> &exchange, int status,
                                json body) const
{
    body["clockMs"] = clockMs();
    exchange->answer(status, body.dump());
}

std::optional<std::pair<int, json>>
restarting_worker::execute(const std::string &path, const json &body,
                           const std::shared_ptr<http_exchange> &exchange)
{
    endDueRuns();
    const std::int64_t token = body.value("fencingToken", std::int64_t(0));
    if (token < m_highestToken)
        return std::pair{409, json{{"reason", "fence"}}};
    m_highestToken = token;
    if (path == "/run-start")
        return start(body);
    if (path == "/run-stop")
        stop(body);
    if (path != "/hold")
        return std::pair{200, json::object()};
    extendLease(body);
    forgetEnds(body.value("ackCursor", std::int64_t(0)));
    const auto wait = std::chrono::milliseconds(body.value("waitMs", 0));
    if (exchange != nullptr)
        m_polls.push_back({exchange, m_loop.now() + wait});
    return std::nullopt;
}

std::pair<int, json> restarting_worker::start(const json &body)
{
    const std::string task = body["task"];
    const int run = body["run"];
    if (body.value("deadlineMs", std::int64_t(0)) <= clockMs())
        return {409, {{"reason", "late"}}};
    extendLease(body);
    const auto found = m_runs.find(task);
    if (found != m_runs.end() && found->second.run == run)
        return {200, json::object()};
    if (run <= m_highestRuns[task])
        return {409, {{"reason", "old"}}};
    m_audit.noteStart(audited(task, run), millisecondsSinceBegin());
    const auto runTime = m_runTime(task);
    run_state started;
    started.run = run;
    if (runTime)
        started.endsAt = m_loop.now() + *runTime;
    m_runs[task] = started;
    return {200, json::object()};
}

void restarting_worker::stop(const json &body)
{
    const std::string task = body["task"];
    const int run = body["run"];
    m_highestRuns[task] = std::max(m_highestRuns[task], run);
    const auto found = m_runs.find(task);
    if (found == m_runs.end() || found->second.run != run || found->second.isStopping)
        return;
    found->second.isStopping = true;
    found->second.endsAt = m_loop.now() + stopDuration;
}

void restarting_worker::extendLease(const json &body)
{
    const std::int64_t deadline = body.value("deadlineMs", std::int64_t(0));
    m_leaseUntilMs = std::max(m_leaseUntilMs, std::min(deadline, clockMs() + longestLeaseMs));
}

void restarting_worker::forgetEnds(std::int64_t cursor)
{
    const auto kept = std::find_if(m_ended.begin(), m_ended.end(),
                                   [cursor](const ended_run &e) { return e.number > cursor; });
    for (auto i = m_ended.begin(); i != kept; ++i) {
        if (i->reason == "done")
            m_audit.noteAcknowledged(i->task);
    }
    m_ended.erase(m_ended.begin(), kept);
}

void restarting_worker::endRun(const std::string &task, const std::string &reason)
{
    const int run = m_runs.at(task).run;
    m_runs.erase(task);
    m_highestRuns[task] = std::max(m_highestRuns[task], run);
    m_ended.push_back({++m_lastEnd, task, run, reason});
    m_audit.noteEnd(audited(task, run));
}

void restarting_worker::endDueRuns()
{
    const bool hasLapsed = clockMs() > m_leaseUntilMs;
    const auto runs = m_runs;
    for (const auto &[task, run] : runs) {
        if (run.endsAt && *run.endsAt <= m_loop.now())
            endRun(task, run.isStopping ? "stopped" : "done");
        else if (hasLapsed)
            endRun(task, "lapsed");
    }
}

void restarting_worker::answerPolls()
{
    for (auto poll = m_polls.begin(); poll != m_polls.end();) {
        if (m_ended.empty() && m_loop.now() < poll->until) {
            ++poll;
            continue;
        }
        respond(poll->exchange, 200, report());
        poll = m_polls.erase(poll);
    }
}

// Polls that wait at a process that ends see the end of their connections.
void restarting_worker::dropPolls()
{
    for (const waiting_poll &poll : m_polls)
        poll.exchange->drop();
    m_polls.clear();
}

void restarting_worker::forgetAbandonedCalls()
{
    m_unanswered.erase(
        std::remove_if(m_unanswered.begin(), m_unanswered.end(),
                       [](const auto &exchange) { return exchange->isDisconnected(); }),
        m_unanswered.end());
}

json restarting_worker::report() const
{
    json running = json::array();
    for (const auto &[task, run] : m_runs) {
        const bool isLasting = !run.endsAt;
        running.push_back(
            {task, run.run, "", isLasting ? 100 : 50, isLasting ? lastingLatencyMs : 0});
    }
    json ended = json::array();
    for (const ended_run &e : m_ended)
        ended.push_back({e.number, e.task, e.run, e.reason, ""});
    return {{"born", m_bornUnixMs}, {"running", running}, {"ended", ended}};
}

json restarting_worker::entry()
{
    return {{"service", "pool"},
            {"address", m_service.address(0)},
            {"zone", "a"},
            {"version", "v1"},
            {"slots", 8},
            {"state", "ready"},
            {"coldLeftMs", 0},
            {"capacity", {{"cpu", 8000}, {"memMb", 64000}, {"gpu", 0}}},
            {"labels", {"a", "r1-1"}},
            {"clockMs", clockMs()},
            {"born", m_bornUnixMs},
            {"seq", ++m_sequence}};
}

void restarting_worker::checkIn()
{
    if (m_loop.now() < m_nextCheckIn)
        return;
    m_nextCheckIn = m_loop.now() + checkInInterval;
    if (m_reach == worker_reach::connected)
        m_store.put("servers/" + m_id, entry());
}

void restarting_worker::tick()
{
    checkIn();
    endDueRuns();
    answerPolls();
    forgetAbandonedCalls();
    m_timer = m_loop.callAt(m_loop.now() + tickInterval, [this] { tick(); });
}

std::int64_t restarting_worker::clockMs() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(m_loop.now() - m_bornAt).count();
}

std::int64_t restarting_worker::millisecondsSinceBegin() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(m_loop.now() - m_createdAt)
        .count();
}

} // namespace crocuswind::standin
