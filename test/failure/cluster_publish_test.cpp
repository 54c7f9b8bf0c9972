// Guards against lost or duplicated publications, caused by concurrent operators, by answers that
// are lost after the write took effect, and by repeated runs.

#include "failure/cluster_fakes.h"

#include <gtest/gtest.h>

using namespace crocuswind;
using namespace crocuswind::cluster_test;

namespace {

/// One run of the publish command by an operator.
class publisher
{
public:
    publisher(virtual_time &time, fake_store &store, random_source &random, publish_request request)
        : m_time(time)
        , m_store(store)
        , m_random(random)
        , m_core(std::move(request))
    { }

    void handle(decltype(publish_core::event::what) what)
    {
        for (const auto &action : m_core.handle({m_time.now(), std::move(what)})) {
            if (const auto *call = std::get_if<cluster_store_call>(&action)) {
                callStore(m_time, m_store, faults, m_random, *call,
                          [this](const cluster_store_answer &a) { handle(a); });
            } else if (const auto *wake = std::get_if<cluster_wake_at>(&action)) {
                m_time.at(wake->when, [this] { handle(cluster_tick()); });
            } else {
                ASSERT_FALSE(end) << "finished twice";
                end = std::get<publish_finished>(action);
            }
        }
    }

    path_faults faults;
    std::optional<publish_finished> end;

private:
    virtual_time &m_time;
    fake_store &m_store;
    random_source &m_random;
    publish_core m_core;
};

struct publish_fixture
{
    virtual_time time;
    fake_store store{time};
    seeded_random random{1};

    publish_request request(const std::string &publication, std::vector<config_file> files)
    {
        publish_request r;
        r.publication = publication;
        r.author = "op-" + publication;
        r.files = std::move(files);
        r.deadline = time.now() + 30s;
        return r;
    }
    publish_finished run(publish_request r, bool isDown = false)
    {
        r.deadline = time.now() + 30s;
        publisher p(time, store, random, std::move(r));
        p.faults.isDown = isDown;
        p.handle(cluster_tick());
        time.runFor(60s);
        return p.end.value();
    }
    std::optional<config_set> stored(const std::string &key = configCurrentKey)
    {
        const auto found = store.entries().find(key);
        if (found == store.entries().end())
            return std::nullopt;
        return decodeConfig(found->second.value).value();
    }
};

} // namespace

TEST(Publish, WritesRevisionsWithHistory)
{
    publish_fixture fixture;
    EXPECT_EQ(fixture.run(fixture.request("p1", {{"a", "1"}})).revision, 1);
    auto second = fixture.request("p2", {{"a", "2"}});
    second.expectedBase = 1;
    EXPECT_EQ(fixture.run(second).revision, 2);
    EXPECT_EQ(fixture.stored()->files, (std::vector<config_file>{{"a", "2"}}));
    EXPECT_EQ(fixture.stored("config/history/1")->publication, "p1");
    EXPECT_EQ(*fixture.stored("config/history/2"), *fixture.stored());
}

TEST(Publish, ReportsTheChangedFilesForAStaleBase)
{
    publish_fixture fixture;
    fixture.run(fixture.request("p1", {{"a", "1"}}));
    fixture.run(fixture.request("p2", {{"a", "2"}, {"b", "1"}}));
    auto late = fixture.request("p3", {{"a", "1"}, {"b", "1"}});
    late.expectedBase = 1;
    const auto end = fixture.run(late);
    EXPECT_EQ(end.verdict, publish_verdict::conflict);
    ASSERT_TRUE(end.other);
    EXPECT_EQ(end.other->author, "op-p2");
    EXPECT_EQ(end.changed, (std::vector<std::string>{"a"}));
    EXPECT_EQ(fixture.stored()->revision, 2);
}

TEST(Publish, RollsBackWithANewRevision)
{
    publish_fixture fixture;
    fixture.run(fixture.request("p1", {{"a", "1"}}));
    fixture.run(fixture.request("p2", {{"a", "2"}}));
    auto back = fixture.request("p3", {});
    back.rollbackTo = 1;
    EXPECT_EQ(fixture.run(back).revision, 3);
    EXPECT_EQ(fixture.stored()->files, (std::vector<config_file>{{"a", "1"}}));
    auto missing = fixture.request("p4", {});
    missing.rollbackTo = 99;
    EXPECT_EQ(fixture.run(missing).verdict, publish_verdict::refused);
}

TEST(Publish, KeepsABoundedHistory)
{
    publish_fixture fixture;
    for (std::int64_t i = 1; i <= configHistoryLength + 5; ++i)
        fixture.run(fixture.request("p" + std::to_string(i), {}));
    EXPECT_EQ(fixture.store.entries().size(), std::size_t(configHistoryLength) + 1);
}

TEST(Publish, WritesNothingThatIsTooLargeOrCannotBeSent)
{
    publish_fixture fixture;
    const auto large
        = fixture.run(fixture.request("p1", {{"a", std::string(maxConfigBytes, 'x')}}));
    EXPECT_EQ(large.verdict, publish_verdict::refused);
    EXPECT_EQ(fixture.run(fixture.request("p2", {}), true).verdict, publish_verdict::not_published);
    EXPECT_FALSE(fixture.stored());
}

// Guards against a repeated run that publishes again, or reports a conflict with its own
// configuration, after the answer to the first run was lost and another operator has published
// since.
TEST(Publish, FindsItsOwnRevisionUnderALaterOne)
{
    publish_fixture fixture;
    fixture.run(fixture.request("p1", {{"a", "1"}}));
    auto own = fixture.request("p2", {{"a", "2"}});
    own.expectedBase = 1;
    fixture.run(own);
    fixture.run(fixture.request("p3", {{"a", "3"}}));
    const auto end = fixture.run(own);
    EXPECT_EQ(end.verdict, publish_verdict::published);
    EXPECT_EQ(end.revision, 2);
    EXPECT_EQ(fixture.stored()->publication, "p3");
}

// Operators publish concurrently over a path that loses and delays calls. Every publication
// reported as published must be in the history exactly once, none reported as not written may be
// there, and the revisions must have no gaps.
TEST(Publish, LosesNoAcceptedChangeUnderConcurrentPublications)
{
    constexpr std::size_t operatorCount = 8;
    int published = 0;
    int unknown = 0;
    int conflicts = 0;
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        SCOPED_TRACE(seed);
        publish_fixture fixture;
        fixture.random = seeded_random(seed);
        std::vector<std::unique_ptr<publisher>> operators;
        for (std::size_t i = 0; i < operatorCount; ++i) {
            auto r = fixture.request("p" + std::to_string(i), {{"f" + std::to_string(i), "x"}});
            r.deadline = fixture.time.now() + 8s;
            operators.push_back(
                std::make_unique<publisher>(fixture.time, fixture.store, fixture.random, r));
            operators.back()->faults = {0.2, 0, 1ms, 1500ms, false};
            fixture.time.after(duration(std::int64_t(fixture.random.below(6'000'000))),
                               [p = operators.back().get()] { p->handle(cluster_tick()); });
        }
        fixture.time.runFor(60s);
        std::map<std::string, std::int64_t> written;
        for (const auto &[key, entry] : fixture.store.entries()) {
            if (key == configCurrentKey)
                continue;
            const auto config = decodeConfig(entry.value).value();
            EXPECT_TRUE(written.emplace(config.publication, config.revision).second)
                << config.publication << " was written twice";
        }
        EXPECT_EQ(fixture.stored() ? fixture.stored()->revision : 0, std::int64_t(written.size()));
        for (std::size_t i = 0; i < operatorCount; ++i) {
            ASSERT_TRUE(operators[i]->end);
            const publish_finished &end = *operators[i]->end;
            const auto found = written.find("p" + std::to_string(i));
            if (end.verdict == publish_verdict::published) {
                ++published;
                EXPECT_TRUE(found != written.end() && found->second == end.revision)
                    << "accepted publication p" << i << " is lost";
            } else if (end.verdict == publish_verdict::unknown) {
                ++unknown;
            } else {
                conflicts += end.verdict == publish_verdict::conflict ? 1 : 0;
                EXPECT_TRUE(found == written.end()) << "p" << i << " was written: " << end.message;
            }
        }
    }
    EXPECT_GT(published, 300);
    EXPECT_GT(conflicts, 100);
    EXPECT_GT(unknown, 10);
}
