/// Defines the host list of the platform and how its JSON body is read.
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

/// One host of the list. Which fields are set depends on the kind.
struct listed_host
{
    enum class host_kind { worker, runner, entry };

    std::string name;
    host_kind kind = host_kind::worker;
    data_centre_id dataCentre;
    rack_id rack; ///< Empty if the list names none.
    std::string address; ///< `ip:port`.
    bool isLeaving = false;

    int cores = 0; ///< Workers.
    std::int64_t memoryMb = 0; ///< Workers.
    int accelerators = 0; ///< Workers.
    service_id service; ///< Runners.
    int slots = 0; ///< Runners.
    int connections = 0; ///< Runners.
    std::string peerAddress; ///< Entry hosts: `ip:port` of the peer links.
};

/// The list as read.
struct host_list
{
    std::vector<listed_host> hosts;
    /// What was wrong with the entries that were left out, at most 16.
    std::vector<std::string> faults;
    std::size_t unusable = 0; ///< Number of entries left out.
};

/// Reads the body of `GET /v1/hosts`. One entry that cannot be used is left out and does not hide
/// the others; a state other than `live` or `leaving` counts as leaving, since nothing new may then
/// be sent there. A body that is not such a list at all gives a message.
tl::expected<host_list, std::string> parseHostList(std::string_view body);

/// Writes a list, as stand-ins for the platform do.
std::string toHostListBody(const std::vector<listed_host> &hosts);

} // namespace crocuswind

#endif
