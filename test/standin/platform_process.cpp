#include "platform_process.h"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <unistd.h>

namespace crocuswind::standin {

platform_process::platform_process(event_loop &loop, std::string name, const std::string &store,
                                   std::string program, const std::string &furtherSettings)
    : m_name(std::move(name))
    , m_program(std::move(program))
    , m_callers{"127.0.0.1", std::uint16_t(freePort(loop))}
    , m_ready{"127.0.0.1", std::uint16_t(freePort(loop))}
    , m_settings(std::filesystem::temp_directory_path()
                 / fmt::format("crocuswind-{}-{}.conf", getpid(), m_name))
{
    const int peers = freePort(loop);
    std::ofstream(m_settings) << fmt::format(
        "node={}\nip=127.0.0.1\nzone=a\nlisten.front={}\nlisten.ready={}\nportRange={},{}\n"
        "platform.address={}\nlimits.cpuShare=1\nbounds.holdMaxMs=10000\n{}",
        m_name, toString(m_callers), toString(m_ready), peers, peers + 1, store, furtherSettings);
}

platform_process::~platform_process()
{
    kill();
    std::remove(m_settings.c_str());
}

void platform_process::start(const std::string &log)
{
    const std::string command = fmt::format("exec {} >>{} 2>&1", m_program, log);
    m_process = std::make_unique<child_process>(
        "/bin/sh", std::vector<std::string>{"-c", command},
        std::vector<std::string>{"CROCUSWIND_NODE_FILE=" + m_settings});
}

void platform_process::kill()
{
    m_process.reset();
}

void platform_process::pause() const
{
    m_process->signal(SIGSTOP);
}

void platform_process::resume() const
{
    m_process->signal(SIGCONT);
}

int freePort(event_loop &loop)
{
    // Below the ports that the system gives to outgoing connections, which could take one while its
    // host restarts. Each test process uses a range of its own.
    constexpr int firstPort = 10000;
    constexpr int portsPerProcess = 16;
    constexpr int ranges = 1300;
    static int next = 0;
    const int first = firstPort + int(getpid()) % ranges * portsPerProcess;
    http_server probe(loop, http_server_settings(), [](const auto &, const auto &) {});
    for (int i = 0; i < portsPerProcess; ++i) {
        const int port = first + next++ % portsPerProcess;
        if (probe.listen({"127.0.0.1", std::uint16_t(port)}))
            return port;
    }
    return probe.listen({"127.0.0.1", 0})->port;
}

} // namespace crocuswind::standin
