/// Defines the daemon's settings. Each setting can be given as a flag or an environment variable.
/// All are validated together, and every finding names the flag or variable that the value came
/// from.
#ifndef CROCUSWIND_CROCUSWINDD_SETTINGS_H
#define CROCUSWIND_CROCUSWINDD_SETTINGS_H

#include "base/base.h"

#include <cstdint>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace crocuswind {

/// Another entry host that is known from settings.
struct peer_setting
{
    host_id host;
    std::string address; ///< Peer address as IP:PORT.

    friend bool operator==(const peer_setting &a, const peer_setting &b)
    {
        return a.host == b.host && a.address == b.address;
    }
};

/// All settings of one entry host.
struct daemon_settings
{
    host_id host; ///< This entry host's name.
    data_centre_id dataCentre; ///< Data centre of this entry host.
    std::string listen; ///< IP:PORT for callers and operators.
    std::string peerListen; ///< IP:PORT for other entry hosts.
    std::string store; ///< IP:PORT of the store's JSON gateway.
    std::string hostList; ///< IP:PORT of the host list.
    std::vector<peer_setting> peers; ///< Entry hosts to connect to without the host list.
    int seats = 1; ///< Number of seats of this data centre, 1 to 8.
    int shards = 2; ///< Number of shards of this data centre, 1 to 64.
    std::int64_t balancerDelayMs = 2000; ///< How long a draining host accepts requests, in ms.
    std::int64_t drainLimitMs = 30000; ///< How long a draining host waits for open requests, in ms.
    int spanDescriptor = -1; ///< File descriptor for spans, or -1 for none.
    std::string tlsCertificate; ///< PEM file; empty for plain connections.
    std::string tlsKey; ///< PEM file.
    std::string tlsAuthority; ///< PEM file of the authority that signs the peers' certificates.
    std::string logLevel = "info"; ///< One of debug, info, warning, error.
};

/// Why a command line gave no settings: a request for help, a syntax error or invalid values.
struct settings_failure
{
    bool isHelp = false; ///< The user asked for help; `text` is the help page.
    std::string text; ///< The help page, or a summary of the error.
    findings problems; ///< All invalid values; their place is the flag or variable.
};

/// Reads the settings from the command line and the environment. A flag overrides its variable.
/// All values are validated, and all findings are returned together.
tl::expected<daemon_settings, settings_failure> parseDaemonSettings(int argc,
                                                                    const char *const *argv);

/// Returns true if \p address is an IPv4 or bracketed IPv6 address with a port from 0 to 65535.
bool isSocketAddress(const std::string &address);

} // namespace crocuswind

#endif
