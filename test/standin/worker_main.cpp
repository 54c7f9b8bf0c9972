// The program standin_worker: serves any number of workers on consecutive ports.

#include "control_body.h"
#include "http_service.h"
#include "protocol/protocol.h"
#include "worker_model.h"

#include <CLI/CLI.hpp>
#include <csignal>
#include <deque>
#include <fmt/format.h>

using namespace crocuswind;
using namespace crocuswind::standin;
using nlohmann::json;

namespace {

/// Tasks also end between syncs. All workers are advanced this often, so that the shared audit
/// records completions soon after they occur.
constexpr duration advancePeriod = 50ms;

class worker_program
{
public:
    worker_program(event_loop &loop, const worker_settings &settings, int count, int rackSize,
                   std::string dataCentre)
        : m_loop(loop)
        , m_rackSize(rackSize)
        , m_dataCentre(std::move(dataCentre))
        , m_server(loop, [this](const std::shared_ptr<http_exchange> &e) { handle(e); })
    {
        for (int i = 0; i < count; ++i) {
            worker_settings one = settings;
            if (count > 1)
                one.worker.value += fmt::format("-{}", i + 1);
            one.incarnationNumber = loop.unixMicroseconds(loop.now());
            m_workers.push_back({worker_model(one, m_audit), false, 0});
        }
    }

    bool listen(const std::string &where)
    {
        if (!m_server.listen(where, int(m_workers.size())))
            return false;
        m_server.announce();
        advancePeriodically();
        return true;
    }

private:
    struct served_worker
    {
        worker_model model;
        bool isLeaving;
        std::int64_t answerDelayMs;
    };

    void advanceAll()
    {
        for (served_worker &w : m_workers)
            w.model.advance(m_loop.now());
    }

    void advancePeriodically()
    {
        advanceAll();
        m_loop.callAt(m_loop.now() + advancePeriod, [this] { advancePeriodically(); });
    }

    void handle(const std::shared_ptr<http_exchange> &e)
    {
        if (e->path() == "/v1/sync" && e->method() == "POST")
            return sync(e);
        if (e->path() == "/stats")
            return e->answer(200, stats().dump());
        if (e->path() == "/hosts")
            return e->answer(200, hosts());
        if (e->path() == "/control" && e->method() == "POST")
            return control(e);
        e->answer(404, errorBody("paths are /v1/sync, /stats, /hosts and /control"));
    }

    void sync(const std::shared_ptr<http_exchange> &e)
    {
        served_worker &w = m_workers[e->listener()];
        if (m_loop.now() < w.model.pausedUntil()) {
            m_loop.callAt(w.model.pausedUntil(), [this, e] { sync(e); });
            return;
        }
        const auto request = parseSyncRequest(e->body());
        if (!request)
            return e->answer(400, errorBody(toString(request.error())));
        advanceAll();
        const auto report = w.model.handle(m_loop.now(), *request);
        const int status = report ? 200 : 409;
        const std::string body
            = report ? encodeSyncReport(*report) : encodeStaleEpoch(report.error());
        if (w.answerDelayMs > 0)
            m_loop.callAt(m_loop.now() + std::chrono::milliseconds(w.answerDelayMs),
                          [e, status, body] { e->answer(status, body); });
        else
            e->answer(status, body);
    }

    json stats() const
    {
        json workers = json::array();
        int overcommitments = 0;
        for (const served_worker &w : m_workers) {
            const worker_model &m = w.model;
            overcommitments += m.overcommitments();
            workers.push_back({{"name", m.settings().worker.value},
                               {"cores", double(m.settings().capacity.milliCores) / 1000},
                               {"committed_cores", double(m.committed().milliCores) / 1000},
                               {"highest_cores", double(m.highestCommitted().milliCores) / 1000},
                               {"highest_memory_mb", m.highestCommitted().memoryMb},
                               {"highest_accelerators", m.highestCommitted().accelerators},
                               {"overcommitments", m.overcommitments()},
                               {"stale_epochs", m.staleEpochs()},
                               {"stale_syncs", m.staleSyncs()},
                               {"refused_starts", m.refusedStarts()}});
        }
        return {
            {"all", m_audit.summary()}, {"overcommitments", overcommitments}, {"workers", workers}};
    }

    std::string hosts() const
    {
        std::vector<listed_host> list;
        for (std::size_t i = 0; i < m_workers.size(); ++i) {
            const worker_settings &s = m_workers[i].model.settings();
            listed_host host;
            host.name = s.worker.value;
            host.kind = listed_host::host_kind::worker;
            host.dataCentre.value = m_dataCentre;
            host.rack.value = fmt::format("{}-rack-{}", m_dataCentre, int(i) / m_rackSize + 1);
            host.address = m_server.address(i);
            host.isLeaving = m_workers[i].isLeaving;
            host.cores = int(s.capacity.milliCores / 1000);
            host.memoryMb = s.capacity.memoryMb;
            host.accelerators = int(s.capacity.accelerators);
            list.push_back(std::move(host));
        }
        return toHostListBody(list);
    }

    /// Changes the settings of the worker on whose port the request arrived; with `?all=1`, of all
    /// workers.
    void control(const std::shared_ptr<http_exchange> &e)
    {
        const instant now = m_loop.now();
        const bool isAll = e->parameter("all") == "1";
        for (std::size_t i = 0; i < m_workers.size(); ++i) {
            if (!isAll && i != e->listener())
                continue;
            served_worker &w = m_workers[i];
            const std::string wrong = applyControl(
                e->body(),
                {{"fails_everything",
                  [&](const json &v) { w.model.setFailsEverything(v.get<bool>()); }},
                 {"interference",
                  [&](const json &v) {
                      w.model.advance(now);
                      w.model.setInterference(v.get<double>());
                  }},
                 {"restart",
                  [&](const json &v) {
                      if (v.get<bool>())
                          w.model.restart(now);
                  }},
                 {"pause_ms",
                  [&](const json &v) {
                      w.model.pause(now, now + std::chrono::milliseconds(v.get<std::int64_t>()));
                  }},
                 {"answer_delay_ms",
                  [&](const json &v) { w.answerDelayMs = v.get<std::int64_t>(); }},
                 {"leaving", [&](const json &v) { w.isLeaving = v.get<bool>(); }},
                 {"refuse_connections", [&](const json &v) {
                      if (v.get<bool>())
                          m_server.stopListening(i);
                  }}});
            if (!wrong.empty())
                return e->answer(400, errorBody(wrong));
        }
        e->answer(200, "{}");
    }

    event_loop &m_loop;
    task_audit m_audit;
    std::deque<served_worker> m_workers;
    int m_rackSize;
    std::string m_dataCentre;
    http_service m_server;
};

} // namespace

int main(int argc, char **argv)
{
    std::string where = "127.0.0.1:0";
    std::string dataCentre = "dakar-1";
    int count = 1;
    int rackSize = 6;
    double cores = 32;
    std::int64_t lagMs = 5000;
    worker_settings s;
    s.worker.value = "worker";
    s.capacity.memoryMb = 125000;
    CLI::App app("Stand-in workers: POST /v1/sync on consecutive ports, with faults.");
    app.add_option("--listen", where,
                   "Address of the first worker as IP:PORT; port 0 selects a free port");
    app.add_option("--count", count, "Number of workers")->check(CLI::Range(1, 1000));
    app.add_option("--name", s.worker.value, "Name; with several workers, a number is appended");
    app.add_option("--data-centre", dataCentre, "Data centre that the host list shows");
    app.add_option("--rack-size", rackSize, "Number of workers per rack")
        ->check(CLI::Range(1, 1000));
    app.add_option("--cores", cores, "Processors of each worker");
    app.add_option("--memory-mb", s.capacity.memoryMb, "Memory of each worker in MB");
    app.add_option("--accelerators", s.capacity.accelerators, "Accelerators of each worker");
    app.add_option("--interference", s.interference, "Strength of interference; 0 for none");
    app.add_option("--spread", s.spread,
                   "Maximum factor between actual and declared run times and usage");
    app.add_option("--usage-lag-ms", lagMs, "Lag of usage reports in ms");
    app.add_flag("--fails-everything", s.failsEverything, "Every task fails 50 ms after its start");
    CLI11_PARSE(app, argc, argv);
    s.capacity.milliCores = std::int64_t(cores * 1000);
    s.usageLag = std::chrono::milliseconds(lagMs);

    event_loop loop;
    worker_program program(loop, s, count, rackSize, dataCentre);
    if (!program.listen(where)) {
        fmt::print(stderr, "standin_worker: cannot listen on {}\n", where);
        return 1;
    }
    loop.onSignal(SIGTERM, [&loop] { loop.stop(); });
    loop.onSignal(SIGINT, [&loop] { loop.stop(); });
    loop.run();
    return 0;
}
