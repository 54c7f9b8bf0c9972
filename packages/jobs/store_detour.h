/// Reaches the store for this host: by itself or, while it owns the jobs and the store fails it,
/// through other hosts. Open it to follow a store call of an owner that the store refuses.
#ifndef CROCUSWIND_JOBS_STORE_DETOUR_H
#define CROCUSWIND_JOBS_STORE_DETOUR_H

#include "io/io.h"
#include "policy/policy.h"
#include "scheduler/scheduler.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>

namespace crocuswind {

/// Counters of a detour.
struct store_detour_counters
{
    std::int64_t begun = 0; ///< How often the owner has gone over to other hosts.
    std::int64_t operations = 0; ///< Operations that other hosts were asked for.
    std::int64_t unanswered = 0; ///< Of these, without an answer in time.
};

/// The store as the scheduler of one host sees it. Each operation takes effect at most once: a
/// transaction goes another way only if the first one certainly had no effect. Only leases are
/// renewed in two ways at once. Watches that the store fails go on at another host; it is reported
/// as a loss and a start, after which the user reads the prefix anew.
class store_detour final : public store
{
public:
    /// Returns false if the call was not sent.
    using call_sender
        = std::function<bool(const host_id &helper, const scheduler::helped_store_call &call)>;

    /// \p direct and \p log must outlive the detour.
    store_detour(event_loop &loop, store &direct, const logger &log, call_sender send);
    ~store_detour() override;

    void submit(const store_operation &operation, instant deadline, result_callback done) override;
    store_watch_id watch(const std::string &prefix, duration maxSilence,
                         watch_callback callback) override;
    void cancelWatch(store_watch_id watch) override;

    /// Sets whether calls may be made through other hosts, which the owner of the jobs does.
    void setMayAskOthers(bool mayAsk);

    /// The host can be asked from now on.
    void addHelper(const host_id &helper);
    /// The host is not to be asked any more, but answers the calls that it has.
    void withdrawHelper(const host_id &helper);
    /// The host cannot be reached any more. Calls that it still has count as unanswered.
    void removeHelper(const host_id &helper);

    /// Handles what a host answers that was asked.
    void onHelp(const host_id &helper, const scheduler::store_help &help);

    const store_detour_counters &counters() const { return m_counters; }
    const policy::owner_standing &standing() const { return m_standing; }

private:
    using call_number = std::uint64_t;

    struct open_call
    {
        store_operation operation;
        instant sentAt;
        instant deadline;
        result_callback done;
        bool wasSentDirect = false;
        bool isDirectOpen = false; ///< The store has not answered this host yet.
        bool mayHaveEffect = false; ///< A copy had no answer.
        store_error error = store_error::refused; ///< Of the last copy that failed.
        std::set<host_id> asked;
        std::optional<host_id> helper; ///< The host whose answer is awaited.
        call_number helpNumber = 0;
        timer_id patienceTimer = 0;
        timer_id helpTimer = 0;
    };

    struct watch_state
    {
        std::string prefix;
        duration maxSilence = duration::zero();
        watch_callback callback;
        store_watch_id directWatch = 0;
        bool isDirectLost = false; ///< The store does not show this host the watch.
        std::optional<host_id> helper;
        call_number helpNumber = 0;
        bool isHelpLive = false;
        timer_id timer = 0; ///< To ask a host, or for a host that does not answer.
    };

    // Operations.
    void sendDirect(call_number id);
    void onDirectResult(call_number id, instant sentAt, store_result result);
    void onPatienceOver(call_number id);
    bool askNext(call_number id);
    void onHelpResult(call_number id, const store_result &result);
    void onHelpFailed(call_number id, store_error error);
    void finishIfSettled(call_number id);
    void finish(call_number id, store_result result);
    bool mayGoAnotherWay(const open_call &call) const;
    void logChange(policy::store_way wayBefore);
    void giveUpSilentCalls();

    // Watches.
    void onDirectUpdate(store_watch_id id, const store_watch_update &update);
    void onHelpUpdate(const host_id &helper, const scheduler::helped_watch_update &update);
    void beginHelp(store_watch_id id);
    void retryHelpLater(store_watch_id id);
    void loseHelp(store_watch_id id);
    bool isShown(store_watch_id id) const;
    void endHelp(watch_state &watch);
    void report(store_watch_id id, const store_watch_update &update);
    void probeHelpers();

    std::optional<host_id> chooseHelper(const std::set<host_id> &except);
    bool send(const host_id &helper, scheduler::helped_store_call call);

    event_loop &m_loop;
    store &m_direct;
    const logger &m_log;
    call_sender m_send;
    policy::owner_standing m_standing;
    bool m_mayAsk = false;
    std::set<host_id> m_helpers;
    host_id m_lastAsked;
    std::optional<host_id> m_lastGood; ///< The host through which the last call succeeded.
    call_number m_lastCall = 0;
    call_number m_lastNumber = 0; ///< Of a message to a helper.
    std::map<call_number, open_call> m_calls;
    std::map<store_watch_id, watch_state> m_watches;
    store_watch_id m_lastWatch = 0;
    std::map<call_number, instant> m_sentAt; ///< The last messages to helpers.
    timer_id m_probeTimer = 0;
    store_detour_counters m_counters;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace crocuswind

#endif
