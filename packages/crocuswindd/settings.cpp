#include "settings.h"

#include <CLI/CLI.hpp>
#include <arpa/inet.h>
#include <charconv>
#include <fmt/format.h>

namespace crocuswind {

namespace {

/// An option with its flag and its environment variable, either of which a finding may name.
struct option_source
{
    std::string flag;
    std::string variable;
    CLI::Option *option = nullptr;

    source_place place() const
    {
        // CLI11 does not tell whether a value came from the environment or the command line. The
        // variable is named if its value equals the parsed one.
        const char *fromEnvironment = std::getenv(variable.c_str());
        const bool isFromVariable = fromEnvironment && !option->results().empty()
            && option->results()[0] == fromEnvironment;
        return source_place{isFromVariable ? variable : flag, 0, 0};
    }
};

std::string variableName(const std::string &flag)
{
    std::string name = "CROCUSWIND_";
    for (char c : flag.substr(2))
        name += c == '-' ? '_' : char(std::toupper(static_cast<unsigned char>(c)));
    return name;
}

class option_set
{
public:
    explicit option_set(CLI::App &app)
        : m_app(app)
    { }

    template <class value>
    void add(const std::string &flag, value &target, const std::string &help)
    {
        const std::string variable = variableName(flag);
        CLI::Option *option = m_app.add_option(flag, target, help + " [" + variable + "]");
        option->envname(variable);
        m_sources.push_back({flag, variable, option});
    }

    void report(const std::string &flag, const std::string &message)
    {
        for (const option_source &source : m_sources) {
            if (source.flag == flag)
                m_problems.push_back({source.place(), message});
        }
    }

    void requireName(const std::string &flag, const std::string &value)
    {
        if (value.empty())
            report(flag, "is required");
        else if (!isValidName(value))
            report(flag,
                   fmt::format("'{}' is not a name: use 1 to 63 of a-z, 0-9, '-' and '.'", value));
    }

    void requireAddress(const std::string &flag, const std::string &value)
    {
        if (value.empty())
            report(flag, "is required");
        else if (!isSocketAddress(value))
            report(flag, fmt::format("'{}' is not IP:PORT, for example 127.0.0.1:7000", value));
    }

    void requireRange(const std::string &flag, std::int64_t value, std::int64_t low,
                      std::int64_t high)
    {
        if (value < low || value > high)
            report(flag, fmt::format("{} is not between {} and {}", value, low, high));
    }

    findings takeProblems() { return std::move(m_problems); }

private:
    CLI::App &m_app;
    std::vector<option_source> m_sources;
    findings m_problems;
};

void parsePeers(const std::vector<std::string> &texts, option_set &options,
                std::vector<peer_setting> &peers)
{
    for (const std::string &text : texts) {
        const auto separator = text.find('=');
        const std::string name = text.substr(0, separator);
        const std::string address
            = separator == std::string::npos ? "" : text.substr(separator + 1);
        if (!isValidName(name) || !isSocketAddress(address))
            options.report("--peer", fmt::format("'{}' is not NAME=IP:PORT", text));
        else
            peers.push_back({host_id{name}, address});
    }
}

void validateTls(const daemon_settings &settings, option_set &options)
{
    const int givenCount = !settings.tlsCertificate.empty() + !settings.tlsKey.empty()
        + !settings.tlsAuthority.empty();
    if (givenCount != 0 && givenCount != 3)
        options.report("--tls-certificate",
                       "needs --tls-certificate, --tls-key and --tls-authority together");
}

} // namespace

bool isSocketAddress(const std::string &address)
{
    const auto colon = address.rfind(':');
    if (colon == std::string::npos)
        return false;
    std::string host = address.substr(0, colon);
    int family = AF_INET;
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
        family = AF_INET6;
    }
    unsigned char parsed[sizeof(in6_addr)];
    if (inet_pton(family, host.c_str(), parsed) != 1)
        return false;
    std::uint16_t port = 0;
    const char *end = address.data() + address.size();
    const auto [stop, error] = std::from_chars(address.data() + colon + 1, end, port);
    return error == std::errc() && stop == end;
}

tl::expected<daemon_settings, settings_failure> parseDaemonSettings(int argc,
                                                                    const char *const *argv)
{
    daemon_settings settings;
    std::vector<std::string> peers;
    CLI::App app{"crocuswindd: an entry host of the crocuswind scheduler.\n"
                 "Exit status: 0 stopped as asked, 1 failed, 2 wrong settings.",
                 "crocuswindd"};
    option_set options(app);
    options.add("--host", settings.host.value, "Name of this entry host");
    options.add("--data-centre", settings.dataCentre.value, "Data centre of this entry host");
    options.add("--listen", settings.listen, "IP:PORT for callers and operators");
    options.add("--peer-listen", settings.peerListen, "IP:PORT for other entry hosts");
    options.add("--store", settings.store, "IP:PORT of the store's JSON gateway");
    options.add("--host-list", settings.hostList, "IP:PORT of the host list");
    options.add("--peer", peers, "Another entry host as NAME=IP:PORT; may be repeated");
    options.add("--seats", settings.seats,
                "Entry hosts that share this data centre's runners, 1 to 8");
    options.add("--shards", settings.shards, "Shards of this data centre's batch state, 1 to 64");
    options.add("--balancer-delay-ms", settings.balancerDelayMs,
                "Time to serve after becoming unready on a stop, in ms");
    options.add("--drain-limit-ms", settings.drainLimitMs,
                "Time to wait for requests in flight on a stop, in ms");
    options.add("--span-fd", settings.spanDescriptor, "File descriptor for spans, -1 for none");
    options.add("--tls-certificate", settings.tlsCertificate,
                "PEM file of this host's certificate");
    options.add("--tls-key", settings.tlsKey, "PEM file of this host's key");
    options.add("--tls-authority", settings.tlsAuthority, "PEM file of the peers' authority");
    options.add("--log-level", settings.logLevel, "debug, info, warning or error");

    try {
        app.parse(argc, argv);
    } catch (const CLI::CallForHelp &) {
        return tl::unexpected(settings_failure{true, app.help(), {}});
    } catch (const CLI::ParseError &error) {
        return tl::unexpected(settings_failure{false, error.what(), {}});
    }

    options.requireName("--host", settings.host.value);
    options.requireName("--data-centre", settings.dataCentre.value);
    options.requireAddress("--listen", settings.listen);
    options.requireAddress("--peer-listen", settings.peerListen);
    options.requireAddress("--store", settings.store);
    options.requireAddress("--host-list", settings.hostList);
    options.requireRange("--seats", settings.seats, 1, 8);
    options.requireRange("--shards", settings.shards, 1, 64);
    options.requireRange("--balancer-delay-ms", settings.balancerDelayMs, 0, 60000);
    options.requireRange("--drain-limit-ms", settings.drainLimitMs, 0, 600000);
    if (settings.logLevel != "debug" && settings.logLevel != "info"
        && settings.logLevel != "warning" && settings.logLevel != "error")
        options.report("--log-level", fmt::format("'{}' is not a level", settings.logLevel));
    parsePeers(peers, options, settings.peers);
    validateTls(settings, options);

    findings problems = options.takeProblems();
    if (!problems.empty())
        return tl::unexpected(settings_failure{false, "the settings are not valid", problems});
    return settings;
}

} // namespace crocuswind
