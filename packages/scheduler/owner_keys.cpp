#include "owner_keys.h"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>
#include <vector>

namespace crocuswind::scheduler {

namespace {

// Parses decimal numbers with one space before each. Returns nothing if any of them is malformed.
std::vector<std::int64_t> parseNumbers(const char *begin, const char *end)
{
    std::vector<std::int64_t> numbers;
    while (begin != end) {
        if (*begin != ' ')
            return {};
        const auto [rest, error] = std::from_chars(begin + 1, end, numbers.emplace_back());
        if (error != std::errc())
            return {};
        begin = rest;
    }
    return numbers;
}

} // namespace

std::string ownerKey(const std::string &keyPrefix)
{
    return keyPrefix + "owner";
}

std::string confirmationKey(const std::string &keyPrefix)
{
    return ownerKey(keyPrefix) + "/confirmed";
}

std::string epochKey(const std::string &keyPrefix)
{
    return keyPrefix + "epoch";
}

std::string toText(const epoch_record &value)
{
    return fmt::format("{} {} {} {} {} {}", value.epoch, value.commit, value.host,
                       value.confirmation, value.lastConfirmed.epoch, value.lastConfirmed.number);
}

epoch_record parseEpochRecord(const std::string &text)
{
    epoch_record value;
    const char *const end = text.data() + text.size();
    const auto epoch = std::from_chars(text.data(), end, value.epoch);
    value.lastConfirmed.epoch = value.epoch;
    if (epoch.ec != std::errc() || epoch.ptr == end)
        return value;
    const auto commit = std::from_chars(epoch.ptr + 1, end, value.commit);
    if (commit.ec != std::errc() || commit.ptr == end)
        return value;
    const char *const hostEnd = std::find(commit.ptr + 1, end, ' ');
    value.host.assign(commit.ptr + 1, hostEnd);
    const auto numbers = parseNumbers(hostEnd, end);
    if (!numbers.empty())
        value.confirmation = numbers[0];
    value.lastConfirmed.number = value.confirmation;
    if (numbers.size() == 3)
        value.lastConfirmed = {numbers[1], numbers[2]};
    return value;
}

std::string toText(const published_confirmation &published)
{
    const owner_confirmation former = published.former.value_or(owner_confirmation());
    return fmt::format("{} {} {} {} {}", published.confirmation.epoch,
                       published.confirmation.number, former.epoch, former.number,
                       published.clockMs);
}

std::optional<published_confirmation> parseConfirmation(const std::string &text)
{
    const std::string padded = ' ' + text;
    const auto numbers = parseNumbers(padded.data(), padded.data() + padded.size());
    if (numbers.size() != 2 && numbers.size() != 5)
        return std::nullopt;
    published_confirmation published;
    published.confirmation = {numbers[0], numbers[1]};
    if (numbers.size() == 5) {
        published.former = owner_confirmation{numbers[2], numbers[3]};
        published.clockMs = numbers[4];
    }
    return published;
}

std::string toText(const owner_info &owner)
{
    return fmt::format("{} {} {}", owner.epoch, owner.host.value, owner.address);
}

std::optional<owner_info> parseOwner(const std::string &text)
{
    owner_info owner;
    const std::size_t first = text.find(' ');
    const std::size_t second = text.find(' ', first == std::string::npos ? first : first + 1);
    if (second == std::string::npos)
        return std::nullopt;
    const auto [rest, error] = std::from_chars(text.data(), text.data() + first, owner.epoch);
    if (error != std::errc() || rest != text.data() + first)
        return std::nullopt;
    owner.host.value = text.substr(first + 1, second - first - 1);
    owner.address = text.substr(second + 1);
    return owner;
}

} // namespace crocuswind::scheduler
