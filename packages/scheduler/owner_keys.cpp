#include "owner_keys.h"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>

namespace crocuswind::scheduler {

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
    return fmt::format("{} {} {} {}", value.epoch, value.commit, value.host, value.confirmation);
}

epoch_record parseEpochRecord(const std::string &text)
{
    epoch_record value;
    const char *const end = text.data() + text.size();
    const auto epoch = std::from_chars(text.data(), end, value.epoch);
    if (epoch.ec != std::errc() || epoch.ptr == end)
        return value;
    const auto commit = std::from_chars(epoch.ptr + 1, end, value.commit);
    if (commit.ec != std::errc() || commit.ptr == end)
        return value;
    const char *const hostEnd = std::find(commit.ptr + 1, end, ' ');
    value.host.assign(commit.ptr + 1, hostEnd);
    if (hostEnd != end)
        std::from_chars(hostEnd + 1, end, value.confirmation);
    return value;
}

std::string toText(const owner_confirmation &confirmation)
{
    return fmt::format("{} {}", confirmation.epoch, confirmation.number);
}

std::optional<owner_confirmation> parseConfirmation(const std::string &text)
{
    owner_confirmation value;
    const char *const end = text.data() + text.size();
    const auto epoch = std::from_chars(text.data(), end, value.epoch);
    if (epoch.ec != std::errc() || epoch.ptr == end || *epoch.ptr != ' ')
        return std::nullopt;
    const auto number = std::from_chars(epoch.ptr + 1, end, value.number);
    if (number.ec != std::errc() || number.ptr != end)
        return std::nullopt;
    return value;
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
