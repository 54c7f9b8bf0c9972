#include "worker_list.h"

#include <algorithm>
#include <charconv>
#include <sstream>
#include <utility>

namespace crocuswind::scheduler {

namespace {

/// Far longer than any lease.
constexpr std::int64_t maxTimeLeftMs = 3600000;

/// Begins the line of a misdirected lease.
constexpr std::string_view misdirectedPrefix = " restarted/";

/// Begins the line of unanswered runs.
constexpr std::string_view unansweredPrefix = " unanswered/";

/// Begins the line of the incarnations.
constexpr std::string_view incarnationsPrefix = " lives/";

bool startsWith(std::string_view text, std::string_view prefix)
{
    return text.substr(0, prefix.size()) == prefix;
}

// Parses a line that begins with incarnationsPrefix. Returns nothing if it is malformed.
std::vector<std::int64_t> parseIncarnations(std::string_view line)
{
    std::vector<std::int64_t> starts;
    const char *next = line.data() + incarnationsPrefix.size();
    const char *const end = line.data() + line.size();
    while (next < end) {
        std::int64_t start = 0;
        const auto [rest, error] = std::from_chars(next, end, start);
        const bool isRead = error == std::errc() && start >= 0 && (rest == end || *rest == ',');
        if (!isRead)
            return {};
        starts.push_back(start);
        next = rest + 1;
    }
    return starts;
}

// Returns the line of the incarnations, or nothing if none is known.
std::string incarnationsToText(const std::vector<stored_worker> &workers)
{
    const bool areKnown = std::any_of(workers.begin(), workers.end(), [](const stored_worker &w) {
        return w.incarnationStartUnixMs != 0;
    });
    std::string text;
    if (!areKnown)
        return text;
    text = incarnationsPrefix;
    for (const stored_worker &worker : workers)
        text += std::to_string(worker.incarnationStartUnixMs) + ',';
    text.back() = '\n';
    return text;
}

// Sets the incarnations of the workers if there is one for each.
void setIncarnations(const std::vector<std::int64_t> &starts, std::vector<stored_worker> &workers)
{
    if (starts.size() != workers.size())
        return;
    for (std::size_t i = 0; i < starts.size(); ++i)
        workers[i].incarnationStartUnixMs = starts[i];
}

std::vector<silent_lease> parseSilentLeases(std::string_view text)
{
    std::vector<silent_lease> leases;
    std::istringstream words{std::string(text)};
    for (silent_lease lease; words >> lease.worker.value;) {
        const bool isRead = bool(words >> lease.lastEpoch >> lease.timeLeftMs);
        if (!isRead || lease.timeLeftMs < 0 || lease.timeLeftMs > maxTimeLeftMs)
            return {};
        leases.push_back(lease);
    }
    return leases;
}

// Parses a line ` epoch/milliseconds`.
std::optional<owner_moment> parseWrittenAt(std::string_view line)
{
    owner_moment moment;
    const char *const end = line.data() + line.size();
    const auto epoch = std::from_chars(line.data() + 1, end, moment.epoch);
    if (epoch.ec != std::errc() || epoch.ptr == end || *epoch.ptr != '/')
        return std::nullopt;
    const auto clock = std::from_chars(epoch.ptr + 1, end, moment.clockMs);
    if (clock.ec != std::errc() || clock.ptr != end)
        return std::nullopt;
    return moment;
}

// Parses a line ` incarnation/milliseconds/id`.
std::optional<clock_witness> parseWitness(std::string_view line)
{
    clock_witness witness;
    const char *const end = line.data() + line.size();
    const auto start = std::from_chars(line.data() + 1, end, witness.incarnationStartUnixMs);
    if (start.ec != std::errc() || start.ptr == end || *start.ptr != '/')
        return std::nullopt;
    const auto clock = std::from_chars(start.ptr + 1, end, witness.clockMs);
    if (clock.ec != std::errc() || clock.ptr == end || *clock.ptr != '/')
        return std::nullopt;
    witness.worker.value.assign(clock.ptr + 1, end);
    if (witness.worker.empty() || witness.incarnationStartUnixMs <= 0 || witness.clockMs < 0)
        return std::nullopt;
    return witness;
}

// Parses a line `PREFIXmilliseconds/id` into an entry with a worker and the time that it has left.
// A time that can't be read counts as the longest one.
template <class entry>
std::optional<entry> parseTimeLeft(std::string_view line, std::string_view prefix)
{
    entry parsed;
    const char *const begin = line.data() + prefix.size();
    const char *const end = line.data() + line.size();
    const char *const slash = std::find(begin, end, '/');
    if (slash == end || slash + 1 == end)
        return std::nullopt;
    parsed.worker.value.assign(slash + 1, end);
    const auto [rest, error] = std::from_chars(begin, slash, parsed.timeLeftMs);
    const bool isRead = error == std::errc() && rest == slash && parsed.timeLeftMs >= 0;
    parsed.timeLeftMs = isRead ? std::min(parsed.timeLeftMs, maxTimeLeftMs) : maxTimeLeftMs;
    return parsed;
}

// Appends a line that parseTimeLeft() parses for each of the entries.
template <class entry>
void appendTimesLeft(const std::vector<entry> &entries, std::string_view prefix, std::string &text)
{
    for (const entry &e : entries)
        text.append(prefix) += std::to_string(e.timeLeftMs) + '/' + e.worker.value + '\n';
}

// Parses a line that begins with a space.
void parseDetail(std::string_view line, worker_list &list)
{
    if (startsWith(line, misdirectedPrefix)) {
        if (auto lease = parseTimeLeft<misdirected_lease>(line, misdirectedPrefix))
            list.misdirected.push_back(std::move(*lease));
    } else if (line == unansweredPrefix) {
        list.namesUnanswered = true;
    } else if (startsWith(line, unansweredPrefix)) {
        if (auto runs = parseTimeLeft<unanswered_runs>(line, unansweredPrefix))
            list.unanswered.push_back(std::move(*runs));
    } else if (auto witness = parseWitness(line)) {
        list.witnesses.push_back(std::move(*witness));
    } else {
        list.writtenAt = parseWrittenAt(line);
    }
}

} // namespace

std::string toText(const worker_list &list)
{
    std::string text = incarnationsToText(list.workers);
    appendTimesLeft(list.misdirected, misdirectedPrefix, text);
    if (list.namesUnanswered)
        text.append(unansweredPrefix) += '\n';
    appendTimesLeft(list.unanswered, unansweredPrefix, text);
    for (const clock_witness &witness : list.witnesses)
        text += ' ' + std::to_string(witness.incarnationStartUnixMs) + '/'
            + std::to_string(witness.clockMs) + '/' + witness.worker.value + '\n';
    if (list.writtenAt)
        text += ' ' + std::to_string(list.writtenAt->epoch) + '/'
            + std::to_string(list.writtenAt->clockMs) + '\n';
    for (const stored_worker &worker : list.workers)
        text += worker.id.value + ' ' + worker.address + '\n';
    for (const silent_lease &lease : list.silent)
        text += lease.worker.value + ' ' + std::to_string(lease.lastEpoch) + ' '
            + std::to_string(lease.timeLeftMs) + ' ';
    return text;
}

worker_list parseWorkerList(std::string_view text)
{
    worker_list list;
    std::vector<std::int64_t> starts;
    std::size_t begin = 0;
    for (std::size_t end = text.find('\n'); end != std::string_view::npos;
         end = text.find('\n', begin)) {
        const std::string_view line = text.substr(begin, end - begin);
        begin = end + 1;
        if (startsWith(line, incarnationsPrefix)) {
            starts = parseIncarnations(line);
            continue;
        }
        if (!line.empty() && line.front() == ' ') {
            parseDetail(line, list);
            continue;
        }
        const std::size_t space = std::min(line.rfind(' '), line.size());
        stored_worker worker;
        worker.id.value = line.substr(0, space);
        worker.address = line.substr(std::min(space + 1, line.size()));
        if (!worker.id.empty())
            list.workers.push_back(std::move(worker));
    }
    setIncarnations(starts, list.workers);
    list.silent = parseSilentLeases(text.substr(begin));
    return list;
}

} // namespace crocuswind::scheduler
