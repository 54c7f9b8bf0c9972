#include "load_run.h"

#include "entry_client.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace crocuswind {

namespace {

/// Time after the deadline until which an answer is awaited; then the outcome counts as unknown.
constexpr duration answerMargin = 3s;
constexpr duration jobCallTimeout = 10s;
constexpr duration listInterval = 1s;
constexpr int maxJobAttempts = 5;

load_run_settings withDefaults(load_run_settings settings)
{
    settings.connections = std::max(1, settings.connections);
    return settings;
}

http_client_settings clientSettings(const load_run_settings &settings)
{
    http_client_settings client;
    client.maxConnectionsPerEndpoint = settings.connections;
    // An open loop keeps sending while the server is slow, so the queue may become long.
    client.maxQueuedPerEndpoint = 100000;
    return client;
}

} // namespace

load_run::load_run(event_loop &loop, const load_mix &mix, load_run_settings settings)
    : m_loop(loop)
    , m_mix(mix)
    , m_settings(withDefaults(std::move(settings)))
    , m_plan(mix)
    , m_client(loop, clientSettings(m_settings))
    , m_runName(fmt::format("load-{}", randomIdentifier().substr(0, 8)))
{ }

load_request_counts &load_run::countsOf(const planned_request &plan)
{
    return plan.isUrgent ? m_report.urgent : m_report.normal;
}

instant load_run::deadlineOf(const open_request &r) const
{
    return r.intended + std::chrono::milliseconds(m_mix.timeLeftMs);
}

void load_run::send(const std::string &path, const std::string &body, instant deadline,
                    http_client::done_callback done)
{
    http_call call;
    call.to = m_settings.entries[m_nextEntry];
    m_nextEntry = (m_nextEntry + 1) % m_settings.entries.size();
    call.path = path;
    call.body = body;
    call.headers = {{"content-type", "application/json"}};
    call.deadline = deadline;
    call.maxAnswerBytes = 2 * maxCallerBodyBytes;
    ++m_open;
    m_client.send(std::move(call), [this, done = std::move(done)](http_result result) {
        --m_open;
        done(std::move(result));
    });
}

void load_run::sendNext()
{
    const std::optional<planned_arrival> arrival = m_plan.next();
    if (!arrival) {
        m_isPlanDone = true;
        return;
    }
    // Latency is measured from the planned arrival time, also if the event loop is late, so that
    // delays in the generator are not hidden.
    const instant intended = m_start + arrival->at;
    m_loop.callAt(intended, [this, what = arrival->what, intended] {
        if (const auto *request = std::get_if<planned_request>(&what))
            startRequest(*request, intended);
        else
            startJob(std::get<planned_job>(what));
        sendNext();
    });
}

void load_run::startRequest(const planned_request &plan, instant intended)
{
    ++countsOf(plan).sent;
    const auto r = std::make_shared<open_request>();
    r->plan = plan;
    r->intended = intended;
    // The prefix "once-" lets a stand-in runner detect unrepeatable requests that ran twice.
    r->payload = fmt::format("{}{}-{}-", plan.isRepeatable ? "" : "once-", m_runName, plan.number);
    r->payload.resize(std::max(r->payload.size(), m_mix.payloadBytes), 'x');
    if (plan.isRepeatable)
        sendRequest(r);
    else
        fetchIdentifier(r);
}

void load_run::fetchIdentifier(const request_pointer &r)
{
    send("/v1/request-ids", "", deadlineOf(*r), [this, r](const http_result &result) {
        const bool isAnswered = result.outcome == http_outcome::answered && result.status == 200;
        const auto id = parseCallerRequestId(isAnswered ? result.body : "");
        if (id) {
            r->id = toString(*id);
            sendRequest(r);
        } else {
            ++countsOf(r->plan).refused["no_identifier"];
        }
    });
}

void load_run::sendRequest(const request_pointer &r)
{
    caller_request request;
    request.id = parseRequestId(r->id);
    request.service.value = r->plan.service;
    request.team.value = r->plan.team;
    request.repeatable = r->plan.isRepeatable;
    request.urgency = r->plan.isUrgent ? workload_urgency::urgent : workload_urgency::normal;
    request.timeLeftMs = millisecondsLeft(m_loop.now(), deadlineOf(*r));
    request.payload = r->payload;
    if (request.timeLeftMs < 1) {
        ++countsOf(r->plan).refused["late_in_load_generator"];
        return;
    }
    send("/v1/requests", toBody(request), deadlineOf(*r) + answerMargin,
         [this, r](const http_result &result) { onRequestResult(r, result); });
}

void load_run::onRequestResult(const request_pointer &r, const http_result &result)
{
    load_request_counts &counts = countsOf(r->plan);
    if (result.outcome == http_outcome::not_connected) {
        // Nothing was sent, so the next entry host is tried, as a load balancer would do.
        if (++r->failedConnects < m_settings.entries.size())
            sendRequest(r);
        else
            ++counts.notConnected;
        return;
    }
    const auto outcome
        = parseCallerOutcome(result.outcome == http_outcome::answered ? result.body : "");
    if (result.outcome == http_outcome::answered && !outcome) {
        ++counts.errors[std::to_string(result.status)];
        return;
    }
    if (!outcome || outcome->what == caller_outcome::kind::unknown
        || outcome->what == caller_outcome::kind::pending) {
        ++counts.unknown;
        if (outcome && !outcome->id.empty())
            r->id = outcome->id;
        if (!r->id.empty())
            m_unknown.push_back(r);
        return;
    }
    if (outcome->what == caller_outcome::kind::not_run) {
        ++counts.refused[outcome->reason];
        return;
    }
    ++counts.answered;
    const instant now = m_loop.now();
    counts.latenciesUs.push_back((now - r->intended).count());
    if (now <= deadlineOf(*r))
        ++counts.answeredInTime;
    if (m_settings.checksAnswers && outcome->answer.find(r->payload) == std::string::npos)
        ++counts.wrongAnswers;
}

void load_run::startJob(const planned_job &plan)
{
    ++m_report.jobs.submitted;
    caller_job job;
    job.id = {team_id{plan.team}, fmt::format("{}-{}", m_runName, plan.number)};
    job.kind = plan.runMs == 0 ? caller_job_kind::continuous : caller_job_kind::finite;
    job.size = {std::llround(m_mix.jobCores * 1000), m_mix.jobMemoryMb, 0};
    job.runMs = plan.runMs;
    sendJob(job.id, toBody(job), maxJobAttempts);
}

void load_run::sendJob(const job_id &id, const std::string &body, int attemptsLeft)
{
    send("/v1/jobs", body, m_loop.now() + jobCallTimeout,
         [this, id, body, attemptsLeft](const http_result &result) {
             load_job_counts &counts = m_report.jobs;
             if (result.outcome == http_outcome::answered && result.status / 100 == 2) {
                 ++counts.accepted;
                 m_accepted.push_back(id);
             } else if (attemptsLeft > 1
                        && (result.outcome != http_outcome::answered || result.status >= 500)) {
                 // Submission is idempotent, so it can always be retried.
                 sendJob(id, body, attemptsLeft - 1);
             } else if (result.outcome == http_outcome::answered && result.status != 504) {
                 ++counts.refused[std::to_string(result.status)];
             } else {
                 ++counts.unknown;
             }
         });
}

void load_run::reportProgress()
{
    const load_request_counts &u = m_report.urgent;
    const load_request_counts &n = m_report.normal;
    const auto refused = [](const load_request_counts &c) {
        std::int64_t sum = 0;
        for (const auto &[reason, count] : c.refused)
            sum += count;
        return sum;
    };
    const double seconds = std::chrono::duration<double>(m_loop.now() - m_start).count();
    if (!m_settings.isQuiet && m_isWaitingForJobs)
        fmt::print(stderr, "load: {:.0f} s, waiting for jobs, {} of {} finished\n", seconds,
                   m_finishedJobs, m_accepted.size());
    else if (!m_settings.isQuiet)
        fmt::print(stderr,
                   "load: {:.0f} s, {} requests sent, {} answered, {} not run, {} unknown, "
                   "{} jobs accepted, {} calls open\n",
                   seconds, u.sent + n.sent, u.answered + n.answered, refused(u) + refused(n),
                   u.unknown + n.unknown, m_report.jobs.accepted, m_open);
    m_loop.callAt(m_loop.now() + 1s, [this] { reportProgress(); });
}

void load_run::queryUnknownOutcomes()
{
    entry_settings entry;
    for (const ip_endpoint &e : m_settings.entries)
        entry.entries.push_back(toString(e));
    entry_client client(m_loop, entry);
    for (const request_pointer &r : m_unknown) {
        const http_result result
            = client.call("GET", "/v1/requests/" + r->id, "", m_loop.now() + 1s, true);
        const auto outcome
            = parseCallerOutcome(result.outcome == http_outcome::answered ? result.body : "");
        if (outcome
            && (outcome->what == caller_outcome::kind::answered
                || outcome->what == caller_outcome::kind::not_run))
            ++countsOf(r->plan).resolvedLater;
        if (m_loop.now() >= client.deadline())
            break;
    }
}

std::size_t load_run::countFinished(const std::vector<std::vector<caller_job_view>> &listings) const
{
    std::size_t finished = 0;
    std::set<job_id> seen;
    for (const auto &listing : listings) {
        for (const caller_job_view &view : listing) {
            const bool isFinished
                = view.state == "done" || view.state == "failed" || view.state == "cancelled";
            const bool hasNoEnd = view.kind == caller_job_kind::continuous;
            if (isFinished || hasNoEnd)
                seen.insert(view.id);
        }
    }
    for (const job_id &id : m_accepted)
        finished += seen.count(id);
    return finished;
}

void load_run::readListings(instant deadline)
{
    const auto readAll = [this](std::vector<std::vector<caller_job_view>> &listings) {
        entry_client client(m_loop, {{}, jobCallTimeout.count() / 1000, false});
        for (const ip_endpoint &entry : m_settings.entries) {
            std::string after;
            listings.emplace_back();
            do {
                std::string path = fmt::format("/v1/jobs?limit={}", maxCallerListing);
                if (!after.empty())
                    path += "&after=" + after;
                const http_result result
                    = client.callOne(entry, "GET", path, "", client.deadline());
                const auto list = parseCallerJobList(
                    result.outcome == http_outcome::answered ? result.body : "");
                if (!list || (!list->next.empty() && list->next <= after))
                    return false;
                listings.back().insert(listings.back().end(), list->jobs.begin(), list->jobs.end());
                after = list->next;
            } while (!after.empty());
        }
        return true;
    };
    while (true) {
        std::vector<std::vector<caller_job_view>> listings;
        const bool isComplete = readAll(listings);
        const bool isOver = m_loop.now() + listInterval >= deadline;
        m_finishedJobs = countFinished(listings);
        if (isComplete && (isOver || m_finishedJobs == m_accepted.size())) {
            countListings(listings, m_accepted, m_report.jobs);
            m_report.jobs.isListed = true;
            return;
        }
        if (isOver)
            return;
        waitFor(m_loop, listInterval);
    }
}

load_report load_run::run()
{
    m_start = m_loop.now();
    reportProgress();
    sendNext();
    while (!m_isPlanDone || m_open > 0)
        m_loop.runUntil([this] { return m_isPlanDone && m_open == 0; }, 1s);
    m_report.elapsedMs = std::max<std::int64_t>(
        m_mix.durationMs,
        std::chrono::duration_cast<std::chrono::milliseconds>(m_loop.now() - m_start).count());
    queryUnknownOutcomes();
    m_isWaitingForJobs = true;
    if (!m_accepted.empty())
        readListings(m_loop.now() + std::chrono::milliseconds(m_settings.jobWaitMs));
    return m_report;
}

} // namespace crocuswind
