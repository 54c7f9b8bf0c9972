#include "call_patience.h"

#include <algorithm>

namespace crocuswind::policy {

namespace {

/// An owner's key ends within a second of its last renewal. Its successor is elected within half a
/// second more, and usually has read the records within another.
constexpr duration ownerChangeTime = 2500ms;

/// A link to the owner that was only reset is back within this time.
constexpr duration relinkTime = 400ms;

/// More than twice the time between two signs of life of either.
constexpr duration silenceLimit = 1200ms;

/// A new owner has read the records within this time.
constexpr duration takeoverTime = 1s;

/// Another host can serve a caller of one that is cut off at once. The others come back when an
/// owner should have been found, spread over this time.
constexpr std::int64_t shortestRetryMs = 1000;
constexpr std::uint64_t retrySpreadMs = 1000;

/// An odd number whose products differ in their upper bits.
constexpr std::uint64_t mixingFactor = 0x9E3779B97F4A7C15;

} // namespace

bool isSilent(instant now, instant ownerHeardAt, instant storeHeardAt)
{
    return now - std::max(ownerHeardAt, storeHeardAt) > silenceLimit;
}

bool isCutOff(const owner_contact &contact)
{
    return contact.isSilent || (contact.unreachableSince && contact.blindSince);
}

instant patienceEnd(const owner_contact &contact)
{
    const instant since = *contact.unreachableSince;
    const instant changed = since + ownerChangeTime;
    if (contact.isSilent)
        return since;
    if (!isCutOff(contact))
        return changed;
    return std::min(changed, std::max(since + relinkTime, *contact.blindSince));
}

bool refusesCalls(const owner_contact &contact, instant now)
{
    return contact.isSilent || (contact.unreachableSince && now >= patienceEnd(contact));
}

bool isDisowned(const owner_contact &contact, instant now)
{
    return contact.blindSince && contact.disownedSince
        && now - *contact.disownedSince >= takeoverTime;
}

std::int64_t retryAfterMs(const owner_contact &contact, std::uint64_t number)
{
    if (isCutOff(contact))
        return shortestRetryMs;
    constexpr int upperHalf = 32;
    return shortestRetryMs + std::int64_t((number * mixingFactor >> upperHalf) % retrySpreadMs);
}

} // namespace crocuswind::policy
