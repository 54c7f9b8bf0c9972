/// Defines the host list of the platform, and parses and formats its JSON body.
#ifndef CROCUSWIND_PROTOCOL_HOST_LIST_BODY_H
#define CROCUSWIND_PROTOCOL_HOST_LIST_BODY_H

#include "base/base.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace crocuswind {

/// One host of the list. The kind determines which of the last fields are set.
struct listed_host
{
    enum class host_kind { worker, runner, entry };

    std::string name;
    host_kind kind = host_kind::worker;
    data_centre_id dataCentre;
    rack_id rack; ///< Empty if the list does not give a rack.
    std::string address; ///< `ip:port`.
    bool isLeaving = false; ///< The host must get no new work.

    int cores = 0; ///< Workers only.
    std::int64_t memoryMb = 0; ///< Workers only.
    int accelerators = 0; ///< Workers only.
    service_id service; ///< Runners only.
    int slots = 0; ///< Runners only.
    int connections = 0; ///< Runners only.
    std::string peerAddress; ///< Entry hosts only: `ip:port` of the peer links.
};

/// The parsed host list.
struct host_list
{
    std::vector<listed_host> hosts;
    /// One message for each of the first 16 entries that were left out.
    std::vector<std::string> faults;
    std::size_t skippedEntries = 0; ///< Number of entries left out.
};

/// Parses the body of `GET /v1/hosts`. An invalid entry is left out; the other entries are kept. A
/// host in any state other than `live` counts as leaving, so that a host in an unknown state gets
/// no new work. Returns an error message if the body is not a host list.
tl::expected<host_list, std::string> parseHostList(std::string_view body);

/// Formats a host list. The stand-ins for the platform use it.
std::string toHostListBody(const std::vector<listed_host> &hosts);

} // namespace crocuswind

#endif
