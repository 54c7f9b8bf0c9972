/// Simulates entry hosts that run the three cores of the cluster library, connected by a faulty
/// network and a store. It replaces the daemon's adapter and delivers all events and actions.
#ifndef CROCUSWIND_TEST_CLUSTER_HARNESS_H
#define CROCUSWIND_TEST_CLUSTER_HARNESS_H

#include "failure/cluster_fakes.h"
#include "protocol/protocol.h"

#include <array>
#include <fmt/format.h>

#include <memory>

namespace crocuswind::cluster_test {

struct cluster_options
{
    int dataCentres = 1;
    int hostsPerDataCentre = 3;
    int seats = 3;
    double loss = 0;
    double duplication = 0;
    bool hasHostList = true;
    bool isEncoded = false; ///< Each message is encoded and decoded, and its bytes are counted.
    duration hostListLag = 10s;
};

struct cluster_host
{
    host_id name;
    data_centre_id dataCentre;
    int dataCentreIndex = 0;
    incarnation incarnationNumber = 0; ///< 0 while the process is down.
    instant pausedUntil;
    instant stoppedSince; ///< When the process last stopped.
    path_faults store;
    int partition = 0; ///< Hosts in different partitions cannot reach each other.
    std::unique_ptr<membership_core> membership;
    std::unique_ptr<session_core> session;
    std::unique_ptr<config_core> config;
    std::int64_t watch = 0;
    std::array<std::int64_t, 3> wakes = {}; ///< Sequence number of the latest wake-up of each core.
    /// Configuration revisions that took effect in this incarnation.
    std::vector<std::int64_t> revisionsInEffect;
    bool isWatching = false;
    bool isReleased = false;
    /// Bytes sent and received, including the overhead of frames and packets.
    std::int64_t bytes = 0;
};

class cluster_simulation
{
public:
    /// Ethernet, IP, TCP and WebSocket headers of one small message.
    static constexpr std::int64_t frameOverhead = 66 + 8;

    cluster_simulation(std::uint64_t seed, cluster_options options)
        : random(seed)
        , options(options)
    {
        for (int dc = 0; dc < options.dataCentres; ++dc) {
            for (int i = 0; i < options.hostsPerDataCentre; ++i) {
                auto h = std::make_unique<cluster_host>();
                h->name = {fmt::format("entry-{:03}.dc-{}", i, dc)};
                h->dataCentre = {fmt::format("dc-{}", dc)};
                h->dataCentreIndex = dc;
                h->stoppedSince = time.now() - 3600s;
                h->store.loss = options.loss;
                m_byName[h->name] = h.get();
                hosts.push_back(std::move(h));
            }
        }
        store.onPut = [this](const store_entry &e) {
            if (e.key != configCurrentKey)
                return;
            for (const auto &h : hosts) {
                if (h->watch != 0 && !h->store.isDown && random.fraction() >= h->store.loss)
                    runLater(*h, drawDelay(h->store, random), [this, &h = *h, e, w = h->watch] {
                        deliver(h, config_watch_result{w, e});
                    });
            }
        };
        if (options.hasHostList)
            sendHostLists();
    }

    void start(cluster_host &h)
    {
        h.incarnationNumber = time.now().time_since_epoch().count() + 1;
        h.watch = 0;
        h.isReleased = false;
        h.isWatching = false;
        h.revisionsInEffect.clear();
        membership_settings m;
        m.self = h.name;
        m.incarnationNumber = h.incarnationNumber;
        m.dataCentre = h.dataCentre;
        m.address = address(h);
        for (const auto &dc : {0, options.dataCentres - 1, h.dataCentreIndex})
            m.seeds.push_back(address(*hosts[std::size_t(dc * options.hostsPerDataCentre)]));
        m.seed = random.next();
        h.membership = std::make_unique<membership_core>(m);
        session_settings s;
        s.self = h.name;
        s.incarnationNumber = h.incarnationNumber;
        s.dataCentre = h.dataCentre;
        s.seats = options.seats;
        h.session = std::make_unique<session_core>(s);
        config_settings c;
        c.self = h.name;
        c.dataCentre = h.dataCentre;
        h.config = std::make_unique<config_core>(c);
        deliver(h, cluster_tick());
        deliverToSession(h, cluster_tick());
        deliverToConfig(h, cluster_tick());
        std::map<service_id, duration> waits;
        for (const char *service : {"drift-check", "lot-match", "certificate", "listing-sale"})
            waits[{service}] = 20ms;
        deliver(h, membership_local_load{50, waits});
    }
    void startAll(duration spread = 2s)
    {
        for (const auto &h : hosts)
            time.after(duration(std::int64_t(random.below(std::uint64_t(spread.count())))),
                       [this, &h = *h] { start(h); });
        time.runFor(spread);
    }
    void crash(cluster_host &h)
    {
        checkSeats(h);
        h.incarnationNumber = 0;
        h.stoppedSince = time.now();
    }
    void pause(cluster_host &h, duration length)
    {
        checkSeats(h);
        h.pausedUntil = time.now() + length;
    }
    /// Releases the seat and lease of a host that has drained; its process then exits.
    void release(cluster_host &h)
    {
        checkSeats(h);
        m_released.insert({h.name, h.incarnationNumber});
        deliverToSession(h, session_release());
    }

    cluster_host &host(int dataCentre, int index)
    {
        return *hosts[std::size_t(dataCentre * options.hostsPerDataCentre + index)];
    }
    bool isRunning(const cluster_host &h) const
    {
        return h.incarnationNumber != 0 && time.now() >= h.pausedUntil;
    }
    bool mayUse(const cluster_host &h) const
    {
        return isRunning(h) && h.session->usableSeat(time.now());
    }
    int usedSeats(int dataCentre)
    {
        int used = 0;
        for (int i = 0; i < options.hostsPerDataCentre; ++i)
            used += mayUse(host(dataCentre, i)) ? 1 : 0;
        return used;
    }
    static bool hasMemberInState(const cluster_host &h, const cluster_host &other,
                                 member_state state)
    {
        const auto found = h.membership->members().find(other.name);
        return found != h.membership->members().end() && found->second.report.state == state;
    }
    /// Returns true if every running host considers exactly the other running hosts alive.
    bool isConverged() const
    {
        for (const auto &h : hosts) {
            for (const auto &other : hosts) {
                const bool isExpected = other->incarnationNumber != 0;
                if (h->incarnationNumber != 0 && h != other
                    && hasMemberInState(*h, *other, member_state::alive) != isExpected)
                    return false;
            }
        }
        return true;
    }
    void put(std::int64_t revision)
    {
        const config_set config{revision, fmt::format("p{}", revision), "op", 1, {{"f", "text"}}};
        store.apply(store_transaction{{}, {{configCurrentKey, encodeConfig(config), 0}}, {}, {}});
    }
    int watcherCount() const
    {
        return int(std::count_if(hosts.begin(), hosts.end(), [](const auto &h) {
            return h->incarnationNumber != 0 && h->watch != 0;
        }));
    }
    bool areAllAtRevision(std::int64_t revision) const
    {
        return std::all_of(hosts.begin(), hosts.end(), [&](const auto &h) {
            return h->incarnationNumber == 0 || h->config->revision() == revision;
        });
    }

    virtual_time time;
    fake_store store{time};
    seeded_random random;
    cluster_options options;
    std::vector<std::unique_ptr<cluster_host>> hosts;
    int storeCalls = 0;
    /// Number of those calls made for the configuration, including starts of watches.
    int configCalls = 0;
    int falseDeathCount = 0; ///< Number of times that a reachable running host was declared dead.
    int seatGrants = 0; ///< Number of times that a process began to use a seat.
    /// First violation of the rule that no two processes use one seat; empty if there is none.
    std::string seatFault;

private:
    struct seat_user
    {
        host_id host;
        incarnation incarnationNumber = 0;
        bool operator<(const seat_user &o) const
        {
            return std::tie(host, incarnationNumber) < std::tie(o.host, o.incarnationNumber);
        }
    };

    static std::string address(const cluster_host &h) { return "10.0.0.1:" + h.name.value; }

    /// Runs a function after \p pause, unless the host's process has stopped or been restarted by
    /// then. If the process is paused at that time, the function runs when the pause ends.
    void runLater(cluster_host &h, duration pause, std::function<void()> run)
    {
        time.after(pause,
                   [this, &h, incarnationNumber = h.incarnationNumber, run = std::move(run)] {
                       if (h.incarnationNumber != incarnationNumber || incarnationNumber == 0)
                           return;
                       if (time.now() < h.pausedUntil)
                           runLater(h, h.pausedUntil - time.now(), run);
                       else
                           run();
                   });
    }
    /// Schedules a wake-up of a core, which replaces the earlier one of the same core.
    void wakeAt(cluster_host &h, std::size_t core, const cluster_wake_at &wake,
                const std::function<void()> &tick)
    {
        const std::int64_t number = ++h.wakes[core];
        runLater(h, wake.when - time.now(), [&h, core, number, tick] {
            if (h.wakes[core] == number)
                tick();
        });
    }
    void deliver(cluster_host &h, decltype(membership_core::event::what) what)
    {
        checkSeats(h);
        for (const auto &action : h.membership->handle({time.now(), std::move(what)}))
            std::visit([&](const auto &a) { execute(h, a); }, action);
        checkSeats(h);
    }
    void deliverToSession(cluster_host &h, decltype(session_core::event::what) what)
    {
        if (h.isReleased)
            return;
        checkSeats(h);
        for (const auto &action : h.session->handle({time.now(), std::move(what)})) {
            if (const auto *wake = std::get_if<cluster_wake_at>(&action))
                wakeAt(h, 0, *wake, [this, &h] { deliverToSession(h, cluster_tick()); });
            else
                std::visit([&](const auto &a) { execute(h, a); }, action);
        }
        checkSeats(h);
    }
    void deliverToConfig(cluster_host &h, decltype(config_core::event::what) what)
    {
        const std::int64_t before = h.config->revision();
        for (const auto &action : h.config->handle({time.now(), std::move(what)})) {
            if (const auto *wake = std::get_if<cluster_wake_at>(&action)) {
                wakeAt(h, 1, *wake, [this, &h] { deliverToConfig(h, cluster_tick()); });
            } else if (const auto *call = std::get_if<cluster_store_call>(&action)) {
                ++configCalls;
                callStoreFor(h, *call,
                             [this, &h](const cluster_store_answer &a) { deliverToConfig(h, a); });
            } else {
                std::visit([&](const auto &a) { execute(h, a); }, action);
            }
        }
        CROCUSWIND_INVARIANT(h.config->revision() >= before, "a revision went down");
    }
    void deliver(cluster_host &h, const config_watch_result &r) { deliverToConfig(h, r); }

    void callStoreFor(cluster_host &h, const cluster_store_call &call,
                      std::function<void(const cluster_store_answer &)> answer)
    {
        ++storeCalls;
        callStore(time, store, h.store, random, call,
                  [this, &h, incarnationNumber = h.incarnationNumber,
                   answer = std::move(answer)](const cluster_store_answer &a) {
                      if (h.incarnationNumber == incarnationNumber)
                          runLater(h, duration(0), [=] { answer(a); });
                  });
    }
    duration delayBetween(const cluster_host &a, const cluster_host &b)
    {
        path_faults path;
        constexpr int dataCentresPerRegion = 3;
        if (a.dataCentreIndex == b.dataCentreIndex) {
            path = {0, 0, 100us, 1ms, false};
        } else if (a.dataCentreIndex / dataCentresPerRegion
                   == b.dataCentreIndex / dataCentresPerRegion) {
            path = {0, 0, 4ms, 8ms, false};
        } else {
            path = {0, 0, 20ms, 60ms, false};
        }
        return drawDelay(path, random);
    }
    void transmit(cluster_host &from, const host_id &to, peer_message message)
    {
        std::int64_t size = 0;
        if (options.isEncoded) {
            const std::string bytes = encodePeerMessage(message);
            size = std::int64_t(bytes.size()) + frameOverhead;
            message = decodePeerMessage(bytes).value();
            from.bytes += size;
        }
        cluster_host &h = *m_byName.at(to);
        if (h.incarnationNumber == 0 || h.partition != from.partition)
            return;
        const int copies = random.fraction() < options.loss ? 0
            : random.fraction() < options.duplication       ? 2
                                                            : 1;
        for (int i = 0; i < copies; ++i) {
            h.bytes += size;
            runLater(h, delayBetween(from, h),
                     [this, &h, sender = from.name, message] { receive(h, sender, message); });
        }
    }
    void receive(cluster_host &h, const host_id &from, const peer_message &message)
    {
        if (const auto *m = std::get_if<membership_probe>(&message))
            deliver(h, membership_peer_message{from, *m});
        else if (const auto *m = std::get_if<membership_probe_answer>(&message))
            deliver(h, membership_peer_message{from, *m});
        else if (const auto *m = std::get_if<membership_indirect_probe>(&message))
            deliver(h, membership_peer_message{from, *m});
        else if (const auto *m = std::get_if<peer_hello>(&message))
            deliver(h, membership_peer_hello{*m});
        else if (const auto *m = std::get_if<ask_config>(&message))
            deliverToConfig(h, config_copy_requested{from, m->above});
        else if (const auto *m = std::get_if<peer_config>(&message))
            deliverToConfig(h, config_copy{from, m->encoded});
    }

    void execute(cluster_host &h, const membership_send &a)
    {
        std::visit([&](const auto &m) { transmit(h, a.to, m); }, a.message);
    }
    void execute(cluster_host &h, const membership_contact_seed &a)
    {
        for (const auto &other : hosts) {
            if (address(*other) == a.address && other->incarnationNumber != 0
                && other->partition == h.partition) {
                transmit(h, other->name, h.membership->hello());
                transmit(*other, h.name, other->membership->hello());
            }
        }
    }
    void execute(cluster_host &h, const members_changed &a)
    {
        for (const member &m : a.changed) {
            const bool isAlive
                = m.report.state == member_state::alive || m.report.state == member_state::suspect;
            deliverToConfig(h,
                            config_peer{m.report.host, m.report.dataCentre, isAlive,
                                        m.report.watching, m.report.configRevision});
            const cluster_host &other = *m_byName.at(m.report.host);
            if (m.report.state == member_state::dead && m.since == time.now() && isRunning(other)
                && other.partition == h.partition)
                ++falseDeathCount;
        }
        for (const host_id &removed : a.removed)
            deliverToConfig(h, config_peer{removed, {}, false, false, 0});
    }
    void execute(cluster_host &h, const cluster_peer_report &a) { deliverToSession(h, a); }
    void execute(cluster_host &h, const cluster_local_peers &a) { deliverToSession(h, a); }
    void execute(cluster_host &h, const cluster_wake_at &a)
    {
        wakeAt(h, 2, a, [this, &h] { deliver(h, cluster_tick()); });
    }
    void execute(cluster_host &h, const cluster_store_call &call)
    {
        callStoreFor(h, call,
                     [this, &h](const cluster_store_answer &a) { deliverToSession(h, a); });
    }
    void execute(cluster_host &, const session_changed &) { }
    void execute(cluster_host &, const seat_granted &) { }
    void execute(cluster_host &, const seat_lost &) { }
    void execute(cluster_host &h, const session_claim_changed &a)
    {
        deliver(h, membership_local_claim{a.claim});
    }
    void execute(cluster_host &h, const cluster_seats_read &a) { deliver(h, a); }
    void execute(cluster_host &h, const session_released &)
    {
        h.isReleased = true;
        deliver(h, membership_leave{true});
        runLater(h, duration(0), [this, &h] { crash(h); });
    }
    void execute(cluster_host &h, const config_start_watch &a)
    {
        ++storeCalls;
        ++configCalls;
        h.watch = a.watch;
        if (h.store.isDown)
            runLater(h, 1ms, [this, &h, a] { deliverToConfig(h, config_watch_ended{a.watch}); });
    }
    void execute(cluster_host &h, const config_stop_watch &) { h.watch = 0; }
    void execute(cluster_host &h, const config_request_copy &a)
    {
        transmit(h, a.to, ask_config{a.above});
    }
    void execute(cluster_host &h, const config_send_copy &a)
    {
        transmit(h, a.to, peer_config{*a.encoded});
    }
    void execute(cluster_host &h, const config_in_effect &a)
    {
        h.revisionsInEffect.push_back(a.config->revision);
        deliver(h, membership_local_config{a.config->revision, h.isWatching});
    }
    void execute(cluster_host &h, const config_watching_changed &a)
    {
        h.isWatching = a.watching;
        deliver(h, membership_local_config{h.config->revision(), a.watching});
    }
    void execute(cluster_host &, const config_log &) { }

    /// Sends each host the list of hosts that are running or have stopped only recently.
    void sendHostLists()
    {
        membership_host_list list;
        for (const auto &h : hosts) {
            if (h->incarnationNumber != 0 || time.now() - h->stoppedSince < options.hostListLag)
                list.hosts.push_back({h->name, h->dataCentre, address(*h), false});
        }
        for (const auto &h : hosts) {
            if (isRunning(*h) && !h->store.isDown)
                deliver(*h, list);
        }
        time.after(1s, [this] { sendHostLists(); });
    }

    /// Checks that no two processes may use one seat at the same time, and that a process begins to
    /// use a seat only after the requests of all former users must have ended.
    void checkSeats(const cluster_host &changed)
    {
        for (const auto &h : hosts) {
            if (h->dataCentreIndex != changed.dataCentreIndex || !mayUse(*h))
                continue;
            const int seat = *h->session->usableSeat(time.now());
            auto &users = m_users[{h->dataCentreIndex, seat}];
            const seat_user self{h->name, h->incarnationNumber};
            const bool isNew = users.count(self) == 0;
            for (const auto &[user, last] : users) {
                if (user < self || self < user) {
                    const bool isOver = m_released.count(user) != 0 || last + 5s <= time.now();
                    if (!isOver && seatFault.empty()) {
                        seatFault = fmt::format(
                            "{}: {} uses seat {} {} us after {} (incarnation {})",
                            time.now().time_since_epoch().count(), h->name.value, seat,
                            (time.now() - last).count(), user.host.value, user.incarnationNumber);
                    }
                }
            }
            seatGrants += isNew ? 1 : 0;
            users[self] = time.now();
        }
    }

    std::map<host_id, cluster_host *> m_byName;
    std::map<std::pair<int, int>, std::map<seat_user, instant>> m_users;
    std::set<seat_user> m_released;
};

} // namespace crocuswind::cluster_test

#endif
