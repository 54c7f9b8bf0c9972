/// Encodes and parses the JSON bodies of `POST /v1/sync` in both directions. A task is written as
/// `{"job":"team/name","replica":0,"attempt":1}`; cores are numbers with at most three decimals.
#ifndef CROCUSWIND_PROTOCOL_WORKER_BODIES_H
#define CROCUSWIND_PROTOCOL_WORKER_BODIES_H

#include "base/base.h"
#include "batch/batch.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace crocuswind {

/// Returns the body of the request that an entry host sends to a worker.
std::string encodeSyncRequest(const sync_request &request);

/// Parses the body of the request that a worker receives. Ignores unknown fields and takes a
/// missing list as empty. Refuses a body of more than 1 MB or of more than 16 nested levels.
/// \return the request, or all findings, each with the path of its field.
tl::expected<sync_request, findings> parseSyncRequest(std::string_view body);

/// Returns the body of a worker's answer with status 200.
std::string encodeSyncReport(const sync_report &report);

/// Parses a worker's answer with status 200, with the same bounds as `parseSyncRequest`.
/// \return the report, or all findings.
tl::expected<sync_report, findings> parseSyncReport(std::string_view body);

/// Returns the body of a worker's answer with status 409, which carries the highest epoch that the
/// worker has seen.
std::string encodeStaleEpoch(std::int64_t epoch);

/// Parses a worker's answer with status 409.
/// \return the highest epoch that the worker has seen, or all findings.
tl::expected<std::int64_t, findings> parseStaleEpoch(std::string_view body);

} // namespace crocuswind

#endif
