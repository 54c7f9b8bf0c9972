/// Defines the members and the messages with which entry hosts learn of each other.
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

/// What is believed of a member. Of two reports with equal incarnation and refutation the later
/// enumerator wins.
enum class member_state { alive, suspect, dead, left };

/// Largest number of members in one digest; it keeps the bytes for each host constant as the fleet
/// grows.
constexpr std::size_t maxDigestMembers = 16;

/// Largest number of members in a digest within a data centre, where messages are more frequent.
constexpr std::size_t maxLocalDigestMembers = 8;

/// Largest number of services whose expected wait a member reports.
constexpr std::size_t maxReportedWaits = 16;

/// One member as told in a digest.
struct member_report
{
    host_id host;
    data_centre_id dataCentre;
    std::string address; ///< Numeric IP address and port of its peer link.
    incarnation incarnationNumber = 0;
    std::int64_t refutation = 0; ///< Raised by the member itself to refute a suspicion.
    member_state state = member_state::alive;
    std::int64_t heartbeat = 0; ///< Raised by the member with each report; orders the fields below.
    bool leaving = false; ///< Drains; it gets no new work.
    int loadPercent = 0; ///< Used part of its slots.
    std::int64_t configRevision = 0;
    bool watching = false; ///< Watches the store for configuration.
    std::optional<int> seat;
    std::int64_t seatEpoch = 0;
    /// Expected wait in milliseconds by `serviceKey`. Hashes keep reports short.
    std::vector<std::pair<std::uint32_t, std::uint32_t>> waits;
};

/// Returns the number under which the expected wait of a service is reported.
std::uint32_t serviceKey(const service_id &service);

/// What a host tells of members and seats. The first report is the sender's own.
struct member_digest
{
    std::vector<member_report> members;
    bool seatsKnown = false; ///< The sender has read the seats of its data centre from the store.
    std::vector<seat_claim> seats; ///< Highest claims of the sender's data centre.
};

/// First message on a link: who the sender is.
struct peer_hello
{
    host_id host;
    data_centre_id dataCentre;
    std::string address;
    incarnation incarnationNumber = 0;
};

/// Asks for a `membership_probe_answer`; a sequence of 0 only brings news and asks for nothing.
struct membership_probe
{
    std::int64_t sequence = 0;
    member_digest digest;
};

/// Answers a probe. If `subject` is not empty, it is sent on behalf of that host, which has
/// answered the sender of this message.
struct membership_probe_answer
{
    std::int64_t sequence = 0;
    host_id subject;
    member_digest digest;
};

/// Asks the receiver to probe another host and to report its answer under this sequence. The
/// sender's report of the target comes along, so that the target can refute a suspicion.
struct membership_indirect_probe
{
    std::int64_t sequence = 0;
    member_report target;
};

/// Any message between the membership cores.
using membership_message
    = std::variant<membership_probe, membership_probe_answer, membership_indirect_probe>;

/// A member as this host sees it.
struct member
{
    member_report report;
    instant since; ///< When it took its present state in this host's view.
    bool listed = false; ///< In the last host list that was not empty.
};

} // namespace crocuswind

#endif
