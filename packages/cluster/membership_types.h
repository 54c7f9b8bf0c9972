/// Defines the members and the gossip messages between entry hosts.
#ifndef CROCUSWIND_CLUSTER_MEMBERSHIP_TYPES_H
#define CROCUSWIND_CLUSTER_MEMBERSHIP_TYPES_H

#include "cluster_types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace crocuswind {

/// The state of a member in a host's view. Of two reports with equal incarnation and refutation,
/// the one with the later enumerator wins.
enum class member_state { alive, suspect, dead, left };

/// Largest number of members in one digest; it keeps the traffic of each host constant as the fleet
/// grows.
constexpr std::size_t maxDigestMembers = 16;

/// Largest number of members in a digest within a data centre, where messages are more frequent.
constexpr std::size_t maxLocalDigestMembers = 8;

/// Largest number of services for which a member reports the expected wait.
constexpr std::size_t maxReportedWaits = 16;

/// The report of one member in a digest.
struct member_report
{
    host_id host;
    data_centre_id dataCentre;
    std::string address; ///< Numeric IP address and port of its peer link.
    incarnation incarnationNumber = 0;
    std::int64_t refutation = 0; ///< Incremented by the member itself to refute a suspicion.
    member_state state = member_state::alive;
    /// Incremented by the member when its report changes and with each probe round; orders the
    /// fields below.
    std::int64_t heartbeat = 0;
    bool leaving = false; ///< The member drains and gets no new work.
    int loadPercent = 0; ///< Share of its slots that is in use.
    std::int64_t configRevision = 0;
    bool watching = false; ///< The member watches the store for configuration.
    std::optional<int> seat;
    std::int64_t seatEpoch = 0;
    /// Expected wait in milliseconds by `serviceHash`; hashes keep the reports short.
    std::vector<std::pair<std::uint32_t, std::uint32_t>> waits;
};

/// Returns the hash that identifies a service in the reported waits.
std::uint32_t serviceHash(const service_id &service);

/// The members and seats that a host reports to another. The first report is the sender's own.
struct member_digest
{
    std::vector<member_report> members;
    /// The sender knows all seats of its data centre, from the store or from its peers.
    bool seatsKnown = false;
    std::vector<seat_claim> seats; ///< Highest known claims in the sender's data centre.
};

/// First message on a link; identifies the sender.
struct peer_hello
{
    host_id host;
    data_centre_id dataCentre;
    std::string address;
    incarnation incarnationNumber = 0;
};

/// Requests a `membership_probe_answer`; with sequence 0 it only carries updates and is not
/// answered.
struct membership_probe
{
    std::int64_t sequence = 0;
    member_digest digest;
};

/// Answers a probe. If `subject` is not empty, the sender has probed that host indirectly and
/// reports that it answered.
struct membership_probe_answer
{
    std::int64_t sequence = 0;
    host_id subject;
    member_digest digest;
};

/// Requests the receiver to probe another host and to report its answer under this sequence. The
/// sender's report of the target is included, so that the target can refute a suspicion.
struct membership_indirect_probe
{
    std::int64_t sequence = 0;
    member_report target;
};

/// Any message between two `membership_core` instances.
using membership_message
    = std::variant<membership_probe, membership_probe_answer, membership_indirect_probe>;

/// A member in this host's view.
struct member
{
    member_report report;
    instant since; ///< When it entered its current state in this host's view.
    bool listed = false; ///< The last non-empty host list contains it.
};

} // namespace crocuswind

#endif
