/// Defines a small site of real processes for tests: the stand-ins for the platform and any number
/// of entry hosts. All listen on the loopback interface, on ports that the system chooses.
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
    int workers = 8; ///< Enough that each of two shards owns some workers.
};

/// The data centres of a site and additional flags of its programs.
struct site_settings
{
    std::vector<site_data_centre> dataCentres = {site_data_centre{}};
    std::vector<std::string> runnerFlags; ///< Additional flags of every runner program.
    std::vector<std::string> workerFlags; ///< Additional flags of every worker program.
    std::vector<std::string> hostFlags; ///< Additional flags of every entry host.
};

/// The process of an entry host and the addresses on which it listens.
struct site_host
{
    std::string name;
    std::string dataCentre;
    int seats = 1;
    std::unique_ptr<server_process> process;
    std::string callers; ///< Address for callers, IP:PORT.
    std::string peers; ///< Address for other entry hosts, IP:PORT.
};

/// Runs a site. The destructor kills all of its processes.
class site
{
public:
    explicit site(site_settings settings);
    ~site();

    /// Starts the stand-ins and the entry hosts, publishes a configuration with the services
    /// `match` and `check` of the teams `lab` and `yard`, and waits until every host is ready.
    /// Returns false if any of this fails; failure() then returns the reason.
    bool start();

    const std::string &failure() const { return m_failure; }

    /// Records why a step of a test failed; failure() returns it.
    void setFailure(const std::string &reason) { m_failure = reason; }

    /// Starts an entry host on new ports; also restarts one whose process has ended.
    bool startHost(std::size_t number);

    /// Replaces the host list with the current runners, workers and entry hosts.
    bool publishHosts();

    site_host &host(std::size_t number) { return *m_hosts.at(number); }
    std::size_t hostCount() const { return m_hosts.size(); }

    /// Runs the event loop and polls the condition until it holds, for at most 60 s. Returns
    /// whether it holds.
    bool waitFor(const std::function<bool()> &condition);

    /// Sends an HTTP request and waits for the result.
    http_result call(const std::string &to, const std::string &method, const std::string &path,
                     const std::string &body = {}, duration timeout = 20s);

    /// Sends an HTTP request without waiting. \p done is called during a later waitFor() or call().
    void send(const std::string &to, const std::string &method, const std::string &path,
              const std::string &body, http_client::done_callback done);

    /// Sends a GET request and returns the parsed response, or a discarded value if the response is
    /// not JSON.
    nlohmann::json get(const std::string &to, const std::string &path);

    /// Changes the injected faults of a stand-in; with \p all, of every runner or worker of its
    /// program.
    void control(const std::string &to, const nlohmann::json &faults, bool all = false);

    const std::string &store() const { return m_store; }
    const std::string &hostList() const { return m_hostList; }
    const std::string &runners(std::size_t dataCentre) const { return m_runners.at(dataCentre); }
    const std::string &workers(std::size_t dataCentre) const { return m_workers.at(dataCentre); }

    /// Returns whether the host answers `/readyz` with status 200.
    bool isReady(std::size_t number);

    /// Returns the index of the first host that reports to own the shard, or hostCount() if there
    /// is none. A host that does not answer within 1 s is skipped.
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
