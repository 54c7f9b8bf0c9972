#include "site.h"

#include "cluster/cluster.h"
#include "protocol/protocol.h"

namespace crocuswind::standin {

namespace {

using json = nlohmann::json;

/// A wait that takes longer fails the test. Test results do not depend on speed below this limit.
constexpr duration waitTimeout = 60s;

constexpr const char *workloadText = R"(
[team.lab]
cores = 16
memory_mb = 65536
urgent_weight = 2

[team.yard]
cores = 16
memory_mb = 65536
urgent_weight = 1

[service.check]
team = "lab"
urgency = "urgent"
repeatable = true
deadline_ms = 5000
cores = 1
memory_mb = 512

[service.match]
team = "yard"
urgency = "urgent"
repeatable = true
deadline_ms = 5000
cores = 1
memory_mb = 512
)";

std::string addressIn(const std::string &line, const std::string &before)
{
    const std::size_t begin = line.find(before);
    if (begin == std::string::npos)
        return std::string();
    const std::size_t address = begin + before.size();
    return line.substr(address, line.find(' ', address) - address);
}

} // namespace

site::site(site_settings settings)
    : m_settings(std::move(settings))
    , m_client(m_loop, http_client_settings{})
{ }

site::~site() = default;

std::string site::startStandin(const std::string &program, const std::vector<std::string> &flags)
{
    m_standins.push_back(std::make_unique<server_process>(
        std::string(CROCUSWIND_BIN) + "/standin_" + program, flags));
    const auto line = m_standins.back()->waitForLine("listening on ");
    if (!line) {
        m_failure = program + " did not start: " + m_standins.back()->output();
        return std::string();
    }
    return addressIn(*line, "listening on ");
}

bool site::start()
{
    m_store = startStandin("store", {});
    m_hostList = startStandin("hosts", {});
    for (const site_data_centre &dc : m_settings.dataCentres) {
        std::vector<std::string> runnerFlags = {"--count",       std::to_string(dc.runners),
                                                "--name",        dc.name + "-runner",
                                                "--data-centre", dc.name,
                                                "--service",     "match"};
        runnerFlags.insert(runnerFlags.end(), m_settings.runnerFlags.begin(),
                           m_settings.runnerFlags.end());
        m_runners.push_back(startStandin("runner", runnerFlags));
        std::vector<std::string> workerFlags = {"--count",       std::to_string(dc.workers),
                                                "--name",        dc.name + "-worker",
                                                "--data-centre", dc.name};
        workerFlags.insert(workerFlags.end(), m_settings.workerFlags.begin(),
                           m_settings.workerFlags.end());
        m_workers.push_back(startStandin("worker", workerFlags));
        for (int i = 0; i < dc.entryHosts; ++i) {
            auto host = std::make_unique<site_host>();
            host->name = dc.name + "-entry-" + std::to_string(i + 1);
            host->dataCentre = dc.name;
            host->seats = dc.entryHosts;
            m_hosts.push_back(std::move(host));
        }
    }
    if (!m_failure.empty() || !publishConfiguration())
        return false;
    for (std::size_t i = 0; i < m_hosts.size(); ++i) {
        if (!startHost(i))
            return false;
    }
    const bool areReady = waitFor([this] {
        for (std::size_t i = 0; i < m_hosts.size(); ++i) {
            if (!isReady(i) || !seesWholeSite(i))
                return false;
        }
        return true;
    });
    if (!areReady)
        m_failure = "not every entry host became ready";
    return areReady;
}

bool site::startHost(std::size_t number)
{
    site_host &host = *m_hosts.at(number);
    std::vector<std::string> flags = {"--host",
                                      host.name,
                                      "--data-centre",
                                      host.dataCentre,
                                      "--listen",
                                      "127.0.0.1:0",
                                      "--peer-listen",
                                      "127.0.0.1:0",
                                      "--store",
                                      m_store,
                                      "--host-list",
                                      m_hostList,
                                      "--seats",
                                      std::to_string(host.seats),
                                      "--balancer-delay-ms",
                                      "200",
                                      "--drain-limit-ms",
                                      "10000"};
    flags.insert(flags.end(), m_settings.hostFlags.begin(), m_settings.hostFlags.end());
    host.process
        = std::make_unique<server_process>(std::string(CROCUSWIND_BIN) + "/crocuswindd", flags);
    const auto line = host.process->waitForLine("Listening on ");
    if (!line) {
        m_failure = host.name + " did not start: " + host.process->output();
        return false;
    }
    host.callers = addressIn(*line, "Listening on ");
    host.peers = addressIn(*line, "and on ");
    return publishHosts();
}

bool site::publishHosts()
{
    std::vector<listed_host> all;
    const auto append = [this, &all](const std::string &from) {
        const auto list = parseHostList(call(from, "GET", "/hosts").body);
        if (list)
            all.insert(all.end(), list->hosts.begin(), list->hosts.end());
    };
    for (std::size_t i = 0; i < m_runners.size(); ++i) {
        append(m_runners[i]);
        append(m_workers[i]);
    }
    for (const auto &host : m_hosts) {
        if (!host->process)
            continue;
        listed_host entry;
        entry.name = host->name;
        entry.kind = listed_host::host_kind::entry;
        entry.dataCentre.value = host->dataCentre;
        entry.address = host->callers;
        entry.peerAddress = host->peers;
        all.push_back(entry);
    }
    const http_result result = call(m_hostList, "POST", "/v1/hosts", toHostListBody(all));
    if (result.status != 200)
        m_failure = "the host list was refused: " + result.body;
    return result.status == 200;
}

bool site::publishConfiguration()
{
    config_set config;
    config.revision = 1;
    config.publication = "first";
    config.author = "test";
    config.files = {{"site.toml", workloadText}};
    store_transaction write;
    write.compares.push_back({configCurrentKey, store_compare::property::version, 0, ""});
    write.puts.push_back({configCurrentKey, encodeConfig(config), 0});
    const store_call request = toStoreCall(write);
    const http_result result = call(m_store, "POST", request.path, request.body);
    if (result.status != 200)
        m_failure = "the configuration was refused: " + result.body;
    return result.status == 200;
}

bool site::waitFor(const std::function<bool()> &condition)
{
    const instant deadline = m_loop.now() + waitTimeout;
    while (m_loop.now() < deadline) {
        for (const auto &standin : m_standins)
            standin->drainOutput();
        for (const auto &host : m_hosts) {
            if (host->process)
                host->process->drainOutput();
        }
        if (condition())
            return true;
        // Polls only every 50 ms, so that a waiting test takes little processor time from the
        // processes of the site.
        m_loop.runUntil([] { return false; }, 50ms);
    }
    return condition();
}

void site::send(const std::string &to, const std::string &method, const std::string &path,
                const std::string &body, http_client::done_callback done)
{
    http_call request;
    request.to = parseEndpoint(to).value_or(ip_endpoint{});
    request.method = method;
    request.path = path;
    request.body = body;
    request.deadline = m_loop.now() + waitTimeout;
    m_client.send(std::move(request), std::move(done));
}

http_result site::call(const std::string &to, const std::string &method, const std::string &path,
                       const std::string &body, duration timeout)
{
    http_call request;
    request.to = parseEndpoint(to).value_or(ip_endpoint{});
    request.method = method;
    request.path = path;
    request.body = body;
    request.deadline = m_loop.now() + timeout;
    http_result answer;
    bool isDone = false;
    m_client.send(std::move(request), [&](const http_result &result) {
        answer = result;
        isDone = true;
    });
    m_loop.runUntil([&isDone] { return isDone; }, timeout + 1s);
    return answer;
}

json site::get(const std::string &to, const std::string &path)
{
    return json::parse(call(to, "GET", path).body, nullptr, false);
}

void site::control(const std::string &to, const json &faults, bool all)
{
    call(to, "POST", all ? "/control?all=1" : "/control", faults.dump());
}

bool site::seesWholeSite(std::size_t number)
{
    const json status = get(host(number).callers, "/v1/status");
    if (!status.is_object() || status["members"].size() + 1 != m_hosts.size())
        return false;
    return status["requests"]["slots"] != 0;
}

std::size_t site::ownerOf(int shard)
{
    for (std::size_t i = 0; i < m_hosts.size(); ++i) {
        const http_result result = call(host(i).callers, "GET", "/v1/status", {}, 1s);
        const json status = json::parse(result.body, nullptr, false);
        if (status.is_object() && status["shards"][std::size_t(shard)]["owner"] == true)
            return i;
    }
    return m_hosts.size();
}

bool site::isReady(std::size_t number)
{
    return call(host(number).callers, "GET", "/readyz", {}, 2s).status == 200;
}

} // namespace crocuswind::standin
