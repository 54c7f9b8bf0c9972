/// Defines the identifiers that the components exchange. Each kind of name has its own type, so
/// that a worker's name cannot be passed where a team's name is expected.
#ifndef CROCUSWIND_BASE_IDENTIFIERS_H
#define CROCUSWIND_BASE_IDENTIFIERS_H

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>

namespace crocuswind {

/// A name of one kind, compared as text.
/// \code
/// worker_id w{"worker-7"};
/// \endcode
template <class tag>
struct name_of
{
    std::string value;

    friend bool operator==(const name_of &a, const name_of &b) { return a.value == b.value; }
    friend bool operator!=(const name_of &a, const name_of &b) { return a.value != b.value; }
    friend bool operator<(const name_of &a, const name_of &b) { return a.value < b.value; }
    bool empty() const { return value.empty(); }
};

using host_id = name_of<struct host_tag>; ///< An entry host.
using worker_id = name_of<struct worker_tag>; ///< A machine that runs tasks.
using runner_id = name_of<struct runner_tag>; ///< A back-end process that answers requests.
using team_id = name_of<struct team_tag>; ///< A tenant with quotas.
using data_centre_id = name_of<struct data_centre_tag>; ///< A zone.
using service_id = name_of<struct service_tag>; ///< A service that runners answer for.
using rack_id = name_of<struct rack_tag>; ///< A rack of workers, one failure domain.

/// Identifies one run of an entry host's process: a restarted process has a higher incarnation. The
/// I/O layer uses the start time in microseconds since the Unix epoch.
using incarnation = std::int64_t;

/// Identifies a request: only the entry host `home`, in the incarnation `epoch`, may dispatch it.
struct request_id
{
    host_id home;
    incarnation epoch = 0;
    std::int64_t sequence = 0;

    friend bool operator==(const request_id &a, const request_id &b)
    {
        return std::tie(a.home, a.epoch, a.sequence) == std::tie(b.home, b.epoch, b.sequence);
    }
    friend bool operator!=(const request_id &a, const request_id &b) { return !(a == b); }
    friend bool operator<(const request_id &a, const request_id &b)
    {
        return std::tie(a.home, a.epoch, a.sequence) < std::tie(b.home, b.epoch, b.sequence);
    }
};

/// Formats a request identifier as `home.incarnation.sequence`.
std::string toString(const request_id &id);

/// Parses `home.incarnation.sequence`; the name of the home may contain dots. Returns nothing if
/// the text is malformed or a number is out of range.
std::optional<request_id> parseRequestId(std::string_view text);

/// Identifies a job. The caller chooses both parts, so a repeated submission names the same job.
struct job_id
{
    team_id team;
    std::string name;

    friend bool operator==(const job_id &a, const job_id &b)
    {
        return a.team == b.team && a.name == b.name;
    }
    friend bool operator!=(const job_id &a, const job_id &b) { return !(a == b); }
    friend bool operator<(const job_id &a, const job_id &b)
    {
        return std::tie(a.team, a.name) < std::tie(b.team, b.name);
    }
};

/// Formats a job identifier as `team/name`.
std::string toString(const job_id &id);

/// Parses `team/name`. Returns nothing unless there is exactly one slash with text on both sides.
std::optional<job_id> parseJobId(std::string_view text);

/// Identifies a shard of a data centre's batch state.
struct shard_id
{
    data_centre_id dataCentre;
    int index = 0;

    friend bool operator==(const shard_id &a, const shard_id &b)
    {
        return a.dataCentre == b.dataCentre && a.index == b.index;
    }
    friend bool operator!=(const shard_id &a, const shard_id &b) { return !(a == b); }
    friend bool operator<(const shard_id &a, const shard_id &b)
    {
        return std::tie(a.dataCentre, a.index) < std::tie(b.dataCentre, b.index);
    }
};

/// Formats a shard identifier as `data centre/index`, as used in store keys.
std::string toString(const shard_id &id);

/// Returns true if \p text is a valid name: 1 to 63 characters of [a-z0-9-.] that begin and end
/// with a letter or digit. The restriction makes names safe to use in store keys and headers.
bool isValidName(std::string_view text);

/// Returns a hash of \p text that is the same on every machine and in every version (xxHash64).
std::uint64_t stableHash(std::string_view text, std::uint64_t seed = 0);

} // namespace crocuswind

template <class tag>
struct std::hash<crocuswind::name_of<tag>>
{
    std::size_t operator()(const crocuswind::name_of<tag> &n) const noexcept
    {
        return std::hash<std::string>{}(n.value);
    }
};

template <>
struct std::hash<crocuswind::job_id>
{
    std::size_t operator()(const crocuswind::job_id &id) const noexcept
    {
        return std::hash<std::string>{}(id.team.value) * 31 + std::hash<std::string>{}(id.name);
    }
};

#endif
