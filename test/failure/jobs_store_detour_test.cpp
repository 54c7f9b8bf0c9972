// Guards against an owner of the jobs that loses its office, or a commit, because the store refuses
// it alone; and against commits that are lost or done twice when the host that helps it dies
// halfway. One owner and two hosts that help it exchange their messages in one loop.

#include "failure/scheduler_candidate.h"
#include "jobs/store_detour.h"
#include "jobs/store_helper.h"

#include <gtest/gtest.h>

using namespace crocuswind;
using namespace crocuswind::scheduler;

namespace {

constexpr duration limit = 20s;
const host_id ownerHost{"owner"};

/// The store as one host reaches it.
class host_store final : public store
{
public:
    enum class mode { serves, refuses, silent };

    host_store(event_loop &l, memory_store &m)
        : loop(l)
        , memory(m)
    { }

    void submit(const store_operation &operation, instant deadline, result_callback done) override
    {
        ++calls;
        if (now == mode::silent)
            loop.callAt(deadline, [done] { done(tl::unexpected(store_error::no_answer)); });
        else if (now == mode::refuses)
            loop.post([done] { done(tl::unexpected(store_error::refused)); });
        else
            loop.post([done, result = memory.apply(operation)] { done(result); });
    }
    store_watch_id watch(const std::string &, duration, watch_callback callback) override
    {
        watches[++lastWatch] = std::move(callback);
        report(now == mode::serves ? store_watch_update::kind::started
                                   : store_watch_update::kind::lost);
        return lastWatch;
    }
    void cancelWatch(store_watch_id watch) override { watches.erase(watch); }

    void report(store_watch_update::kind what)
    {
        store_watch_update update;
        update.what = what;
        update.asOf = loop.now();
        loop.post([this, update] {
            const auto all = watches;
            for (const auto &[id, callback] : all)
                callback(update);
        });
    }

    event_loop &loop;
    memory_store &memory;
    mode now = mode::serves;
    int calls = 0;
    std::map<store_watch_id, watch_callback> watches;
    store_watch_id lastWatch = 0;
};

/// A host that helps the owner.
struct helping_host
{
    helping_host(event_loop &l, memory_store &memory)
        : reached(l, memory)
    { }

    host_store reached;
    std::unique_ptr<store_helper> helper;
    bool diesBeforeItAnswers = false;
    bool isUp = true;
};

struct refused_owner : testing::Test, election_ports
{
    refused_owner()
        : direct(loop, memory)
        , detour(loop, direct, testLog,
                 [this](const host_id &host, const helped_store_call &call) {
                     return deliver(host, call);
                 })
        , election(candidate::settingsOf(ownerHost.value), *this)
    {
        for (const char *name : {"a", "b"}) {
            const host_id host{name};
            hosts[host] = std::make_unique<helping_host>(loop, memory);
            hosts[host]->helper = std::make_unique<store_helper>(
                loop, hosts[host]->reached, [this, host](const host_id &, const store_help &help) {
                    answer(host, help);
                    return true;
                });
            detour.addHelper(host);
        }
        election.setEligible(loop.now(), true);
        election.onOwnerKey(loop.now(), std::nullopt, 1);
        tick();
        EXPECT_TRUE(loop.runUntil([this] { return election.isOwner(); }, limit));
        detour.setMayAskOthers(true);
    }
    ~refused_owner() override { loop.cancel(timer); }

    // The links. Messages pass the codec.
    bool deliver(const host_id &to, const helped_store_call &call)
    {
        if (!hosts.at(to)->isUp)
            return false;
        loop.post([this, to, bytes = encodeStoreCall(call)] {
            if (hosts.at(to)->isUp)
                hosts.at(to)->helper->onCall(ownerHost, decodeStoreCall(bytes).value());
        });
        return true;
    }
    void answer(const host_id &from, const store_help &help)
    {
        helping_host &host = *hosts.at(from);
        if (host.diesBeforeItAnswers && std::exchange(host.isUp, false))
            loop.post([this, from] { detour.removeHelper(from); });
        if (host.isUp)
            loop.post([this, from, bytes = encodeStoreHelp(help)] {
                detour.onHelp(from, decodeStoreHelp(bytes).value());
            });
    }

    // election_ports
    void submit(std::uint64_t token, const store_operation &operation, instant deadline) override
    {
        detour.submit(operation, deadline, [this, token](const store_result &result) {
            election.onStoreResult(loop.now(), token, result);
            tick();
        });
    }
    void onElected(std::int64_t) override { ++elected; }
    void onDeposed() override { ++deposed; }
    void onOwner(const std::optional<owner_info> &) override { }
    void onCommitted() override { ++committed; }
    void onCommitRefused() override { ++commitsRefused; }
    void onConfirmed(instant, instant) override { ++confirmed; }
    void onStoreAvailable(bool) override { }
    void log(const std::string &, const std::string &) override { }

    void tick()
    {
        loop.cancel(timer);
        timer = loop.callAt(election.nextWake(), [this] {
            election.tick(loop.now());
            tick();
        });
    }

    /// Commits one key and waits until it is durable.
    bool commit(const std::string &key)
    {
        const int before = committed;
        election.commit(loop.now(), batchOf(key, "x"));
        tick();
        return loop.runUntil([&] { return committed > before; }, limit);
    }

    event_loop loop;
    memory_store memory;
    logger testLog{"test"};
    host_store direct;
    std::map<host_id, std::unique_ptr<helping_host>> hosts;
    store_detour detour;
    owner_election election;
    timer_id timer = 0;
    int elected = 0;
    int deposed = 0;
    int committed = 0;
    int commitsRefused = 0;
    int confirmed = 0;
};

} // namespace

TEST_F(refused_owner, KeepsItsOfficeAndItsCommits)
{
    direct.now = host_store::mode::refuses;
    const std::int64_t epoch = election.epoch();
    EXPECT_TRUE(commit("cw/job/1"));
    EXPECT_TRUE(commit("cw/job/2"));
    const int before = confirmed;
    EXPECT_TRUE(loop.runUntil([&] { return confirmed > before + 2; }, limit)) << "renewals";
    EXPECT_EQ(commitsRefused, 0);
    EXPECT_EQ(deposed, 0);
    EXPECT_EQ(election.epoch(), epoch);
    EXPECT_EQ(memory.items.count("cw/job/1"), 1U);
    EXPECT_EQ(memory.items.count("cw/job/2"), 1U);
    direct.now = host_store::mode::serves;
    EXPECT_TRUE(
        loop.runUntil([&] { return detour.standing().way() == policy::store_way::direct; }, limit));
}

// The store answers neither the commit nor the renewals, which show that it is silent.
TEST_F(refused_owner, GoesOnWhenTheStoreIsSilentForItAlone)
{
    direct.now = host_store::mode::silent;
    EXPECT_TRUE(commit("cw/job/1"));
    EXPECT_EQ(committed, 1);
    EXPECT_EQ(deposed, 0);
    EXPECT_EQ(memory.items.count("cw/job/1"), 1U);
}

// The commit has taken effect, but its helper died before it could say so. Sent again through the
// other host, its comparison fails, and the owner finds its own record.
TEST_F(refused_owner, LosesNoCommitWithTheHostThatHelpsIt)
{
    direct.now = host_store::mode::refuses;
    for (const auto &[name, host] : hosts)
        host->diesBeforeItAnswers = name.value == "a";
    EXPECT_TRUE(commit("cw/job/1"));
    EXPECT_TRUE(commit("cw/job/2"));
    EXPECT_FALSE(hosts.at({"a"})->isUp);
    EXPECT_EQ(committed, 2);
    EXPECT_EQ(commitsRefused, 0);
    EXPECT_EQ(deposed, 0);
}

// A store that is down for everybody must not be called by everybody, time and again.
TEST_F(refused_owner, LeavesOthersAloneWhenTheStoreServesNobody)
{
    direct.now = host_store::mode::refuses;
    for (const auto &[name, host] : hosts)
        host->reached.now = host_store::mode::refuses;
    election.commit(loop.now(), batchOf("cw/job/1", "x"));
    tick();
    ASSERT_TRUE(loop.runUntil([&] { return commitsRefused == 1; }, limit));
    const int asked = hosts.at({"a"})->reached.calls + hosts.at({"b"})->reached.calls;
    election.commit(loop.now(), batchOf("cw/job/1", "x"));
    ASSERT_TRUE(loop.runUntil([&] { return commitsRefused == 2; }, limit));
    EXPECT_EQ(hosts.at({"a"})->reached.calls + hosts.at({"b"})->reached.calls, asked);
    EXPECT_EQ(memory.items.count("cw/job/1"), 0U);
}

// The list of workers must not seem more recent than what the helping host had asked for.
TEST_F(refused_owner, SeesThroughAnotherHostWhatTheStoreDoesNotShowIt)
{
    std::vector<store_watch_update> updates;
    detour.watch("servers/", 300ms,
                 [&](const store_watch_update &update) { updates.push_back(update); });
    const auto isLast = [&](store_watch_update::kind what) {
        return loop.runUntil([&] { return !updates.empty() && updates.back().what == what; },
                             limit);
    };
    ASSERT_TRUE(isLast(store_watch_update::kind::started));
    direct.now = host_store::mode::refuses;
    direct.report(store_watch_update::kind::lost);
    ASSERT_TRUE(isLast(store_watch_update::kind::lost));
    ASSERT_TRUE(isLast(store_watch_update::kind::started));
    const auto helping = std::find_if(hosts.begin(), hosts.end(), [](const auto &entry) {
        return !entry.second->reached.watches.empty();
    });
    ASSERT_NE(helping, hosts.end());
    helping->second->reached.report(store_watch_update::kind::unchanged);
    ASSERT_TRUE(isLast(store_watch_update::kind::unchanged));
    EXPECT_LE(updates.back().asOf, loop.now());
    EXPECT_GT(updates.back().asOf, instant());

    // An election that ends the ownership must not be called back by its own action.
    const std::size_t before = updates.size();
    detour.setMayAskOthers(false);
    EXPECT_EQ(updates.size(), before);
    ASSERT_TRUE(isLast(store_watch_update::kind::lost));
    detour.setMayAskOthers(true);
    ASSERT_TRUE(isLast(store_watch_update::kind::started));

    const auto helper = std::find_if(hosts.begin(), hosts.end(), [](const auto &entry) {
        return !entry.second->reached.watches.empty();
    });
    ASSERT_NE(helper, hosts.end());
    helper->second->isUp = false;
    detour.removeHelper(helper->first);
    ASSERT_TRUE(isLast(store_watch_update::kind::lost));
    ASSERT_TRUE(isLast(store_watch_update::kind::started));
    direct.now = host_store::mode::serves;
    direct.report(store_watch_update::kind::started);
    ASSERT_TRUE(loop.runUntil(
        [&] {
            return std::all_of(hosts.begin(), hosts.end(), [](const auto &entry) {
                return !entry.second->isUp || entry.second->reached.watches.empty();
            });
        },
        limit));
}
