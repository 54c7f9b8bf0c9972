/// Defines a small site of real processes for tests: the platform's stand-ins and any number of
/// entry hosts, all on loopback with ports that the system chooses.
#ifndef CROCUSWIND_STANDIN_SITE_H
#define CROCUSWIND_STANDIN_SITE_H

#include "server_process.h"

#include "io/io.h"

#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace crocuswind::standin {

/// One data centre of a site.
struct site_data_centre
{
    std::string name = "dakar-1";
    int entryHosts = 2;
    int runners = 2;
    int workers = 8; ///< Enough that each of two shards has some of them.
};

/// What a site consists of.
struct site_settings
{
    std::vector<site_data_centre> dataCentres = {site_data_centre{}};
    std::vector<std::string> runnerFlags; ///< Further flags of every runner program.
    std::vector<std::string> workerFlags; ///< Further flags of every worker program.
    std::vector<std::string> hostFlags; ///< Further flags of every entry host.
};

/// An entry host's process and where it listens.
struct site_host
{
    std::string name;
    std::string dataCentre;
    int seats = 1;
    std::unique_ptr<server_process> process;
    std::string callers; ///< IP:PORT.
    std::string peers; ///< IP:PORT.
};

/// Runs a site. Everything is killed with the object.
class site
{
public:
    explicit site(site_settings settings);
    ~site();

    /// Starts the stand-ins and the entry hosts, publishes a configuration with the services
    /// `match` and `check` of the teams `lab` and `yard`, and waits until every host is ready.
    /// Returns false, with the reason in failure(), if any part does not come up.
    bool start();

    const std::string &failure() const { return m_failure; }

    /// Records why a step of a test did not come about, for failure().
    void setFailure(const std::string &reason) { m_failure = reason; }

    /// Starts an entry host (again, after its process has ended) on new ports.
    bool startHost(std::size_t number);

    /// Hands the present runners, workers and entry hosts to the host list.
    bool publishHosts();

    site_host &host(std::size_t number) { return *m_hosts.at(number); }
    std::size_t hostCount() const { return m_hosts.size(); }

    /// Waits until the condition holds, polling it with the loop running, at most 60 s.
    bool waitFor(const std::function<bool()> &condition);

    /// Sends one HTTP call and waits for its result.
    http_result call(const std::string &to, const std::string &method, const std::string &path,
                     const std::string &body = {}, duration limit = 20s);

    /// Sends one HTTP call and does not wait; \p done is called from waitFor() or call().
    void send(const std::string &to, const std::string &method, const std::string &path,
              const std::string &body, http_client::done_callback done);

    /// Returns the parsed answer to a GET, or null.
    nlohmann::json get(const std::string &to, const std::string &path);

    /// Changes the faults of a stand-in.
    void control(const std::string &to, const nlohmann::json &faults, bool all = false);

    const std::string &store() const { return m_store; }
    const std::string &hostList() const { return m_hostList; }
    const std::string &runners(std::size_t dataCentre) const { return m_runners.at(dataCentre); }
    const std::string &workers(std::size_t dataCentre) const { return m_workers.at(dataCentre); }

    /// Returns whether the host answers `/readyz` with 200.
    bool isReady(std::size_t number);

    /// Returns the number of a host that owns the shard, or hostCount() if none does. A host that
    /// does not answer within a second is passed over.
    std::size_t ownerOf(int shard);

    event_loop &loop() { return m_loop; }

private:
    std::string startStandin(const std::string &program, const std::vector<std::string> &flags);
    bool publishConfiguration();
    bool seesWholeSite(std::size_t number);

    site_settings m_settings;
    event_loop m_loop;
    http_client m_client;
    std::string m_failure;
    std::vector<std::unique_ptr<server_process>> m_standins;
    std::string m_store;
    std::string m_hostList;
    std::vector<std::string> m_runners;
    std::vector<std::string> m_workers;
    std::vector<std::unique_ptr<site_host>> m_hosts;
};

} // namespace crocuswind::standin

#endif
