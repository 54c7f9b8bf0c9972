/// Defines the operators' workload files: short TOML files with the sections `[service.NAME]`,
/// `[job.NAME]` and `[team.NAME]`. docs/workload-files.md describes every key for operators.
#ifndef CROCUSWIND_PROTOCOL_WORKLOAD_FILE_H
#define CROCUSWIND_PROTOCOL_WORKLOAD_FILE_H

#include "base/base.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace crocuswind {

/// How urgent work is. Requests are `urgent` or `normal`; jobs are `urgent` or `batch`.
enum class workload_urgency { urgent, normal, batch };

/// Whether a job ends by itself (finite) or runs until it is cancelled (continuous).
enum class workload_job_kind { finite, continuous };

/// Amounts of resources, such as those that one replica occupies on a worker.
struct workload_size
{
    std::int64_t milliCores = 0; ///< Thousandths of a processor.
    std::int64_t memoryMb = 0; ///< Memory in units of 2^20 bytes.
    std::int64_t accelerators = 0;

    friend bool operator==(const workload_size &a, const workload_size &b)
    {
        return a.milliCores == b.milliCores && a.memoryMb == b.memoryMb
            && a.accelerators == b.accelerators;
    }
    friend bool operator!=(const workload_size &a, const workload_size &b) { return !(a == b); }
};

/// Properties that services and jobs have in common.
struct workload_common
{
    std::string name;
    team_id team;
    workload_urgency urgency = workload_urgency::normal;
    bool repeatable = true; ///< Whether the work may be retried after an unknown outcome.
    workload_size size; ///< Resources of one replica.
    int replicas = 1;
    int attempts = 1; ///< Largest number of attempts, including the first.
    std::int64_t backoffMs = 0; ///< Mean delay before the second attempt in milliseconds.
    std::int64_t deadlineMs = 0; ///< Longest time from acceptance to completion; 0 means no limit.
    /// Highest slowdown, in percent, that the work may cause to other work on the same worker.
    int maxNeighbourSlowdownPercent = 100;

    friend bool operator==(const workload_common &a, const workload_common &b);
    friend bool operator!=(const workload_common &a, const workload_common &b) { return !(a == b); }
};

/// A service that answers requests.
struct workload_service
{
    workload_common common;
    std::int64_t expectedMs = 0; ///< Expected service time of a request in ms; 0 if unknown.
    source_place place; ///< Where the section starts; ignored in comparisons.
    bool hasMistakes = false; ///< Set by the parser; ignored in comparisons.

    friend bool operator==(const workload_service &a, const workload_service &b)
    {
        return a.common == b.common && a.expectedMs == b.expectedMs;
    }
    friend bool operator!=(const workload_service &a, const workload_service &b)
    {
        return !(a == b);
    }
};

/// A kind of batch job.
struct workload_job
{
    workload_common common;
    workload_job_kind kind = workload_job_kind::finite;
    std::int64_t runMs = 0; ///< Expected run time of an attempt; 0 if continuous.
    source_place place; ///< Where the section starts; ignored in comparisons.
    bool hasMistakes = false; ///< Set by the parser; ignored in comparisons.

    friend bool operator==(const workload_job &a, const workload_job &b)
    {
        return a.common == b.common && a.kind == b.kind && a.runMs == b.runMs;
    }
    friend bool operator!=(const workload_job &a, const workload_job &b) { return !(a == b); }
};

/// A team with its quota.
struct workload_team
{
    team_id team;
    workload_size quota; ///< Resources that the team may use without borrowing.
    int urgentWeight = 1; ///< Weight of the team's guaranteed share of the urgent slots.
    source_place place; ///< Where the section starts; ignored in comparisons.
    bool hasMistakes = false; ///< Set by the parser; ignored in comparisons.

    friend bool operator==(const workload_team &a, const workload_team &b)
    {
        return a.team == b.team && a.quota == b.quota && a.urgentWeight == b.urgentWeight;
    }
    friend bool operator!=(const workload_team &a, const workload_team &b) { return !(a == b); }
};

/// Everything that one or more files declare. Each list is in the order of the files and, within a
/// file, sorted by name.
struct workload_set
{
    std::vector<workload_service> services;
    std::vector<workload_job> jobs;
    std::vector<workload_team> teams;
    /// Set by the parser if a file is too large or has a syntax error; ignored in comparisons.
    bool hasUnparsedFile = false;

    friend bool operator==(const workload_set &a, const workload_set &b)
    {
        return a.services == b.services && a.jobs == b.jobs && a.teams == b.teams;
    }
    friend bool operator!=(const workload_set &a, const workload_set &b) { return !(a == b); }
};

/// The text of one file, and the name by which findings refer to the file.
struct workload_source
{
    std::string name;
    std::string text;
};

constexpr std::size_t maxWorkloadFileBytes = 256 * 1024; ///< Largest size of one file.

/// Parses one file. Appends every mistake to \p found with file, line and column: unknown sections
/// and keys with the most similar known one, wrong types, values out of bounds, and missing keys.
/// Reports only the first syntax error, since the parser stops there. A section with mistakes stays
/// in the result and is marked, so that checks across files still know its name.
workload_set parseWorkloadFile(const workload_source &source, findings &found);

/// Returns the word for a value as written in the files.
std::string_view toString(workload_urgency value);

/// Returns the word for a value as written in the files.
std::string_view toString(workload_job_kind value);

/// Formats thousandths of a processor as cores, such as `2` or `0.5`.
std::string formatCores(std::int64_t milliCores);

} // namespace crocuswind

#endif
