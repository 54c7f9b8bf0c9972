#include "workload_checks.h"

#include <fmt/format.h>
#include <iterator>
#include <map>

namespace crocuswind {

namespace {

using place_by_name = std::map<std::string, source_place>;

/// Reports \p name if \p seen already contains it; adds it otherwise.
void checkUnique(const std::string &kind, const std::string &name, const source_place &place,
                 place_by_name &seen, findings &found)
{
    const auto [first, isNew] = seen.emplace(name, place);
    if (!isNew)
        found.push_back({place,
                         fmt::format("[{}.{}] is already declared at {}:{}", kind, name,
                                     first->second.source, first->second.line)});
}

/// Returns the resources of \p replicas replicas of \p size.
workload_size totalSize(const workload_size &size, int replicas)
{
    return {size.milliCores * replicas, size.memoryMb * replicas, size.accelerators * replicas};
}

/// Describes each resource of which \p needed exceeds \p quota. Returns an empty text if all fit.
std::string describeExcess(const workload_size &needed, const workload_size &quota)
{
    std::vector<std::string> parts;
    if (needed.milliCores > quota.milliCores)
        parts.push_back(fmt::format("{} cores of {}", formatCores(needed.milliCores),
                                    formatCores(quota.milliCores)));
    if (needed.memoryMb > quota.memoryMb)
        parts.push_back(fmt::format("{} MB of memory of {}", needed.memoryMb, quota.memoryMb));
    if (needed.accelerators > quota.accelerators)
        parts.push_back(
            fmt::format("{} accelerators of {}", needed.accelerators, quota.accelerators));
    return fmt::format("{}", fmt::join(parts, ", "));
}

/// Checks one set of workloads and appends the mistakes to the findings.
class set_checker
{
public:
    set_checker(const workload_set &set, findings &found)
        : m_set(set)
        , m_found(found)
    { }

    void check()
    {
        place_by_name teamPlaces;
        for (const workload_team &t : m_set.teams) {
            checkUnique("team", t.team.value, t.place, teamPlaces, m_found);
            m_teams.emplace(t.team, &t);
            m_teamNames.push_back(t.team.value);
        }
        place_by_name servicePlaces;
        for (const workload_service &s : m_set.services) {
            checkUnique("service", s.common.name, s.place, servicePlaces, m_found);
            checkTeam("service", s.common, s.place);
            const workload_size needed = totalSize(s.common.size, s.common.replicas);
            workload_size &sum = m_sums[s.common.team];
            sum.milliCores += needed.milliCores;
            sum.memoryMb += needed.memoryMb;
            sum.accelerators += needed.accelerators;
        }
        place_by_name jobPlaces;
        for (const workload_job &j : m_set.jobs) {
            checkUnique("job", j.common.name, j.place, jobPlaces, m_found);
            checkTeam("job", j.common, j.place);
            checkJobFits(j);
        }
        for (const auto &[team, sum] : m_sums) {
            const auto declared = m_teams.find(team);
            if (declared == m_teams.end() || declared->second->hasMistakes)
                continue;
            const std::string exceeded = describeExcess(sum, declared->second->quota);
            if (!exceeded.empty())
                m_found.push_back({declared->second->place,
                                   fmt::format("[team.{}]: the team's services are above its "
                                               "quota: {}",
                                               team.value, exceeded)});
        }
    }

private:
    void checkTeam(const char *kind, const workload_common &c, const source_place &place)
    {
        // A section without a valid team has been reported already. A file that was not parsed may
        // declare the team.
        if (m_teams.count(c.team) != 0 || c.team.empty() || m_set.hasUnparsedFile)
            return;
        const std::string nearest = nearestWord(c.team.value, m_teamNames);
        m_found.push_back(
            {place,
             fmt::format("[{}.{}]: no file declares the team '{}'{}", kind, c.name, c.team.value,
                         nearest.empty() ? std::string()
                                         : fmt::format("; did you mean '{}'?", nearest))});
    }

    void checkJobFits(const workload_job &j)
    {
        const auto declared = m_teams.find(j.common.team);
        if (declared == m_teams.end() || declared->second->hasMistakes)
            return;
        if (j.hasMistakes)
            return;
        const std::string exceeded
            = describeExcess(totalSize(j.common.size, j.common.replicas), declared->second->quota);
        if (!exceeded.empty())
            m_found.push_back({j.place,
                               fmt::format("[job.{}]: the job is above the quota of team '{}': {}",
                                           j.common.name, j.common.team.value, exceeded)});
    }

    const workload_set &m_set;
    findings &m_found;
    std::map<team_id, const workload_team *> m_teams;
    std::map<team_id, workload_size> m_sums;
    std::vector<std::string> m_teamNames;
};

template <class value>
void append(std::vector<value> &all, std::vector<value> &&more)
{
    all.insert(all.end(), std::make_move_iterator(more.begin()),
               std::make_move_iterator(more.end()));
}

} // namespace

void checkWorkloadSet(const workload_set &set, findings &found)
{
    set_checker(set, found).check();
}

tl::expected<workload_set, findings> parseWorkloadFiles(const std::vector<workload_source> &sources)
{
    findings found;
    workload_set set;
    if (sources.size() > maxWorkloadFiles) {
        found.push_back({source_place{"workload files"},
                         fmt::format("the set has {} files; the limit is {}", sources.size(),
                                     maxWorkloadFiles)});
        return tl::unexpected(found);
    }
    std::size_t bytes = 0;
    place_by_name fileNames;
    for (const workload_source &source : sources) {
        bytes += source.text.size();
        if (!fileNames.emplace(source.name, source_place{source.name}).second)
            found.push_back({source_place{source.name}, "the file is given twice"});
        workload_set one = parseWorkloadFile(source, found);
        set.hasUnparsedFile = set.hasUnparsedFile || one.hasUnparsedFile;
        append(set.services, std::move(one.services));
        append(set.jobs, std::move(one.jobs));
        append(set.teams, std::move(one.teams));
    }
    if (bytes > maxWorkloadSetBytes)
        found.push_back({source_place{"workload files"},
                         fmt::format("the files have {} bytes together; the limit is {}", bytes,
                                     maxWorkloadSetBytes)});
    checkWorkloadSet(set, found);
    if (!found.empty())
        return tl::unexpected(found);
    return set;
}

} // namespace crocuswind
