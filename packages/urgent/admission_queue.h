/// Defines the queues of admitted requests and the order in which they are served (design 2.3,
/// "Admission control").
#ifndef CROCUSWIND_URGENT_ADMISSION_QUEUE_H
#define CROCUSWIND_URGENT_ADMISSION_QUEUE_H

#include "base/base.h"
#include "urgent_events.h"
#include "urgent_settings.h"

#include <array>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace crocuswind {

/// Identifies a request within the core.
using request_key = std::uint64_t;

/// The slots of one service as the queue needs them.
struct service_capacity
{
    int slots = 0; ///< Of this host.
    int freeSlots = 0;
    duration serviceTime{0};
};

/// Queues by service, team and class. A team is guaranteed slots in proportion to its weight and
/// borrows idle ones; teams that the configuration does not name share one entry without a
/// guarantee.
///
/// The order is: urgent requests of teams within their guarantee, normal requests of teams within
/// it, urgent requests beyond it, normal requests beyond it; within each, the team furthest below
/// its share. Use is averaged over about a second, so that a short burst is not held back. Requests
/// beyond a guarantee leave a reserve of free slots to urgent ones within it; normal ones count as
/// within it up to the guarantee less this reserve.
class admission_queue
{
public:
    explicit admission_queue(const urgent_settings &settings);

    /// Sets the weights. Teams that are not named lose theirs, but keep what they have queued.
    void configure(const std::vector<urgent_team_quota> &quotas);

    /// Returns the number of a team; 0 for all teams without a quota.
    std::size_t findTeam(const team_id &team) const;
    std::size_t teamCount() const { return m_teams.size(); }
    const team_id &teamName(std::size_t team) const { return m_teams[team].name; }

    /// Returns the slots that a team is guaranteed of \p slots.
    double guarantee(std::size_t team, int slots) const;

    /// Estimates how long a new request would be queued, from the requests that go before it.
    duration expectedWait(std::size_t service, std::size_t team, urgency level,
                          const service_capacity &capacity) const;

    /// Admits a request of \p bytes, whose payload counts as held until discard(). Returns a reason
    /// if it is refused. A full queue makes room by dropping the newest request, normal before
    /// urgent, of the team that is furthest above its part; these are added to \p displaced, and
    /// their payloads no longer count.
    std::optional<outcome_reason> admit(std::size_t service, std::size_t team, urgency level,
                                        request_key key, std::size_t bytes,
                                        std::vector<request_key> *displaced);

    /// Puts an admitted request, whose payload of \p bytes still counts, before all others of its
    /// team and class, for a further attempt.
    void putFirst(std::size_t service, std::size_t team, urgency level, request_key key,
                  std::size_t bytes);

    /// Returns the request to be served next, or nothing if none may use a free slot.
    std::optional<request_key> next(std::size_t service, instant now,
                                    const service_capacity &capacity);

    /// Takes a request out of its queue, if it is there.
    void remove(std::size_t service, std::size_t team, urgency level, request_key key);

    /// Counts a slot as used by a team, or as given back.
    void countStart(std::size_t service, std::size_t team, urgency level, instant now);
    void countEnd(std::size_t service, std::size_t team, urgency level, instant now);

    /// Stops counting the payload of an admitted request.
    void discard(std::size_t team, std::size_t bytes);

    std::size_t queued() const { return m_queued; }
    std::size_t queuedFor(std::size_t service) const;
    std::size_t payloadBytes() const { return m_payloadBytes; }

    /// Returns the keys of all queued requests of a service, by team and class, oldest first.
    std::vector<request_key> keys(std::size_t service) const;

    /// Appends a description of each violated internal invariant.
    void checkInvariants(std::vector<std::string> *violations) const;

private:
    struct team_state
    {
        team_id name;
        double weight = 0;
        std::size_t queued = 0; ///< Over all services.
        std::size_t payloadBytes = 0;
    };
    /// One team's requests for one service.
    struct cell
    {
        std::array<std::deque<request_key>, 2> lanes; ///< By urgency.
        int running = 0;
        int runningUrgent = 0;
        double averageUrgent = 0; ///< Slots used by urgent requests, averaged over about a second.
        double averageRunning = 0; ///< Slots used by all, averaged alike.
        instant averagedAt;
        bool isEmpty() const { return lanes[0].empty() && lanes[1].empty(); }
    };

    cell &cellOf(std::size_t service, std::size_t team);
    const cell *findCell(std::size_t service, std::size_t team) const;
    static void average(cell &c, instant now);
    double share(std::size_t team) const;
    bool makeRoom(std::size_t team, std::size_t bytes, std::vector<request_key> *displaced);
    void dropNewest(std::size_t team, std::vector<request_key> *displaced);
    void drop(std::size_t service, std::size_t team, urgency level, request_key key,
              std::vector<request_key> *displaced);

    std::size_t m_maxQueuedForTeam;
    std::size_t m_maxQueued;
    std::size_t m_maxPayloadBytes;
    double m_urgentReserve;
    std::vector<team_state> m_teams; ///< The first stands for all teams without a quota.
    std::map<team_id, std::size_t> m_teamByName;
    double m_totalWeight = 0;
    std::vector<std::vector<cell>> m_cells; ///< By service and team.
    std::map<request_key, std::size_t> m_bytesOf; ///< Of queued requests.
    std::size_t m_queued = 0;
    std::size_t m_payloadBytes = 0;
};

} // namespace crocuswind

#endif
