#include "request_outcome.h"

#include <array>
#include <cstddef>

namespace crocuswind {

namespace {

constexpr std::array<std::string_view, 4> kindNames = {"pending", "answered", "not_run", "unknown"};

constexpr std::array<std::string_view, 20> reasonNames = {"none",
                                                          "draining",
                                                          "no_capacity",
                                                          "no_runner",
                                                          "queue_full",
                                                          "memory_full",
                                                          "deadline_too_near",
                                                          "deadline_passed",
                                                          "start_too_late",
                                                          "displaced",
                                                          "refused_by_runner",
                                                          "caller_gone",
                                                          "identifier_missing",
                                                          "identifiers_exhausted",
                                                          "identifier_expired",
                                                          "home_gone",
                                                          "peer_silent",
                                                          "runner_silent",
                                                          "runner_failed",
                                                          "answer_dropped"};

static_assert(reasonNames.size() == std::size_t(outcome_reason::answer_dropped) + 1);

template <class value, std::size_t count>
std::optional<value> parseName(const std::array<std::string_view, count> &names,
                               std::string_view text)
{
    for (std::size_t i = 0; i < count; ++i) {
        if (names[i] == text)
            return value(i);
    }
    return std::nullopt;
}

} // namespace

std::string_view toString(outcome_kind kind)
{
    return kindNames.at(std::size_t(kind));
}

std::string_view toString(outcome_reason reason)
{
    return reasonNames.at(std::size_t(reason));
}

std::optional<outcome_kind> parseOutcomeKind(std::string_view text)
{
    return parseName<outcome_kind>(kindNames, text);
}

std::optional<outcome_reason> parseOutcomeReason(std::string_view text)
{
    return parseName<outcome_reason>(reasonNames, text);
}

} // namespace crocuswind
