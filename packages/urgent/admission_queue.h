/// Defines the queues of admitted requests and the order of dispatch (design 2.3, "Admission
/// control").
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

/// Identifies a request within a request_core.
using request_key = std::uint64_t;

/// The slots that this host has for one service, and the service time.
struct service_capacity
{
    int slots = 0; ///< This host's slots on healthy runners.
    int freeSlots = 0;
    duration serviceTime{0}; ///< Smoothed.
};

/// Queues of admitted requests by service, team and urgency class. Each team is guaranteed a number
/// of slots in proportion to its weight and may borrow idle slots of other teams. All teams that
/// the configuration does not name share one entry without a guarantee.
///
/// Requests are dispatched in this order: urgent requests of teams within their guarantee, normal
/// requests of teams within it, urgent requests of teams beyond it, normal requests of teams beyond
/// it. Within each class, the team with the lowest ratio of use to guarantee comes first. Slot use
/// is averaged over about a second, so that a short burst is not delayed. Requests beyond a
/// guarantee keep a reserve of slots free for urgent requests within their guarantee. Normal
/// requests count as within the guarantee up to the guarantee less this reserve.
class admission_queue
{
public:
    explicit admission_queue(const urgent_settings &settings);

    /// Sets the weights of the teams. Teams that are not named lose their weight, but their queued
    /// requests stay queued.
    void configure(const std::vector<urgent_team_quota> &quotas);

    /// Returns the number of a team; 0 for all teams without a quota.
    std::size_t findTeam(const team_id &team) const;
    std::size_t teamCount() const { return m_teams.size(); }
    const team_id &teamName(std::size_t team) const { return m_teams[team].name; }

    /// Returns how many of \p slots a team is guaranteed.
    double guarantee(std::size_t team, int slots) const;

    /// Estimates how long a new request would be queued, from the requests ahead of it.
    duration expectedWait(std::size_t service, std::size_t team, urgency level,
                          const service_capacity &capacity) const;

    /// Admits a request with a payload of \p bytes, which is counted until releaseBytes(). Returns
    /// nothing if the request is admitted, otherwise the reason for rejecting it. An urgent request
    /// may displace the newest normal request of its own team. If the whole queue is full, the
    /// newest request, normal before urgent, of the team furthest above its share is displaced.
    /// Displaced requests are appended to \p displaced, and their payloads are no longer counted.
    std::optional<outcome_reason> admit(std::size_t service, std::size_t team, urgency level,
                                        request_key key, std::size_t bytes,
                                        std::vector<request_key> *displaced);

    /// Queues an admitted request ahead of all others of its team and class for a further attempt.
    /// Its payload of \p bytes must still be counted.
    void pushFront(std::size_t service, std::size_t team, urgency level, request_key key,
                   std::size_t bytes);

    /// Returns the request to dispatch next, or nothing if no request may use a free slot. The
    /// request stays queued.
    std::optional<request_key> next(std::size_t service, instant now,
                                    const service_capacity &capacity);

    /// Removes a request from its queue if it is queued.
    void remove(std::size_t service, std::size_t team, urgency level, request_key key);

    /// Counts a slot as taken by a team (countStart) or released by it (countEnd).
    void countStart(std::size_t service, std::size_t team, urgency level, instant now);
    void countEnd(std::size_t service, std::size_t team, urgency level, instant now);

    /// Stops counting the payload of an admitted request.
    void releaseBytes(std::size_t team, std::size_t bytes);

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
    /// The queued and running requests of one team for one service.
    struct team_queue
    {
        std::array<std::deque<request_key>, 2> lanes; ///< By urgency.
        int running = 0;
        int runningUrgent = 0;
        double averageUrgent = 0; ///< Slots used by urgent requests, averaged over about a second.
        double averageRunning = 0; ///< Slots used by all requests, averaged over about a second.
        instant averagedAt;
        bool isEmpty() const { return lanes[0].empty() && lanes[1].empty(); }
    };

    team_queue &teamQueue(std::size_t service, std::size_t team);
    const team_queue *findTeamQueue(std::size_t service, std::size_t team) const;
    static void average(team_queue &c, instant now);
    double share(std::size_t team) const;
    bool displaceOverShare(std::size_t team, std::size_t bytes,
                           std::vector<request_key> *displaced);
    void displaceNewest(std::size_t team, std::vector<request_key> *displaced);
    void displace(std::size_t service, std::size_t team, urgency level, request_key key,
                  std::vector<request_key> *displaced);

    std::size_t m_maxQueuedForTeam;
    std::size_t m_maxQueued;
    std::size_t m_maxPayloadBytes;
    double m_urgentReserve;
    std::vector<team_state> m_teams; ///< Entry 0 represents all teams without a quota.
    std::map<team_id, std::size_t> m_teamByName;
    double m_totalWeight = 0;
    std::vector<std::vector<team_queue>> m_teamQueues; ///< By service and team.
    std::map<request_key, std::size_t> m_bytesOf; ///< Payload sizes of the queued requests.
    std::size_t m_queued = 0;
    std::size_t m_payloadBytes = 0;
};

} // namespace crocuswind

#endif
