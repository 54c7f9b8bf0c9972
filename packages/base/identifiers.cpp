#include "identifiers.h"

#include <charconv>
#include <fmt/format.h>
#include <xxhash.h>

namespace crocuswind {

namespace {

std::optional<std::int64_t> parseNonNegative(std::string_view text)
{
    std::int64_t number = 0;
    const char *end = text.data() + text.size();
    auto [stop, error] = std::from_chars(text.data(), end, number);
    if (error != std::errc() || stop != end || number < 0)
        return std::nullopt;
    return number;
}

} // namespace

std::string toString(const request_id &id)
{
    return fmt::format("{}.{}.{}", id.home.value, id.epoch, id.sequence);
}

std::optional<request_id> parseRequestId(std::string_view text)
{
    const auto lastDot = text.rfind('.');
    if (lastDot == std::string_view::npos || lastDot == 0)
        return std::nullopt;
    const auto middleDot = text.rfind('.', lastDot - 1);
    if (middleDot == std::string_view::npos || middleDot == 0)
        return std::nullopt;
    const auto home = text.substr(0, middleDot);
    const auto epoch = parseNonNegative(text.substr(middleDot + 1, lastDot - middleDot - 1));
    const auto sequence = parseNonNegative(text.substr(lastDot + 1));
    if (!epoch || !sequence || !isValidName(home))
        return std::nullopt;
    return request_id{host_id{std::string(home)}, *epoch, *sequence};
}

std::string toString(const job_id &id)
{
    return id.team.value + "/" + id.name;
}

std::optional<job_id> parseJobId(std::string_view text)
{
    const auto slash = text.find('/');
    if (slash == std::string_view::npos)
        return std::nullopt;
    const auto team = text.substr(0, slash);
    const auto name = text.substr(slash + 1);
    if (!isValidName(team) || !isValidName(name))
        return std::nullopt;
    return job_id{team_id{std::string(team)}, std::string(name)};
}

std::string toString(const shard_id &id)
{
    return fmt::format("{}/{}", id.dataCentre.value, id.index);
}

bool isValidName(std::string_view text)
{
    constexpr std::size_t maxNameLength = 63;
    const auto isAlphanumeric
        = [](char c) { return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9'); };
    if (text.empty() || text.size() > maxNameLength)
        return false;
    if (!isAlphanumeric(text.front()) || !isAlphanumeric(text.back()))
        return false;
    for (char c : text) {
        if (!isAlphanumeric(c) && c != '-' && c != '.')
            return false;
    }
    return true;
}

std::uint64_t stableHash(std::string_view text, std::uint64_t seed)
{
    return XXH64(text.data(), text.size(), seed);
}

} // namespace crocuswind
