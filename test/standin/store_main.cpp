// The program standin_store: serves a store_model through the etcd v3 JSON gateway, with injected
// faults.

#include "control_body.h"
#include "http_service.h"
#include "store_gateway.h"

#include <CLI/CLI.hpp>
#include <csignal>
#include <fmt/format.h>
#include <map>
#include <nlohmann/json.hpp>

using namespace crocuswind;
using namespace crocuswind::standin;
using nlohmann::json;

namespace {

/// The injected faults. They can be set by flags and, under the same names, by `POST /control`.
struct store_faults
{
    int loseAnswersPercent = 0; ///< Share of writes whose response is lost after they took effect.
    int loseNextAnswers = 0; ///< Number of next writes whose response is lost.
    std::int64_t delayMs = 0; ///< Delay of the response, after the call took effect.
    bool isDown = false; ///< Connections are closed without a response, and watches end.
    std::int64_t staleMs = 0; ///< Age of the state that reads outside of transactions return.
};

class store_program
{
public:
    store_program(event_loop &loop, store_faults faults, std::uint64_t seed)
        : m_loop(loop)
        , m_faults(faults)
        , m_random(seed)
        , m_service(loop, [this](const std::shared_ptr<http_exchange> &e) { handle(e); })
    { }

    bool listen(const std::string &where)
    {
        if (!m_service.listen(where, 1))
            return false;
        m_service.announce();
        expireLeasesPeriodically();
        return true;
    }

private:
    struct watcher
    {
        std::shared_ptr<http_exchange> exchange;
        watch_request request;
        std::int64_t next = 0; ///< First revision that has not been sent.
    };

    void handle(const std::shared_ptr<http_exchange> &e)
    {
        if (e->path() == "/control")
            return control(e);
        if (e->path() == "/stats")
            return e->answer(200, stats().dump());
        ++m_calls;
        if (m_faults.isDown)
            return e->drop();
        if (e->path() == "/v3/watch")
            return watch(e);
        const bool isWrite = isStoreWrite(e->path(), e->body());
        ++(isWrite ? m_writeCalls : m_readCalls);
        const bool isStaleRead = e->path() == "/v3/kv/range" && m_faults.staleMs > 0;
        const gateway_answer answer = answerStoreCall(isStaleRead ? staleState() : m_store,
                                                      m_loop.now(), e->path(), e->body());
        publishChanges();
        bool isLost = false;
        if (isWrite && m_faults.loseNextAnswers > 0) {
            --m_faults.loseNextAnswers;
            isLost = true;
        } else if (isWrite) {
            isLost = int(m_random.below(100)) < m_faults.loseAnswersPercent;
        }
        const auto finish = [this, e, answer, isLost] {
            if (isLost || m_faults.isDown) {
                ++m_lostAnswers;
                e->drop();
            } else {
                e->answer(answer.status, answer.body);
            }
        };
        if (m_faults.delayMs > 0)
            m_loop.callAt(m_loop.now() + std::chrono::milliseconds(m_faults.delayMs), finish);
        else
            finish();
    }

    void watch(const std::shared_ptr<http_exchange> &e)
    {
        const auto request = parseWatchRequest(e->body());
        if (!request)
            return e->answer(request.error().status, request.error().body);
        e->startStream();
        e->sendChunk(watchCreatedMessage(m_store.revision()));
        m_watchers.push_back(
            {e, *request,
             request->startRevision > 0 ? request->startRevision : m_store.revision() + 1});
        sendChanges();
    }

    /// Sends new changes to the watchers and, if reads are stale, records the state.
    void publishChanges()
    {
        sendChanges();
        if (m_faults.staleMs > 0)
            recordState();
    }

    void sendChanges()
    {
        for (std::size_t i = 0; i < m_watchers.size();) {
            watcher &w = m_watchers[i];
            if (w.exchange->isDisconnected()) {
                m_watchers.erase(m_watchers.begin() + std::ptrdiff_t(i));
                continue;
            }
            if (w.next <= m_store.revision()) {
                const auto changes = m_store.changesFrom(w.next, w.request.keys);
                w.next = m_store.revision() + 1;
                if (!changes.empty())
                    w.exchange->sendChunk(watchChangesMessage(m_store.revision(), changes));
            }
            ++i;
        }
    }

    /// Expires leases every 50 ms, so that watchers see it even if no call arrives.
    void expireLeasesPeriodically()
    {
        m_store.expire(m_loop.now());
        publishChanges();
        m_loop.callAt(m_loop.now() + 50ms, [this] { expireLeasesPeriodically(); });
    }

    /// Records a copy of the store for stale reads if it has changed since the last copy. Called
    /// every 50 ms and on each call.
    void recordState()
    {
        const instant now = m_loop.now();
        if (m_states.empty() || m_states.rbegin()->second.revision() != m_store.revision())
            m_states[now] = m_store;
        const instant oldest = now - std::chrono::milliseconds(m_faults.staleMs);
        while (m_states.size() > 1 && std::next(m_states.begin())->first <= oldest)
            m_states.erase(m_states.begin());
    }

    store_model &staleState()
    {
        recordState();
        return m_states.begin()->second;
    }

    void control(const std::shared_ptr<http_exchange> &e)
    {
        if (e->method() == "POST") {
            const std::string wrong = applyControl(
                e->body(),
                {{"lose_answers_percent",
                  [this](const json &v) { m_faults.loseAnswersPercent = v.get<int>(); }},
                 {"lose_next_answers",
                  [this](const json &v) { m_faults.loseNextAnswers = v.get<int>(); }},
                 {"delay_ms", [this](const json &v) { m_faults.delayMs = v.get<std::int64_t>(); }},
                 {"down", [this](const json &v) { m_faults.isDown = v.get<bool>(); }},
                 {"stale_ms",
                  [this](const json &v) { m_faults.staleMs = v.get<std::int64_t>(); }}});
            if (!wrong.empty())
                return e->answer(400, errorBody(wrong));
            if (m_faults.staleMs == 0)
                m_states.clear();
            if (m_faults.isDown) {
                for (const watcher &w : m_watchers)
                    w.exchange->drop();
                m_watchers.clear();
            }
        }
        e->answer(200,
                  json({{"lose_answers_percent", m_faults.loseAnswersPercent},
                        {"lose_next_answers", m_faults.loseNextAnswers},
                        {"delay_ms", m_faults.delayMs},
                        {"down", m_faults.isDown},
                        {"stale_ms", m_faults.staleMs}})
                      .dump());
    }

    json stats() const
    {
        return {{"calls", m_calls},
                {"write_calls", m_writeCalls},
                {"read_calls", m_readCalls},
                {"watches", m_watchers.size()},
                {"lost_answers", m_lostAnswers},
                {"revision", m_store.revision()},
                {"writes", m_store.writes()}};
    }

    event_loop &m_loop;
    store_model m_store;
    store_faults m_faults;
    seeded_random m_random;
    std::vector<watcher> m_watchers;
    std::map<instant, store_model> m_states;
    std::int64_t m_calls = 0;
    std::int64_t m_writeCalls = 0;
    std::int64_t m_readCalls = 0;
    std::int64_t m_lostAnswers = 0;
    http_service m_service;
};

} // namespace

int main(int argc, char **argv)
{
    std::string where = "127.0.0.1:0";
    std::uint64_t seed = 1;
    store_faults faults;
    CLI::App app("Stand-in for the platform's store: the etcd v3 JSON gateway in memory.");
    app.add_option("--listen", where, "Address as IP:PORT; port 0 selects a free port");
    app.add_option("--seed", seed, "Seed of the random faults");
    app.add_option("--lose-answers-percent", faults.loseAnswersPercent,
                   "Share of writes whose response is lost after they took effect");
    app.add_option("--lose-next-answers", faults.loseNextAnswers,
                   "Number of first writes whose response is lost after they took effect");
    app.add_option("--delay-ms", faults.delayMs, "Delay of each response in ms");
    app.add_option("--stale-ms", faults.staleMs,
                   "Age of the state that reads outside of transactions return, in ms");
    app.add_flag("--down", faults.isDown, "Start with the store down");
    CLI11_PARSE(app, argc, argv);

    event_loop loop;
    store_program program(loop, faults, seed);
    if (!program.listen(where)) {
        fmt::print(stderr, "standin_store: cannot listen on {}\n", where);
        return 1;
    }
    loop.onSignal(SIGTERM, [&loop] { loop.stop(); });
    loop.onSignal(SIGINT, [&loop] { loop.stop(); });
    loop.run();
    return 0;
}
