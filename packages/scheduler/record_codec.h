/// Encodes job records, progress records and the calls between entry hosts as CBOR.
#ifndef CROCUSWIND_SCHEDULER_RECORD_CODEC_H
#define CROCUSWIND_SCHEDULER_RECORD_CODEC_H

#include "job_calls.h"
#include "job_record.h"

#include <optional>
#include <string>
#include <string_view>

namespace crocuswind::scheduler {

/// Encodes the immutable part of a job: its specification, its time of acceptance and the policy
/// under which it was accepted.
std::string encodeAcceptance(const job_record &job);

/// Decodes the output of encodeAcceptance(). Returns std::nullopt for malformed input.
std::optional<job_record> decodeAcceptance(std::string_view bytes);

/// Encodes the mutable part of a job: done tasks, failed runs, checkpoints, run numbers and the end
/// of the job.
std::string encodeProgress(const job_record &job);

/// Decodes the output of encodeProgress() into \p job, whose specification must be set already if
/// it is known. Returns false for malformed input; \p job is then unchanged or partly filled.
bool decodeProgress(std::string_view bytes, job_record &job);

/// Encode a call or a reply between entry hosts.
std::string encodeCall(const job_call &call);
std::string encodeReply(const job_reply &reply);

/// Decode a call or a reply. Return std::nullopt for malformed input.
std::optional<job_call> decodeCall(std::string_view bytes);
std::optional<job_reply> decodeReply(std::string_view bytes);

} // namespace crocuswind::scheduler

#endif
