#include "request_outcome.h"

#include <array>
#include <cstddef>

namespace crocuswind {

namespace {

constexpr std::array<std::string_view, 4> kindWords = {"pending", "answered", "not_run", "unknown"};

constexpr std::array<std::string_view, 19> reasonWords = {"none",
                                                          "draining",
                                                          "no_capacity",
                                                          "no_runner",
                                                          "queue_full",
                                                          "memory_full",
                                                          "deadline_too_near",
                                                          "deadline_passed",
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

static_assert(reasonWords.size() == std::size_t(outcome_reason::answer_dropped) + 1);

template <class value, std::size_t count>
std::optional<value> parseWord(const std::array<std::string_view, count> &words,
                               std::string_view text)
{
    for (std::size_t i = 0; i < count; ++i) {
        if (words[i] == text)
            return value(i);
    }
    return std::nullopt;
}

} // namespace

std::string_view toString(outcome_kind kind)
{
    return kindWords.at(std::size_t(kind));
}

std::string_view toString(outcome_reason reason)
{
    return reasonWords.at(std::size_t(reason));
}

std::optional<outcome_kind> parseOutcomeKind(std::string_view text)
{
    return parseWord<outcome_kind>(kindWords, text);
}

std::optional<outcome_reason> parseOutcomeReason(std::string_view text)
{
    return parseWord<outcome_reason>(reasonWords, text);
}

} // namespace crocuswind
