#include "platform_site.h"

#include "protocol/protocol.h"

#include <algorithm>

namespace crocuswind::standin {

using nlohmann::json;

namespace {

/// The latency that lasting tasks report.
constexpr int lastingLatencyMs = 40;

constexpr duration tickInterval = 10ms;

http_response answer(int status, const json &body = json::object())
{
    http_response r;
    r.status = status;
    r.body = body.dump();
    return r;
}

std::string parameter(const std::string &query, const std::string &name)
{
    std::size_t begin = 0;
    while (begin < query.size()) {
        const std::size_t end = std::min(query.find('&', begin), query.size());
        const std::string part = query.substr(begin, end - begin);
        if (part.rfind(name + "=", 0) == 0)
            return part.substr(name.size() + 1);
        begin = end + 1;
    }
    return {};
}

std::int64_t numberParameter(const std::string &query, const std::string &name)
{
    const std::string text = parameter(query, name);
    return text.empty() ? 0 : std::stoll(text);
}

bool hasPrefix(const std::string &text, const std::string &prefix)
{
    return text.compare(0, prefix.size(), prefix) == 0;
}

std::string listenOnLoopback(http_server &server)
{
    const auto endpoint = server.listen({"127.0.0.1", 0});
    CROCUSWIND_INVARIANT(endpoint.has_value(), "the stand-in cannot listen on 127.0.0.1");
    return toString(*endpoint);
}

} // namespace

json oneQueueConfiguration()
{
    const json route
        = {{"name", "r"},      {"host", "jobs.example"}, {"prefix", "/q/"},  {"service", "pool"},
           {"maxAttempts", 3}, {"stretch", 2},           {"timeoutMs", 5000}};
    return {{"version", 3}, {"routes", json::array({route})}};
}

// platform_store

platform_store::platform_store(event_loop &loop)
    : m_loop(loop)
{
    m_server = std::make_unique<http_server>(
        loop, http_server_settings(),
        [this](const http_request &r, const http_responder &responder) { handle(r, responder); });
    m_address = listenOnLoopback(*m_server);
    tick();
}

platform_store::~platform_store()
{
    m_loop.cancel(m_timer);
}

void platform_store::put(const std::string &key, const json &value)
{
    putBytes(key, value.dump());
}

void platform_store::putBytes(const std::string &key, const std::string &bytes)
{
    ++m_revision;
    m_items[key] = {bytes, m_revision, 0};
    recordChange(key, false);
    answerWatches();
}

void platform_store::remove(const std::string &key)
{
    ++m_revision;
    if (m_items.erase(key) != 0)
        recordChange(key, true);
    answerWatches();
}

void platform_store::removeUnseen(const std::string &key)
{
    ++m_revision;
    m_items.erase(key);
    m_changes.clear();
    m_forgottenUntil = m_revision;
    answerWatches();
}

std::vector<std::string> platform_store::keys(const std::string &prefix) const
{
    std::vector<std::string> found;
    for (const auto &[key, i] : m_items) {
        if (hasPrefix(key, prefix))
            found.push_back(key);
    }
    return found;
}

json platform_store::toJson(const std::string &key, const item &i) const
{
    return {{"key", key},
            {"value", toBase64(i.value)},
            {"revision", i.revision},
            {"createdRev", i.revision},
            {"lease", i.lease}};
}

void platform_store::recordChange(const std::string &key, bool isRemoved)
{
    m_changes.push_back({key, m_revision, isRemoved});
}

void platform_store::handle(const http_request &request, const http_responder &responder)
{
    const json body = json::parse(request.body, nullptr, false);
    if (m_isRefusing) {
        responder.answer(answer(503));
    } else if (request.path == "/kv-range") {
        const std::string prefix = parameter(request.query, "prefix");
        const bool isRefused = !m_refusedRange.empty() && prefix == m_refusedRange;
        responder.answer(isRefused ? answer(503) : range(prefix));
    } else if (request.path == "/kv-key") {
        const auto found = m_items.find(parameter(request.query, "key"));
        responder.answer(found == m_items.end() ? answer(404)
                                                : answer(200, toJson(found->first, found->second)));
    } else if (request.path == "/kv-watch") {
        const auto wait = std::chrono::milliseconds(numberParameter(request.query, "waitMs"));
        m_watches.push_back({parameter(request.query, "prefix"),
                             numberParameter(request.query, "after"), responder,
                             m_loop.now() + wait});
        answerWatches();
    } else if (request.path == "/kv-txn") {
        responder.answer(transact(body));
        answerWatches();
    } else if (request.path == "/kv-lease") {
        responder.answer(grant(body));
    } else if (hasPrefix(request.path, "/kv-keep/")) {
        responder.answer(keepAlive(std::stoll(request.path.substr(9))));
    } else if (hasPrefix(request.path, "/kv-lease-end/")) {
        endLease(std::stoll(request.path.substr(14)));
        responder.answer(answer(200));
        answerWatches();
    } else {
        responder.answer(answer(404));
    }
}

http_response platform_store::range(const std::string &prefix) const
{
    json items = json::array();
    for (const auto &[key, i] : m_items) {
        if (hasPrefix(key, prefix))
            items.push_back(toJson(key, i));
    }
    return answer(200, {{"items", items}, {"hasMore", false}, {"currentRev", m_revision}});
}

http_response platform_store::transact(const json &body)
{
    json items = json::array();
    bool holds = true;
    for (const json &condition : body["expectedRev"]) {
        const auto found = m_items.find(condition["key"].get<std::string>());
        const std::int64_t actual = found == m_items.end() ? 0 : found->second.revision;
        holds = holds && actual == condition["revision"].get<std::int64_t>();
        if (found != m_items.end())
            items.push_back(toJson(found->first, found->second));
    }
    if (!holds)
        return answer(412, {{"items", items}});
    ++m_revision;
    for (const json &written : body["setKeys"]) {
        const std::string key = written["key"];
        m_items[key] = {*fromBase64(written["value"].get<std::string>()), m_revision,
                        written.value("lease", std::int64_t(0))};
        recordChange(key, false);
    }
    for (const json &removed : body["remove"]) {
        if (m_items.erase(removed.get<std::string>()) != 0)
            recordChange(removed, true);
    }
    return answer(200, {{"revision", m_revision}});
}

http_response platform_store::grant(const json &body)
{
    const std::int64_t ttlMs = body["ttlMs"];
    m_leases[++m_lastLease] = {ttlMs, m_loop.now() + std::chrono::milliseconds(ttlMs)};
    return answer(200, {{"lease", m_lastLease}, {"ttlMs", ttlMs}});
}

http_response platform_store::keepAlive(std::int64_t lease)
{
    const auto found = m_leases.find(lease);
    if (found == m_leases.end())
        return answer(404);
    found->second.second = m_loop.now() + std::chrono::milliseconds(found->second.first);
    return answer(200, {{"ttlMs", found->second.first}});
}

void platform_store::endLease(std::int64_t lease)
{
    m_leases.erase(lease);
    ++m_revision;
    for (auto i = m_items.begin(); i != m_items.end();) {
        if (i->second.lease != lease) {
            ++i;
            continue;
        }
        recordChange(i->first, true);
        i = m_items.erase(i);
    }
}

void platform_store::answerWatches()
{
    for (auto w = m_watches.begin(); w != m_watches.end();) {
        if (w->after < m_forgottenUntil) {
            w->responder.answer(answer(410));
            w = m_watches.erase(w);
            continue;
        }
        json events = json::array();
        for (const change &c : m_changes) {
            if (c.revision <= w->after || !hasPrefix(c.key, w->prefix))
                continue;
            const auto found = m_items.find(c.key);
            if (c.isRemoved || found == m_items.end())
                events.push_back({{"key", c.key}, {"revision", c.revision}, {"tombstone", true}});
            else
                events.push_back(toJson(found->first, found->second));
        }
        if (events.empty() && m_loop.now() < w->until) {
            ++w;
            continue;
        }
        w->responder.answer(answer(200, {{"events", events}, {"currentRev", m_revision}}));
        w = m_watches.erase(w);
    }
}

void platform_store::tick()
{
    const auto leases = m_leases;
    for (const auto &[lease, terms] : leases) {
        if (terms.second <= m_loop.now() && !m_isRefusing)
            endLease(lease);
    }
    answerWatches();
    m_timer = m_loop.callAt(m_loop.now() + tickInterval, [this] { tick(); });
}

// platform_worker

platform_worker::platform_worker(event_loop &loop, std::string id, duration runTime)
    : m_loop(loop)
    , m_id(std::move(id))
    , m_runTime(runTime)
    , m_startTime(loop.now())
{
    m_server = std::make_unique<http_server>(
        loop, http_server_settings(),
        [this](const http_request &r, const http_responder &responder) { handle(r, responder); });
    m_address = listenOnLoopback(*m_server);
    tick();
}

platform_worker::~platform_worker()
{
    m_loop.cancel(m_timer);
}

json platform_worker::entry() const
{
    return {{"service", "pool"},
            {"address", m_address},
            {"zone", "a"},
            {"state", "ready"},
            {"capacity", {{"cpu", 8000}, {"memMb", 16000}, {"gpu", 0}}},
            {"labels", {"a", "r1-1"}},
            {"born", 1}};
}

std::int64_t platform_worker::clockMs() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(m_loop.now() - m_startTime)
        .count();
}

bool platform_worker::hasStaleFencingToken(const json &body)
{
    const std::int64_t epoch = body.value("fencingToken", std::int64_t(0));
    m_highestEpoch = std::max(m_highestEpoch, epoch);
    return epoch < m_highestEpoch;
}

void platform_worker::handle(const http_request &request, const http_responder &responder)
{
    const json body = json::parse(request.body, nullptr, false);
    if (!body.is_object()) {
        responder.answer(answer(400));
        return;
    }
    if (headerValue(request.headers, "expect-instance") != m_id) {
        responder.answer(answer(421));
        return;
    }
    if (hasStaleFencingToken(body)) {
        responder.answer(answer(409, {{"clockMs", clockMs()}, {"reason", "fence"}}));
        return;
    }
    if (request.path == "/run-start")
        responder.answer(start(body));
    else if (request.path == "/run-stop")
        responder.answer(stop(body));
    else if (request.path == "/hold")
        m_polls.push_back(
            {body, responder, m_loop.now() + std::chrono::milliseconds(body.value("waitMs", 0))});
    else
        responder.answer(answer(200, {{"clockMs", clockMs()}}));
}

http_response platform_worker::start(const json &body)
{
    const std::string task = body["task"];
    const int run = body["run"];
    const auto found = m_runs.find(task);
    if (found == m_runs.end() || found->second.run != run) {
        ++m_starts[task];
        const bool isLasting = body.value("spec", "").rfind("lasting", 0) == 0;
        m_runs[task] = {run, m_loop.now() + m_runTime, isLasting};
    }
    return answer(200, {{"clockMs", clockMs()}});
}

http_response platform_worker::stop(const json &body)
{
    const std::string task = body["task"];
    const auto found = m_runs.find(task);
    if (found != m_runs.end() && found->second.run == body["run"].get<int>()) {
        m_completedRuns.push_back(
            {++m_lastCompletionNumber, task, found->second.run, "stopped", ""});
        m_runs.erase(found);
    }
    return answer(200, {{"clockMs", clockMs()}});
}

http_response platform_worker::report(const json &body)
{
    const std::int64_t acknowledgedCompletion = body.value("ackCursor", std::int64_t(0));
    json ended = json::array();
    for (const json &end : m_completedRuns) {
        if (end[0].get<std::int64_t>() > acknowledgedCompletion)
            ended.push_back(end);
    }
    m_completedRuns = ended;
    json running = json::array();
    for (const auto &[task, run] : m_runs)
        running.push_back(
            {task, run.run, "", run.isLasting ? 100 : 50, run.isLasting ? lastingLatencyMs : 0});
    return answer(200,
                  {{"clockMs", clockMs()}, {"born", 1}, {"running", running}, {"ended", ended}});
}

void platform_worker::tick()
{
    for (auto i = m_runs.begin(); i != m_runs.end();) {
        if (i->second.isLasting || i->second.endsAt > m_loop.now()) {
            ++i;
            continue;
        }
        m_completedRuns.push_back({++m_lastCompletionNumber, i->first, i->second.run, "done", ""});
        i = m_runs.erase(i);
    }
    for (auto p = m_polls.begin(); p != m_polls.end();) {
        if (m_completedRuns.empty() && m_loop.now() < p->until) {
            ++p;
            continue;
        }
        p->responder.answer(report(p->body));
        p = m_polls.erase(p);
    }
    m_timer = m_loop.callAt(m_loop.now() + tickInterval, [this] { tick(); });
}

} // namespace crocuswind::standin
