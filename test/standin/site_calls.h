/// Defines what the tests of whole sites ask of a site: bodies of calls, and the audits that the
/// stand-ins keep.
#ifndef CROCUSWIND_STANDIN_SITE_CALLS_H
#define CROCUSWIND_STANDIN_SITE_CALLS_H

#include "site.h"

#include <string>

namespace crocuswind::standin {

/// Returns the body of a request for the service `match`. The payload of an unrepeatable request
/// begins with `once-`, by which the runners' audit knows it.
std::string requestBody(const std::string &id, bool isRepeatable, const std::string &payload);

/// Returns a new request identifier of a host, empty if it gives none.
std::string newRequestId(site &s, const std::string &host);

/// Returns the field `outcome` of an answer, empty if there is none.
std::string outcomeIn(const http_result &result);

/// Submits a finite job of the team `lab`, again and again until it is accepted or found: while a
/// shard changes hands, submissions are refused.
bool submitJob(site &s, const std::string &host, const std::string &name, int runMs);

/// Returns the state of a job of the team `lab`, empty if it is not known.
std::string jobState(site &s, const std::string &host, const std::string &name);

/// Returns how often a request identifier was run, over all runners of a data centre.
int runsOf(site &s, std::size_t dataCentre, const std::string &id);

/// Describes what the audits of a data centre found to be doubled or overcommitted; empty if
/// nothing.
std::string violationsIn(site &s, std::size_t dataCentre);

} // namespace crocuswind::standin

#endif
