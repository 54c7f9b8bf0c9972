// A test fixture with one request core, helpers to send events, and helpers to read the resulting
// actions.
#ifndef CROCUSWIND_TEST_URGENT_SINGLE_CORE_H
#define CROCUSWIND_TEST_URGENT_SINGLE_CORE_H

#include "urgent/urgent.h"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <optional>
#include <string>
#include <vector>

namespace crocuswind {

struct single_core
{
    static urgent_settings defaults()
    {
        urgent_settings s;
        s.host = host_id{"entry-1"};
        s.epoch = 7;
        s.dataCentre = data_centre_id{"dakar"};
        s.seed = 3;
        return s;
    }

    /// Starts with \p runners runners of \p slots slots each, the only seat, and two teams of equal
    /// weight.
    explicit single_core(int runners = 2, int slots = 2, const urgent_settings &s = defaults())
        : core(s)
    {
        send(urgent_quotas_applied{{{team_id{"lab"}, 1}, {team_id{"yard"}, 1}},
                                   {{service_id{"drift"}, 50ms}}});
        listRunners(runners, slots);
        send(urgent_seat_granted{0, 1, instant::max(), true});
    }

    void listRunners(int runners, int slots)
    {
        listing.runners.clear();
        for (int i = 0; i < runners; ++i)
            listing.runners.push_back(
                {runner_id{fmt::format("runner-{}", i)}, service_id{"drift"}, slots, 64, false});
        send(listing);
    }

    template <class event>
    const std::vector<urgent_action> &send(event e)
    {
        actions = core.handle({now, std::move(e)});
        // The check takes time linear in the state, so long runs check only every 100th event.
        if (++events < 2000 || events % 100 == 0) {
            EXPECT_EQ(core.violations(), std::vector<std::string>());
        }
        if (const auto wake = last<urgent_wake_at>())
            wakeAt = wake->when;
        all.insert(all.end(), actions.begin(), actions.end());
        return actions;
    }

    /// Advances the time and sends a tick whenever the core requested one. `actions` then holds the
    /// actions of all these ticks.
    void wait(duration d)
    {
        std::vector<urgent_action> seen;
        for (const instant end = now + d; now < end;) {
            now = wakeAt > now && wakeAt < end ? wakeAt : end;
            send(urgent_tick{});
            seen.insert(seen.end(), actions.begin(), actions.end());
        }
        actions = seen;
    }

    caller_token submit(bool isRepeatable = true, const char *team = "lab",
                        urgency level = urgency::urgent, duration timeLeft = 2s,
                        std::optional<request_id> id = std::nullopt)
    {
        if (!isRepeatable && !id) {
            send(identifier_asked{++lastCaller});
            id = last<reply_identifier>()->id;
        }
        request_content c;
        c.service = service_id{"drift"};
        c.team = team_id{team};
        c.isRepeatable = isRepeatable;
        c.level = level;
        c.payload = "payload";
        send(request_submitted{++lastCaller, id, now + timeLeft, c});
        return lastCaller;
    }

    void result(const dispatch_to_runner &d, runner_result::kind what, bool isLeaving = false)
    {
        send(runner_result{d.attempt, what, "answer", d.id, isLeaving});
    }

    /// Returns the last action of a type among the actions of the last call, if there is one.
    template <class action>
    std::optional<action> last() const
    {
        for (auto a = actions.rbegin(); a != actions.rend(); ++a) {
            if (const auto *found = std::get_if<action>(&*a))
                return *found;
        }
        return std::nullopt;
    }

    /// Returns all actions of a type since the start.
    template <class action>
    std::vector<action> allOf() const
    {
        std::vector<action> found;
        for (const urgent_action &a : all) {
            if (const auto *one = std::get_if<action>(&a))
                found.push_back(*one);
        }
        return found;
    }

    /// Returns the first reply to a caller since the start, if there is one.
    std::optional<request_outcome> replyTo(caller_token caller) const
    {
        for (const reply_outcome &r : allOf<reply_outcome>()) {
            if (r.caller == caller)
                return r.result;
        }
        return std::nullopt;
    }

    request_core core;
    instant now;
    instant wakeAt;
    int events = 0;
    runners_listed listing;
    std::vector<urgent_action> actions; ///< Actions of the last call.
    std::vector<urgent_action> all; ///< Actions since the start.
    caller_token lastCaller = 0;
};

} // namespace crocuswind

#endif
