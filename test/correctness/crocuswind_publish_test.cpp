// Guards against publishing twice after a lost answer, overwriting another operator's publication,
// and a dry run that changes the stored configuration.

#include "standin/child_process.h"

#include <fstream>
#include <gtest/gtest.h>
#include <optional>

using namespace crocuswind::standin;

namespace {

const std::string bin = CROCUSWIND_BIN;

class published_store : public testing::Test
{
protected:
    int crocuswind(std::vector<std::string> arguments)
    {
        arguments.insert(arguments.end(), {"--store", address});
        child_process p(bin + "/crocuswind", arguments);
        const int status = p.wait();
        output = p.output() + p.errors();
        return status;
    }

    std::string write(const std::string &cores)
    {
        const std::string path = testing::TempDir() + "crocuswind_publish_test.toml";
        std::ofstream(path) << "[team.lab]\ncores = " << cores << "\nmemory_mb = 10\n";
        return path;
    }

    bool shows(const std::string &text) const { return output.find(text) != std::string::npos; }

    void start(const std::string &flag, const std::string &value)
    {
        store.emplace(bin + "/standin_store", std::vector<std::string>{flag, value});
        address = listeningAddress(*store);
    }

    std::optional<child_process> store;
    std::string address;
    std::string output;
};

} // namespace

TEST_F(published_store, LostAnswersNeitherFailNorPublishTwice)
{
    // The store applies the first write, but its answer is lost.
    start("--lose-next-answers", "1");
    ASSERT_EQ(crocuswind({"publish", write("8"), "--author", "ada"}), 0) << output;
    EXPECT_TRUE(shows("published revision 1")) << output;
    ASSERT_EQ(crocuswind({"publish", write("8")}), 0);
    EXPECT_TRUE(shows("nothing to publish")) << output;
    ASSERT_EQ(crocuswind({"publish", write("9"), "--dry-run"}), 0);
    EXPECT_TRUE(shows("-    2 cores = 8\n+    2 cores = 9\ndry run")) << output;
    ASSERT_EQ(crocuswind({"publish", write("9"), "--author", "bob"}), 0) << output;
    ASSERT_EQ(crocuswind({"rollback", "1", "--author", "eve"}), 0) << output;
    EXPECT_EQ(crocuswind({"rollback", "9"}), 3);
    ASSERT_EQ(crocuswind({"history"}), 0);
    EXPECT_TRUE(shows("revision 3 by eve")) << output;
    EXPECT_TRUE(shows("revision 1 by ada")) << output;
    EXPECT_FALSE(shows("revision 4")) << output;
}

TEST_F(published_store, UnknownPublicationIsFoundUnderItsIdentifier)
{
    start("--lose-answers-percent", "100");
    ASSERT_EQ(crocuswind({"publish", write("8"), "--timeout-ms", "2500"}), 4) << output;
    const std::string flag = "--publication ";
    const std::size_t begin = output.find(flag);
    ASSERT_NE(begin, std::string::npos) << output;
    const std::string publication = output.substr(begin + flag.size(), 32);
    ASSERT_EQ(crocuswind({"publish", write("8"), "--publication", publication, "--base", "0"}), 0)
        << output;
    EXPECT_TRUE(shows("published revision 1")) << output;
}

TEST_F(published_store, PublicationWithAnOutdatedBaseIsRefused)
{
    start("--lose-answers-percent", "0");
    ASSERT_EQ(crocuswind({"publish", write("8"), "--author", "ada"}), 0) << output;
    ASSERT_EQ(crocuswind({"publish", write("9"), "--base", "0"}), 3) << output;
    EXPECT_TRUE(shows("revision 1 by ada")) << output;
    EXPECT_TRUE(shows("nothing was published")) << output;
}
