// A simulation of several request cores in virtual time, with runners, callers and a network that
// loses, duplicates and reorders messages. It checks invariants I4 to I8 and the slot limits after
// every event.
#ifndef CROCUSWIND_TEST_URGENT_FLEET_H
#define CROCUSWIND_TEST_URGENT_FLEET_H

#include "urgent/urgent.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace crocuswind {

/// A fault or a recovery that is injected at a given time.
struct fleet_fault
{
    enum class kind {
        kill_host,
        restart_host,
        pause_host, ///< For 4 s.
        drain_host,
        cut_links, ///< Cuts one host's links to all others for 2 s; reported as lost peers.
        runner_leaves,
        runner_fails, ///< Answers every request with a failure after the start.
        runner_refuses, ///< Refuses every request before the start.
        runner_hangs,
        runner_down,
        runner_recovers,
        caller_leaves,
    };

    kind what = kind::kill_host;
    duration at{0};
    unsigned target = 0;
};

struct fleet_settings
{
    std::uint64_t seed = 0;
    int lossPercent = 5; ///< Of peer messages and of runner answers.
    int duplicatePercent = 10;
    int requests = 150;
    duration arrivals = 12s; ///< The requests arrive within this time.
    duration end = 45s;
    std::vector<fleet_fault> faults;
};

class fleet
{
public:
    explicit fleet(const fleet_settings &settings);

    /// Runs the simulation to its end and returns the first violations, empty if there are none.
    std::vector<std::string> run();

    int answered() const { return m_answered; }
    int executions() const { return m_executions; }

private:
    struct host_process
    {
        host_id name;
        data_centre_id dataCentre;
        std::unique_ptr<request_core> core;
        incarnation epoch = 0;
        bool isUp = false;
        instant pausedUntil;
        instant cutUntil;
        int seat = -1;
        instant seatUntil; ///< Validity of the last grant.
        bool isDraining = false;
        std::set<caller_token> callers;
        instant wakeAt = instant::max();
    };
    struct seat_state
    {
        data_centre_id dataCentre;
        int seats = 1;
        int index = 0;
        int holder = -1;
        instant leaseEnd;
        bool wasReleased = true;
    };
    struct runner_model
    {
        runner_id name;
        data_centre_id dataCentre;
        enum class mode { healthy, fails, refuses, hangs, down } currentMode = mode::healthy;
        bool isLeaving = false;
        instant leavingSince;
        int slots = 4;
        int running = 0;
    };

    void at(instant when, std::function<void()> what);
    void deliver(int host, urgent_event event);
    void apply(int host, const std::vector<urgent_action> &actions);
    void apply(int host, const reply_identifier &a);
    void apply(int host, const reply_outcome &a);
    void apply(int host, const dispatch_to_runner &a);
    void apply(int host, const cancel_attempt &a);
    void apply(int host, const send_to_peer &a);
    void apply(int, const urgent_span &) { }
    void apply(int, const urgent_log &) { }
    void apply(int host, const urgent_wake_at &a);
    void apply(int host, const urgent_drained &a);
    void start(int host);
    void stop(int host);
    void poll();
    void renewSeats();
    void inject(const fleet_fault &f);
    void submit(int number);
    void sendRequest(int host, const std::optional<request_id> &id, const request_content &content);
    void execute(runner_model &r, const request_id &id);
    void finish(int host, incarnation epoch, runner_result result, duration delay);
    bool chance(int percent) { return int(m_random.below(100)) < percent; }
    duration delay() { return duration(std::int64_t(100 + m_random.below(20'000))); }
    void fail(const std::string &text);
    std::string answerFor(const request_id &id) const { return "answer to " + toString(id); }

    const service_id m_service{"drift"};
    fleet_settings m_settings;
    seeded_random m_random;
    instant m_now;
    std::multimap<instant, std::function<void()>> m_queue;
    std::vector<host_process> m_hosts;
    std::vector<seat_state> m_seats;
    std::vector<runner_model> m_runners;
    caller_token m_lastCaller = 0;
    incarnation m_lastEpoch = 100;
    std::map<caller_token, request_content> m_contents; ///< Of callers that await an identifier.
    std::map<std::string, bool> m_isRepeatable; ///< By identifier.
    std::map<std::string, int> m_runs; ///< Number of executions, by identifier.
    std::set<std::string> m_reportedNotRun;
    std::vector<std::string> m_violations;
    int m_answered = 0;
    int m_executions = 0;
};

} // namespace crocuswind

#endif
