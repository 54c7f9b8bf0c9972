#include "worker_sync.h"

namespace crocuswind {

std::string toString(reported_state state)
{
    switch (state) {
    case reported_state::running:
        return "running";
    case reported_state::done:
        return "done";
    case reported_state::failed:
        return "failed";
    case reported_state::stopped:
        return "stopped";
    }
    CROCUSWIND_INVARIANT(false, "enumerator without a word");
}

std::optional<reported_state> parseReportedState(std::string_view text)
{
    for (const auto state : {reported_state::running, reported_state::done, reported_state::failed,
                             reported_state::stopped}) {
        if (text == toString(state))
            return state;
    }
    return std::nullopt;
}

} // namespace crocuswind
