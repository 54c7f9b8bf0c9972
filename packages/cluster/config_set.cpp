#include "config_set.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <set>

namespace crocuswind {

using nlohmann::json;

std::string configHistoryKey(std::int64_t revision)
{
    return "config/history/" + std::to_string(revision);
}

std::string encodeConfig(const config_set &config)
{
    json files = json::array();
    for (const config_file &f : config.files)
        files.push_back({{"name", f.name}, {"text", f.text}});
    const json value = {{"revision", config.revision},
                        {"publication", config.publication},
                        {"author", config.author},
                        {"time", config.timeMs},
                        {"files", std::move(files)}};
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

tl::expected<config_set, std::string> decodeConfig(std::string_view text)
{
    if (text.size() > maxConfigBytes)
        return tl::unexpected(std::string("the configuration is larger than 700 KB"));
    // Limits the depth during parsing, so that nested arrays cannot overflow the stack.
    constexpr int maxDepth = 16;
    const auto limitDepth = [](int depth, json::parse_event_t, json &) {
        if (depth > maxDepth)
            throw std::length_error("too deeply nested");
        return true;
    };
    try {
        const json value = json::parse(text, limitDepth);
        config_set config;
        config.revision = value.at("revision").get<std::int64_t>();
        config.publication = value.at("publication").get<std::string>();
        config.author = value.at("author").get<std::string>();
        config.timeMs = value.at("time").get<std::int64_t>();
        const json &files = value.at("files");
        if (config.revision < 1 || !files.is_array() || files.size() > maxConfigFiles)
            return tl::unexpected(std::string("a field of the configuration is out of range"));
        std::set<std::string> names;
        for (const json &f : files) {
            config.files.push_back(
                {f.at("name").get<std::string>(), f.at("text").get<std::string>()});
            if (!names.insert(config.files.back().name).second)
                return tl::unexpected("file " + config.files.back().name + " occurs twice");
        }
        std::sort(config.files.begin(), config.files.end(),
                  [](const config_file &a, const config_file &b) { return a.name < b.name; });
        return config;
    } catch (const std::exception &error) {
        return tl::unexpected(std::string("the configuration is unreadable: ") + error.what());
    }
}

std::vector<std::string> changedFiles(const config_set &from, const config_set &to)
{
    std::map<std::string, std::string> before;
    for (const config_file &f : from.files)
        before[f.name] = f.text;
    std::set<std::string> changed;
    for (const config_file &f : to.files) {
        const auto old = before.find(f.name);
        if (old == before.end() || old->second != f.text)
            changed.insert(f.name);
        before.erase(f.name);
    }
    for (const auto &[name, text] : before)
        changed.insert(name);
    return {changed.begin(), changed.end()};
}

} // namespace crocuswind
