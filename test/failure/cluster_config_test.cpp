// Guards against a host that falls back to a lower revision, that stays behind, or that starts
// without a configuration although a peer has one. Each host tells every other its revision twice
// a second over paths that lose, delay, repeat and reorder messages.

#include "failure/cluster_fakes.h"

#include <gtest/gtest.h>
#include <memory>

using namespace crocuswind;
using namespace crocuswind::cluster_test;

namespace {

struct config_host
{
    host_id name;
    data_centre_id dataCentre;
    int life = 0; ///< 0 while the process is down.
    std::unique_ptr<config_core> core;
    path_faults store;
    bool isCutOff = false; ///< From all peers.
    bool isWatching = false;
    std::int64_t watch = 0;
    std::int64_t highest = 0;
    std::vector<std::int64_t> inForce; ///< All revisions of this life.
};

class config_world
{
public:
    config_world(std::uint64_t seed, int hostCount)
        : random(seed)
    {
        for (int i = 0; i < hostCount; ++i) {
            auto h = std::make_unique<config_host>();
            h->name = {"e" + std::to_string(i)};
            h->dataCentre = {"dc" + std::to_string(i / 3)};
            hosts.push_back(std::move(h));
        }
        store.onPut = [this](const store_entry &e) {
            if (e.key != configCurrentKey)
                return;
            for (const auto &h : hosts) {
                if (h->watch != 0 && !h->store.isDown && random.fraction() >= h->store.loss)
                    later(*h, config_watch_result{h->watch, e}, drawDelay(h->store, random));
            }
        };
        tellPeers();
    }

    void start(config_host &h)
    {
        config_settings settings;
        settings.self = h.name;
        settings.dataCentre = h.dataCentre;
        h.core = std::make_unique<config_core>(settings);
        h.life = ++m_lives;
        h.isWatching = false;
        h.watch = 0;
        h.highest = 0;
        h.inForce.clear();
        handle(h, cluster_tick());
    }
    void startAll()
    {
        for (const auto &h : hosts)
            start(*h);
    }
    void stop(config_host &h) { h.life = 0; }

    void put(std::int64_t revision)
    {
        store.apply(store_transaction{{}, {{configCurrentKey, encoded(revision), 0}}, {}, {}});
    }
    static std::string encoded(std::int64_t revision)
    {
        return encodeConfig({revision, "p" + std::to_string(revision), "op", 1, {{"f", "text"}}});
    }
    int watcherCount() const
    {
        return int(std::count_if(hosts.begin(), hosts.end(),
                                 [](const auto &h) { return h->life != 0 && h->watch != 0; }));
    }
    bool areAllAt(std::int64_t revision) const
    {
        return std::all_of(hosts.begin(), hosts.end(), [&](const auto &h) {
            return h->life == 0 || h->core->revision() == revision;
        });
    }

    virtual_time time;
    fake_store store{time};
    seeded_random random;
    std::vector<std::unique_ptr<config_host>> hosts;
    path_faults peers;
    int storeCalls = 0;

private:
    using config_event = decltype(config_core::event::what);

    void later(config_host &h, config_event what, duration pause)
    {
        time.after(pause, [this, &h, what = std::move(what), life = h.life] {
            if (h.life == life && life != 0)
                handle(h, what);
        });
    }
    void send(config_host &from, const host_id &to, const config_event &what)
    {
        for (const auto &h : hosts) {
            if (h->name != to || h->life == 0 || from.isCutOff || h->isCutOff)
                continue;
            const int copies = random.fraction() < peers.loss ? 0
                : random.fraction() < peers.duplication       ? 2
                                                              : 1;
            for (int i = 0; i < copies; ++i)
                later(*h, what, drawDelay(peers, random));
        }
    }
    void tellPeers()
    {
        for (const auto &from : hosts) {
            if (from->life == 0)
                continue;
            for (const auto &to : hosts) {
                if (to != from) {
                    send(*from, to->name,
                         config_peer{from->name, from->dataCentre, true, from->isWatching,
                                     from->core->revision()});
                }
            }
        }
        time.after(500ms, [this] { tellPeers(); });
    }
    void handle(config_host &h, const config_event &what)
    {
        for (const auto &action : h.core->handle({time.now(), what}))
            std::visit([&](const auto &a) { carryOut(h, a); }, action);
        ASSERT_GE(h.core->revision(), h.highest) << "a revision went down on " << h.name.value;
        h.highest = h.core->revision();
    }
    void carryOut(config_host &h, const cluster_store_call &call)
    {
        ++storeCalls;
        callStore(time, store, h.store, random, call,
                  [this, &h, life = h.life](const cluster_store_answer &a) {
                      if (h.life == life)
                          handle(h, a);
                  });
    }
    void carryOut(config_host &h, const config_start_watch &a)
    {
        ++storeCalls;
        h.watch = a.watch;
        if (h.store.isDown)
            later(h, config_watch_ended{a.watch}, 1ms);
    }
    void carryOut(config_host &h, const config_stop_watch &) { h.watch = 0; }
    void carryOut(config_host &h, const config_ask_peer &a)
    {
        send(h, a.to, config_asked{h.name, a.above});
    }
    void carryOut(config_host &h, const config_send_copy &a)
    {
        send(h, a.to, config_copy{h.name, *a.encoded});
    }
    void carryOut(config_host &h, const config_in_force &a)
    {
        h.inForce.push_back(a.config->revision);
    }
    void carryOut(config_host &h, const config_watching_changed &a) { h.isWatching = a.watching; }
    void carryOut(config_host &, const config_log &) { }
    void carryOut(config_host &h, const cluster_wake_at &a)
    {
        later(h, cluster_tick(), a.when - time.now());
    }

    int m_lives = 0;
};

} // namespace

TEST(Config, OneHostOfEachDataCentreWatchesAndTheNextStandsIn)
{
    config_world w(1, 9);
    w.put(1);
    w.startAll();
    w.time.runFor(10s);
    EXPECT_TRUE(w.areAllAt(1));
    EXPECT_EQ(w.watcherCount(), 3);
    EXPECT_NE(w.hosts[0]->watch, 0);
    // The watcher loses the store without its watch noticing.
    w.hosts[0]->store.isDown = true;
    w.time.runFor(70s);
    EXPECT_NE(w.hosts[1]->watch, 0);
    w.put(2);
    w.time.runFor(2s);
    EXPECT_TRUE(w.areAllAt(2));
    w.hosts[0]->store.isDown = false;
    w.time.runFor(30s);
    EXPECT_EQ(w.watcherCount(), 3);
}

TEST(Config, AtRestFewCallsReachTheStore)
{
    config_world w(2, 27);
    w.put(1);
    w.startAll();
    w.time.runFor(30s);
    w.storeCalls = 0;
    w.time.runFor(120s);
    // Nine watchers verify once a minute.
    EXPECT_LE(w.storeCalls, 9 * 3);
}

TEST(Config, AHostThatStartsWithoutStoreTakesACopyAndOneWithoutPeersSaysWhyItIsNotReady)
{
    config_world w(3, 3);
    w.put(5);
    w.start(*w.hosts[0]);
    w.time.runFor(10s);
    w.hosts[1]->store.isDown = true;
    w.hosts[2]->store.isDown = true;
    w.hosts[2]->isCutOff = true;
    w.start(*w.hosts[1]);
    w.start(*w.hosts[2]);
    w.time.runFor(10s);
    EXPECT_EQ(w.hosts[1]->core->revision(), 5);
    EXPECT_EQ(w.hosts[1]->core->notReadyReason(), "");
    EXPECT_EQ(w.hosts[2]->core->notReadyReason(),
              "no configuration yet: the store does not answer, and no peer is known");
}

// Guards against a start from a stale replica's answer although a peer has a higher revision.
TEST(Config, AStartTakesTheHighestOfStoreAndPeers)
{
    config_world w(4, 2);
    w.put(1);
    const auto old = w.store.entries();
    w.put(2);
    w.start(*w.hosts[0]);
    w.time.runFor(10s);
    w.store.staleEntries = old;
    w.start(*w.hosts[1]);
    w.time.runFor(1s);
    EXPECT_EQ(w.hosts[1]->inForce, (std::vector<std::int64_t>{2}));
    w.time.runFor(120s);
    EXPECT_TRUE(w.areAllAt(2));
}

TEST(Config, KeepsItsConfigurationIfTheStoreHoldsRubbish)
{
    config_world w(5, 3);
    w.put(1);
    w.startAll();
    w.time.runFor(10s);
    w.store.apply(store_transaction{{}, {{configCurrentKey, "{", 0}}, {}, {}});
    w.time.runFor(100s);
    EXPECT_TRUE(w.areAllAt(1));
    w.put(2);
    w.time.runFor(100s);
    EXPECT_TRUE(w.areAllAt(2));
}

// Guards against a watch that stalls silently: the periodic read finds the change.
TEST(Config, FindsAChangeThatTheWatchMissed)
{
    config_world w(6, 1);
    w.put(1);
    w.start(*w.hosts[0]);
    w.time.runFor(10s);
    w.hosts[0]->store.loss = 1;
    w.put(2);
    w.hosts[0]->store.loss = 0;
    w.time.runFor(61s);
    EXPECT_TRUE(w.areAllAt(2));
}

// Publications, restarts, cut-off hosts, store outages and a stale replica at random. After each
// event no revision has gone down (checked in the harness); after the faults end all converge.
TEST(Config, ConvergesAndNeverRevertsUnderRandomFaults)
{
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        SCOPED_TRACE(seed);
        config_world w(seed, 9);
        w.peers = {0.05, 0.05, 1ms, 300ms, false};
        for (const auto &h : w.hosts)
            h->store = {0.05, 0, 1ms, 300ms, false};
        std::int64_t revision = 1;
        w.put(revision);
        w.startAll();
        for (int step = 0; step < 120; ++step) {
            config_host &h = *w.hosts[w.random.below(w.hosts.size())];
            switch (w.random.below(6)) {
            case 0:
                w.put(++revision);
                break;
            case 1:
                h.life != 0 ? w.stop(h) : w.start(h);
                break;
            case 2:
                h.isCutOff = !h.isCutOff;
                break;
            case 3:
                h.store.isDown = !h.store.isDown;
                break;
            case 4:
                w.store.staleEntries = w.store.entries();
                break;
            default:
                w.store.staleEntries.reset();
            }
            w.time.runFor(duration(std::int64_t(w.random.below(3'000'000))));
        }
        w.store.staleEntries.reset();
        for (const auto &h : w.hosts) {
            h->isCutOff = h->store.isDown = false;
            if (h->life == 0)
                w.start(*h);
        }
        w.time.runFor(12s);
        EXPECT_TRUE(w.areAllAt(revision));
    }
}
