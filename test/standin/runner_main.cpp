// The program standin_runner: serves any number of runners on consecutive ports.

#include "control_body.h"
#include "http_service.h"
#include "protocol/protocol.h"
#include "runner_model.h"

#include <CLI/CLI.hpp>
#include <csignal>
#include <fmt/format.h>
#include <unordered_map>

using namespace crocuswind;
using namespace crocuswind::standin;
using nlohmann::json;

namespace {

class runner_program
{
public:
    runner_program(event_loop &loop, const runner_settings &settings, int count, std::uint64_t seed,
                   std::string service, std::string dataCentre)
        : m_loop(loop)
        , m_service(std::move(service))
        , m_dataCentre(std::move(dataCentre))
        , m_server(loop, [this](const std::shared_ptr<http_exchange> &e) { handle(e); })
    {
        for (int i = 0; i < count; ++i) {
            runner_settings one = settings;
            if (count > 1)
                one.name += fmt::format("-{}", i + 1);
            m_runners.push_back({runner_model(one, seed + std::uint64_t(i), m_audit), 0});
        }
    }

    bool listen(const std::string &where)
    {
        if (!m_server.listen(where, int(m_runners.size())))
            return false;
        m_server.announce();
        return true;
    }

private:
    struct served_runner
    {
        runner_model model;
        timer_id timer;
    };

    struct open_request
    {
        std::shared_ptr<http_exchange> exchange;
        std::string id;
        std::string payload;
    };

    void handle(const std::shared_ptr<http_exchange> &e)
    {
        if (e->path() == "/run" && e->method() == "POST")
            return run(e);
        if (e->path() == "/stats")
            return e->answer(200, stats(*e).dump());
        if (e->path() == "/hosts")
            return e->answer(200, hosts());
        if (e->path() == "/control" && e->method() == "POST")
            return control(e);
        e->answer(404, errorBody("paths are /run, /stats, /hosts and /control"));
    }

    void run(const std::shared_ptr<http_exchange> &e)
    {
        const instant now = m_loop.now();
        const std::string id = e->header("x-crocuswind-request");
        const std::string timeLeft = e->header("x-crocuswind-time-left-ms");
        const instant deadline = timeLeft.empty()
            ? instant::max()
            : deadlineFromTimeLeft(now, std::strtoll(timeLeft.c_str(), nullptr, 10));
        const std::uint64_t token = ++m_lastToken;
        m_open[token] = {e, id, e->body()};
        processCompletions(e->listener());
        // A runner is not told whether a request is unrepeatable, so `crocuswind load` marks the
        // payloads of unrepeatable requests with this prefix.
        const bool isUnrepeatable = e->body().rfind("once-", 0) == 0;
        m_runners[e->listener()].model.arrive(now, token, id, deadline, isUnrepeatable);
        processCompletions(e->listener());
    }

    /// Answers the completed requests and sets the timer to the next completion.
    void processCompletions(std::size_t index)
    {
        served_runner &runner = m_runners[index];
        for (const completed_request &f : runner.model.advance(m_loop.now()))
            finish(runner.model, f);
        m_loop.cancel(runner.timer);
        runner.timer = 0;
        if (const auto next = runner.model.nextCompletion())
            runner.timer = m_loop.callAt(*next, [this, index] { processCompletions(index); });
    }

    void finish(runner_model &runner, const completed_request &f)
    {
        const auto found = m_open.find(f.token);
        if (found == m_open.end())
            return;
        const open_request request = std::move(found->second);
        m_open.erase(found);
        header_list headers = {{"x-crocuswind-request", request.id}};
        if (runner.settings().isLeaving)
            headers.emplace_back("x-crocuswind-leaving", "1");
        // Holds the request's identifier, so that the caller can verify that the response belongs
        // to its request.
        const std::string body = json({{"request", request.id},
                                       {"runner", runner.settings().name},
                                       {"payload", request.payload}})
                                     .dump(-1, ' ', false, json::error_handler_t::replace);
        switch (f.end) {
        case request_completion::answered:
            return request.exchange->answer(200, body, headers);
        case request_completion::failed:
            return request.exchange->answer(500, errorBody("the runner fails"), headers);
        case request_completion::refused:
            headers.emplace_back("x-crocuswind-not-started", "1");
            return request.exchange->answer(503, errorBody("not started"), headers);
        case request_completion::truncated:
            return request.exchange->answerTruncated(200, body, body.size() / 2, headers);
        case request_completion::lost:
            return request.exchange->drop();
        }
    }

    json stats(const http_exchange &e) const
    {
        const std::string id = e.parameter("id");
        if (!id.empty())
            return {{"id", id}, {"runs", m_audit.runs(id)}};
        json runners = json::array();
        for (const served_runner &r : m_runners)
            runners.push_back(r.model.stats());
        return {{"all", m_audit.summary()}, {"runners", runners}};
    }

    std::string hosts()
    {
        std::vector<listed_host> list;
        for (std::size_t i = 0; i < m_runners.size(); ++i) {
            const runner_settings &s = m_runners[i].model.settings();
            listed_host host;
            host.name = s.name;
            host.kind = listed_host::host_kind::runner;
            host.dataCentre.value = m_dataCentre;
            host.address = m_server.address(i);
            host.isLeaving = s.isLeaving;
            host.service.value = m_service;
            host.slots = s.slots;
            host.connections = s.connections;
            list.push_back(std::move(host));
        }
        return toHostListBody(list);
    }

    /// Changes the settings of the runner on whose port the request arrived; with `?all=1`, of all
    /// runners.
    void control(const std::shared_ptr<http_exchange> &e)
    {
        const bool isAll = e->parameter("all") == "1";
        for (std::size_t i = 0; i < m_runners.size(); ++i) {
            if (!isAll && i != e->listener())
                continue;
            runner_model &model = m_runners[i].model;
            runner_settings &s = model.settings();
            const std::string wrong = applyControl(
                e->body(),
                {{"slow_factor", [&](const json &v) { s.slowFactor = v.get<double>(); }},
                 {"service_ms", [&](const json &v) { s.serviceMs = v.get<double>(); }},
                 {"error_percent", [&](const json &v) { s.errorPercent = v.get<int>(); }},
                 {"refuse_percent", [&](const json &v) { s.refusePercent = v.get<int>(); }},
                 {"truncate_percent", [&](const json &v) { s.truncatePercent = v.get<int>(); }},
                 {"lose_percent", [&](const json &v) { s.losePercent = v.get<int>(); }},
                 {"leaving",
                  [&](const json &v) {
                      if (v.get<bool>())
                          model.leave(m_loop.now());
                  }},
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
    request_audit m_audit;
    std::vector<served_runner> m_runners;
    std::unordered_map<std::uint64_t, open_request> m_open;
    std::uint64_t m_lastToken = 0;
    std::string m_service;
    std::string m_dataCentre;
    http_service m_server;
};

} // namespace

int main(int argc, char **argv)
{
    std::string where = "127.0.0.1:0";
    std::string service = "drift-check";
    std::string dataCentre = "dakar-1";
    std::uint64_t seed = 1;
    int count = 1;
    runner_settings s;
    s.name = "runner";
    CLI::App app("Stand-in runners: POST /run on consecutive ports, with faults.");
    app.add_option("--listen", where,
                   "Address of the first runner as IP:PORT; port 0 selects a free port");
    app.add_option("--count", count, "Number of runners")->check(CLI::Range(1, 1000));
    app.add_option("--name", s.name, "Name; with several runners, a number is appended");
    app.add_option("--service", service, "Service that the host list shows");
    app.add_option("--data-centre", dataCentre, "Data centre that the host list shows");
    app.add_option("--seed", seed, "Seed of service times and faults");
    app.add_option("--slots", s.slots, "Maximum of concurrently running requests");
    app.add_option("--connections", s.connections, "Maximum of running and waiting requests");
    app.add_option("--service-ms", s.serviceMs, "Mean service time in ms");
    const std::map<std::string, service_distribution> distributions
        = {{"fixed", service_distribution::fixed},
           {"exponential", service_distribution::exponential},
           {"lognormal", service_distribution::lognormal}};
    app.add_option("--distribution", s.distribution, "Distribution of service times")
        ->transform(CLI::CheckedTransformer(distributions));
    app.add_option("--slow-factor", s.slowFactor, "Factor on service times");
    app.add_option("--error-percent", s.errorPercent,
                   "Share of requests answered with 500 immediately");
    app.add_option("--refuse-percent", s.refusePercent,
                   "Share of requests refused before they start");
    app.add_option("--truncate-percent", s.truncatePercent,
                   "Share of requests whose response is truncated");
    app.add_option("--lose-percent", s.losePercent,
                   "Share of requests that run but get no response");
    CLI11_PARSE(app, argc, argv);

    event_loop loop;
    runner_program program(loop, s, count, seed, service, dataCentre);
    if (!program.listen(where)) {
        fmt::print(stderr, "standin_runner: cannot listen on {}\n", where);
        return 1;
    }
    loop.onSignal(SIGTERM, [&loop] { loop.stop(); });
    loop.onSignal(SIGINT, [&loop] { loop.stop(); });
    loop.run();
    return 0;
}
