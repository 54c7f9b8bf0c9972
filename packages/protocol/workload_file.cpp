#include "workload_file.h"

#include "workload_section.h"

#include <algorithm>
#include <fmt/format.h>
#include <tuple>

namespace crocuswind {

namespace {

constexpr std::int64_t dayMs = 24LL * 60 * 60 * 1000;

// These bounds catch values in the wrong unit. The largest planned worker is well below 1,024 cores
// and 4 TiB of memory.
constexpr workload_bounds taskMilliCores{1, 1024 * 1000};
constexpr workload_bounds taskMemoryMb{1, 4 * 1024 * 1024};
constexpr workload_bounds taskAccelerators{0, 64};
constexpr workload_bounds quotaMilliCores{1, 1000 * 1000 * 1000};
constexpr workload_bounds quotaMemoryMb{1, 4LL * 1024 * 1024 * 1024};
constexpr workload_bounds quotaAccelerators{0, 100 * 1000};

/// The record of a job shares one value of the store with others; more replicas would fill it.
constexpr std::int64_t maxWorkloadReplicas = 256;

/// Bounds of request times in milliseconds. A request identifier expires after 10 minutes, so a
/// request cannot last longer.
constexpr workload_bounds requestMs{1, 10 * 60 * 1000};

void readCommon(workload_section &section, workload_common &c)
{
    c.team.value = section.name("team");
    c.repeatable = section.flag("repeatable", true);
    c.size.milliCores = section.thousandths("cores", taskMilliCores);
    c.size.memoryMb = section.number("memory_mb", taskMemoryMb, std::nullopt);
    c.size.accelerators = section.number("accelerators", taskAccelerators, 0);
    c.replicas = int(section.number("replicas", {1, maxWorkloadReplicas}, 1));
    c.backoffMs = section.number("backoff_ms", {0, 60 * 60 * 1000}, 50);
    c.maxNeighbourSlowdownPercent
        = int(section.number("max_neighbour_slowdown_percent", {0, 100}, 100));
}

void readAttempts(workload_section &section, workload_common &c, int maxAttempts)
{
    c.attempts = int(section.number("attempts", {1, maxAttempts}, c.repeatable ? maxAttempts : 1));
    if (!c.repeatable && c.attempts > 1)
        section.report("attempts", "'attempts' must be 1 for work with repeatable = false");
}

workload_service readService(workload_section &section, const std::string &name)
{
    workload_service s;
    s.place = section.place();
    s.common.name = name;
    readCommon(section, s.common);
    readAttempts(section, s.common, 2);
    s.common.urgency = section.choice("urgency", {"urgent", "normal"}, std::nullopt) == 0
        ? workload_urgency::urgent
        : workload_urgency::normal;
    s.common.deadlineMs = section.number("deadline_ms", requestMs, 0);
    s.expectedMs = section.number("expected_ms", requestMs, 0);
    if (s.common.urgency == workload_urgency::urgent && !section.has("deadline_ms"))
        section.report("deadline_ms", "'deadline_ms' is missing; urgent services need a deadline");
    if (s.common.deadlineMs > 0 && s.expectedMs > s.common.deadlineMs)
        section.report("expected_ms",
                       fmt::format("'expected_ms' is {} and above 'deadline_ms' ({})", s.expectedMs,
                                   s.common.deadlineMs));
    return s;
}

workload_job readJob(workload_section &section, const std::string &name)
{
    workload_job j;
    j.place = section.place();
    j.common.name = name;
    readCommon(section, j.common);
    readAttempts(section, j.common, 10);
    j.common.urgency = section.choice("urgency", {"urgent", "batch"}, 1) == 0
        ? workload_urgency::urgent
        : workload_urgency::batch;
    const std::size_t kind = section.choice("kind", {"finite", "continuous"}, std::nullopt);
    j.kind = kind == 0 ? workload_job_kind::finite : workload_job_kind::continuous;
    j.common.deadlineMs = section.number("deadline_ms", {1, 30 * dayMs}, 0);
    j.runMs = section.number("run_ms", {1, 30 * dayMs}, 0);
    if (j.kind == workload_job_kind::finite && !section.has("run_ms"))
        section.report("run_ms", "'run_ms' is missing; finite jobs give their expected run time");
    for (const char *key : {"run_ms", "deadline_ms"}) {
        if (kind == 1 && section.has(key))
            section.report(key, fmt::format("'{}' does not apply to kind = \"continuous\"", key));
    }
    if (j.kind == workload_job_kind::finite && j.common.deadlineMs > 0
        && j.runMs > j.common.deadlineMs)
        section.report("run_ms",
                       fmt::format("'run_ms' is {} and above 'deadline_ms' ({})", j.runMs,
                                   j.common.deadlineMs));
    return j;
}

workload_team readTeam(workload_section &section, const std::string &name)
{
    workload_team t;
    t.place = section.place();
    t.team.value = name;
    t.quota.milliCores = section.thousandths("cores", quotaMilliCores);
    t.quota.memoryMb = section.number("memory_mb", quotaMemoryMb, std::nullopt);
    t.quota.accelerators = section.number("accelerators", quotaAccelerators, 0);
    t.urgentWeight = int(section.number("urgent_weight", {1, 1000}, 1));
    return t;
}

/// Returns the place of the first section whose name starts with a character that TOML does not
/// allow. This is the only known mistake for which toml++ fails an assertion instead of reporting
/// the place.
source_place placeOfBadHeader(const workload_source &source)
{
    const std::string allowed
        = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789_-\"'";
    int line = 1;
    for (std::size_t begin = 0; begin < source.text.size(); ++line) {
        const std::size_t end = std::min(source.text.find('\n', begin), source.text.size());
        std::size_t at = source.text.find_first_not_of(" \t", begin);
        if (at < end && source.text[at] == '[') {
            // Without a name, the place is the end of the line.
            at = std::min(source.text.find_first_not_of(" \t[", at), end);
            if (at == end || allowed.find(source.text[at]) == std::string::npos)
                return {source.name, line, int(at - begin) + 1};
        }
        begin = end + 1;
    }
    return source_place{source.name};
}

/// Reads all sections of one kind, such as `[team.NAME]`.
template <class value, class reader>
void readKind(const toml::key &kind, const toml::node &node, const std::string &file,
              findings &found, std::vector<value> &values, reader read)
{
    const std::string kindName(kind.str());
    const toml::table *sections = node.as_table();
    if (!sections) {
        found.push_back({workloadPlace(file, kind.source()),
                         fmt::format("'{}' must be a section [{}.NAME]", kindName, kindName)});
        return;
    }
    for (const auto &[key, content] : *sections) {
        const std::string name(key.str());
        const std::string title = fmt::format("{}.{}", kindName, name);
        const toml::table *table = content.as_table();
        if (!table) {
            found.push_back(
                {workloadPlace(file, key.source()),
                 fmt::format("'{}' must stand in a section [{}.NAME]", name, kindName)});
            continue;
        }
        if (!isValidName(name)) {
            found.push_back({workloadPlace(file, key.source()),
                             fmt::format("[{}]: a name has 1 to 63 characters from a-z, 0-9, '-' "
                                         "and '.'",
                                         title)});
            continue;
        }
        workload_section section(*table, file, title, found);
        value parsed = read(section, name);
        parsed.hasMistakes = !section.reportUnknownKeys();
        values.push_back(std::move(parsed));
    }
}

} // namespace

bool operator==(const workload_common &a, const workload_common &b)
{
    const auto tied = [](const workload_common &c) {
        return std::tie(c.name, c.team, c.urgency, c.repeatable, c.size, c.replicas, c.attempts,
                        c.backoffMs, c.deadlineMs, c.maxNeighbourSlowdownPercent);
    };
    return tied(a) == tied(b);
}

std::string_view toString(workload_urgency value)
{
    switch (value) {
    case workload_urgency::urgent:
        return "urgent";
    case workload_urgency::normal:
        return "normal";
    case workload_urgency::batch:
        return "batch";
    }
    return "";
}

std::string_view toString(workload_job_kind value)
{
    return value == workload_job_kind::finite ? "finite" : "continuous";
}

std::string formatCores(std::int64_t milliCores)
{
    return fmt::format("{}", double(milliCores) / 1000);
}

workload_set parseWorkloadFile(const workload_source &source, findings &found)
{
    workload_set set;
    if (source.text.size() > maxWorkloadFileBytes) {
        set.hasUnparsedFile = true;
        found.push_back({source_place{source.name},
                         fmt::format("the file has {} bytes; the limit is {}", source.text.size(),
                                     maxWorkloadFileBytes)});
        return set;
    }
    toml::table root;
    try {
        root = toml::parse(std::string_view(source.text), std::string_view(source.name));
    } catch (const toml::parse_error &error) {
        set.hasUnparsedFile = true;
        found.push_back({workloadPlace(source.name, error.source()),
                         fmt::format("cannot read this as TOML: {}", error.description())});
        return set;
    } catch (const toml_assertion &) {
        set.hasUnparsedFile = true;
        found.push_back(
            {placeOfBadHeader(source),
             "cannot read this as TOML: a section's name begins with a letter, a digit, "
             "'_', '-' or a quotation mark"});
        return set;
    }
    for (const auto &[key, node] : root) {
        const std::string word(key.str());
        if (word == "service") {
            readKind(key, node, source.name, found, set.services, readService);
        } else if (word == "job") {
            readKind(key, node, source.name, found, set.jobs, readJob);
        } else if (word == "team") {
            readKind(key, node, source.name, found, set.teams, readTeam);
        } else {
            const std::string nearest = nearestWord(word, {"service", "job", "team"});
            found.push_back(
                {workloadPlace(source.name, key.source()),
                 fmt::format("unknown section '{}'{}", word,
                             nearest.empty() ? std::string("; sections are [service.NAME], "
                                                           "[job.NAME] and [team.NAME]")
                                             : fmt::format("; did you mean '{}'?", nearest))});
        }
    }
    return set;
}

} // namespace crocuswind
