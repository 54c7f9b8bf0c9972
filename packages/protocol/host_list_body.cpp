#include "host_list_body.h"

#include "store_bodies.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <optional>

namespace crocuswind {

namespace {

using json = nlohmann::json;

constexpr std::size_t maxFaults = 16;
constexpr std::size_t maxAddressLength = 64;
constexpr std::int64_t maxCount = 1'000'000'000;

// Thrown for an invalid entry; caught in this file.
struct unusable_entry
{
    std::string message;
};

std::string textOf(const json &entry, const char *field, bool isRequired)
{
    const auto found = entry.find(field);
    if (found == entry.end() || found->is_null()) {
        if (isRequired)
            throw unusable_entry{fmt::format("'{}' is missing", field)};
        return {};
    }
    if (!found->is_string())
        throw unusable_entry{fmt::format("'{}' is not text", field)};
    return found->get<std::string>();
}

std::string nameOf(const json &entry, const char *field, bool isRequired)
{
    std::string name = textOf(entry, field, isRequired);
    if ((isRequired || !name.empty()) && !isValidName(name))
        throw unusable_entry{fmt::format("'{}' is not a valid name", field)};
    return name;
}

std::string addressOf(const json &entry, const char *field)
{
    std::string address = textOf(entry, field, true);
    if (address.empty() || address.size() > maxAddressLength)
        throw unusable_entry{fmt::format("'{}' is not an address", field)};
    return address;
}

std::int64_t countOf(const json &entry, const char *field, std::int64_t smallest)
{
    const auto found = entry.find(field);
    if (found == entry.end() && smallest == 0)
        return 0;
    if (found == entry.end() || !found->is_number_integer())
        throw unusable_entry{fmt::format("'{}' is not a whole number", field)};
    const bool isHuge
        = found->is_number_unsigned() && found->get<std::uint64_t>() > std::uint64_t(maxCount);
    const auto count = isHuge ? maxCount + 1 : found->get<std::int64_t>();
    if (count < smallest || count > maxCount)
        throw unusable_entry{fmt::format("'{}' is out of range", field)};
    return count;
}

listed_host hostOf(const json &entry)
{
    if (!entry.is_object())
        throw unusable_entry{"not an object"};
    listed_host host;
    host.name = nameOf(entry, "name", true);
    host.dataCentre.value = nameOf(entry, "data_centre", true);
    host.rack.value = nameOf(entry, "rack", false);
    host.address = addressOf(entry, "address");
    host.isLeaving = textOf(entry, "state", false) != "live";
    const std::string kind = textOf(entry, "kind", true);
    if (kind == "worker") {
        host.kind = listed_host::host_kind::worker;
        host.cores = int(countOf(entry, "cores", 1));
        host.memoryMb = countOf(entry, "memory_mb", 1);
        host.accelerators = int(countOf(entry, "accelerators", 0));
    } else if (kind == "runner") {
        host.kind = listed_host::host_kind::runner;
        host.service.value = nameOf(entry, "service", true);
        host.slots = int(countOf(entry, "slots", 1));
        host.connections = int(countOf(entry, "connections", 1));
    } else if (kind == "entry") {
        host.kind = listed_host::host_kind::entry;
        host.peerAddress = addressOf(entry, "peer_address");
    } else {
        throw unusable_entry{"'kind' is not worker, runner or entry"};
    }
    return host;
}

json toJson(const listed_host &host)
{
    json entry = {{"name", host.name},
                  {"data_centre", host.dataCentre.value},
                  {"address", host.address},
                  {"state", host.isLeaving ? "leaving" : "live"}};
    if (!host.rack.empty())
        entry["rack"] = host.rack.value;
    switch (host.kind) {
    case listed_host::host_kind::worker:
        entry["kind"] = "worker";
        entry["cores"] = host.cores;
        entry["memory_mb"] = host.memoryMb;
        entry["accelerators"] = host.accelerators;
        break;
    case listed_host::host_kind::runner:
        entry["kind"] = "runner";
        entry["service"] = host.service.value;
        entry["slots"] = host.slots;
        entry["connections"] = host.connections;
        break;
    case listed_host::host_kind::entry:
        entry["kind"] = "entry";
        entry["peer_address"] = host.peerAddress;
        break;
    }
    return entry;
}

} // namespace

tl::expected<host_list, std::string> parseHostList(std::string_view body)
{
    const std::optional<json> parsed = parseBoundedJson(body);
    if (!parsed)
        return tl::unexpected(std::string("not JSON, or nested too deeply"));
    const auto hosts = parsed->is_object() ? parsed->find("hosts") : parsed->end();
    if (!parsed->is_object() || hosts == parsed->end() || !hosts->is_array())
        return tl::unexpected(std::string("there is no list 'hosts'"));
    host_list list;
    std::size_t position = 0;
    for (const json &entry : *hosts) {
        try {
            list.hosts.push_back(hostOf(entry));
        } catch (const unusable_entry &fault) {
            ++list.skippedEntries;
            if (list.faults.size() < maxFaults)
                list.faults.push_back(fmt::format("entry {}: {}", position, fault.message));
        }
        ++position;
    }
    return list;
}

std::string toHostListBody(const std::vector<listed_host> &hosts)
{
    json entries = json::array();
    for (const listed_host &host : hosts)
        entries.push_back(toJson(host));
    return json{{"hosts", std::move(entries)}}.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace crocuswind
