/// Defines helpers for tests that run a whole site: they build request bodies, send common calls,
/// and read the audits of the stand-ins.
#ifndef CROCUSWIND_STANDIN_SITE_CALLS_H
#define CROCUSWIND_STANDIN_SITE_CALLS_H

#include "site.h"

#include <string>

namespace crocuswind::standin {

/// Returns the body of a request to the service `match`. The payload of an unrepeatable request
/// gets the prefix `once-`, by which the audit of the runners recognizes it.
std::string requestBody(const std::string &id, bool isRepeatable, const std::string &payload);

/// Requests a new request identifier from a host. Returns an empty text if the host does not issue
/// one.
std::string newRequestId(site &s, const std::string &host);

/// Returns the field `outcome` of a response, or an empty text if it is absent.
std::string outcomeIn(const http_result &result);

/// Submits a finite job of the team `lab`. Retries until the job is accepted or already exists,
/// because submissions are refused while the ownership of the shard moves to another host. Returns
/// false if this takes longer than site::waitFor() allows.
bool submitJob(site &s, const std::string &host, const std::string &name, int runMs);

/// Returns the state of a job of the team `lab`, or an empty text if the host does not know it.
std::string jobState(site &s, const std::string &host, const std::string &name);

/// Returns how many times a request ran, over all runners of a data centre, or -1 if the response
/// has no count.
int runsOf(site &s, std::size_t dataCentre, const std::string &id);

/// Describes the violations that the audits of a data centre found: duplicate executions, stale
/// starts and overcommitted resources. Returns an empty text if there are none.
std::string violationsIn(site &s, std::size_t dataCentre);

} // namespace crocuswind::standin

#endif
