// Guards against configurations that change when they are encoded and decoded, and against invalid
// values being accepted as a configuration.

#include "cluster/cluster.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace crocuswind;

RC_GTEST_PROP(ConfigSet, RoundTrips, (const std::map<std::string, int> &texts))
{
    config_set config{7, "p-1", "ada", 1'800'000'000'000, {}};
    int number = 0;
    for (const auto &[text, repeat] : texts) {
        const auto hex = std::to_string(number++);
        config.files.push_back(
            {hex, std::string(std::size_t(std::abs(repeat % 50)), 'x') + "\"\n"});
    }
    std::sort(config.files.begin(), config.files.end(),
              [](const config_file &a, const config_file &b) { return a.name < b.name; });
    const auto decoded = decodeConfig(encodeConfig(config));
    RC_ASSERT(decoded && *decoded == config);
}

TEST(ConfigSet, ReadsAValueWithUnknownFields)
{
    const auto decoded = decodeConfig(
        R"({"revision":2,"publication":"p","author":"a","time":5,"files":[],"later":{"x":[1]}})");
    ASSERT_TRUE(decoded) << decoded.error();
    EXPECT_EQ(decoded->revision, 2);
}

TEST(ConfigSet, RefusesBadValues)
{
    const std::string deep = std::string(100'000, '[');
    const config_set large{1, "p", "a", 1, {{"big", std::string(maxConfigBytes, 'x')}}};
    for (const std::string &text :
         {std::string(), std::string("null"), std::string("{}"), deep, encodeConfig(large),
          std::string(R"({"revision":0,"publication":"p","author":"a","time":5,"files":[]})"),
          std::string(R"({"revision":"1","publication":"p","author":"a","time":5,"files":[]})"),
          std::string(R"({"revision":1,"publication":"p","author":"a","time":5,"files":{}})"),
          std::string(R"({"revision":1,"publication":"p","author":"a","time":5,"files":[
              {"name":"a","text":"1"},{"name":"a","text":"2"}]})")})
        EXPECT_FALSE(decodeConfig(text)) << text.substr(0, 80);
}

TEST(ConfigSet, NamesTheFilesThatDiffer)
{
    const config_set from{1, "p", "a", 1, {{"a", "1"}, {"b", "1"}, {"c", "1"}}};
    const config_set to{2, "q", "b", 2, {{"b", "1"}, {"c", "2"}, {"d", "1"}}};
    EXPECT_EQ(changedFiles(from, to), (std::vector<std::string>{"a", "c", "d"}));
}
