#include "event_loop.h"

#include "libevent_time.h"

#include <algorithm>
#include <csignal>
#include <ctime>
#include <event2/event.h>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace crocuswind {

namespace {

constexpr duration heartbeatInterval = 250ms;
constexpr duration pauseThreshold = 1s;

// The heartbeat and signals have the high priority: they are handled before sockets and timers of
// the same round.
constexpr int priorityCount = 2;
constexpr int highPriority = 0;

// Creates a base that passes changes of the polled sockets to the kernel once per round. An HTTP
// call switches the events of its socket six times, and most of these changes cancel out within a
// round. libevent allows this only as long as no descriptor of a polled socket is duplicated.
event_base *newEventBase()
{
    event_config *config = event_config_new();
    CROCUSWIND_INVARIANT(config != nullptr, "event_config_new failed");
    event_config_set_flag(config, EVENT_BASE_FLAG_EPOLL_USE_CHANGELIST);
    event_base *base = event_base_new_with_config(config);
    event_config_free(config);
    return base;
}

struct event_deleter
{
    void operator()(event *e) const { event_free(e); }
};
using event_pointer = std::unique_ptr<event, event_deleter>;

instant readClock(clockid_t clock)
{
    timespec time = {};
    clock_gettime(clock, &time);
    return instant(std::chrono::seconds(time.tv_sec)
                   + std::chrono::duration_cast<duration>(std::chrono::nanoseconds(time.tv_nsec)));
}

} // namespace

struct event_loop::implementation
{
    struct signal_handler
    {
        std::function<void()> function;
        event_pointer pending;
    };

    implementation()
        : base(newEventBase())
    {
        CROCUSWIND_INVARIANT(base != nullptr, "event_base_new failed");
        event_base_priority_init(base, priorityCount);
        unixOffset = readClock(CLOCK_REALTIME) - readClock(CLOCK_BOOTTIME);
        postEvent.reset(event_new(
            base, -1, 0,
            [](evutil_socket_t, short, void *self) {
                static_cast<implementation *>(self)->runPosted();
            },
            this));
        heartbeat.reset(event_new(
            base, -1, 0,
            [](evutil_socket_t, short, void *self) {
                static_cast<implementation *>(self)->handleHeartbeat();
            },
            this));
        event_priority_set(heartbeat.get(), highPriority);
        nextTimer.reset(event_new(
            base, -1, 0,
            [](evutil_socket_t, short, void *self) {
                static_cast<implementation *>(self)->runDueTimers();
            },
            this));
        scheduleHeartbeat();
    }

    ~implementation()
    {
        timers.clear();
        nextTimer.reset();
        signals.clear();
        postEvent.reset();
        heartbeat.reset();
        event_base_free(base);
    }

    instant now() const { return readClock(CLOCK_BOOTTIME); }

    void scheduleHeartbeat()
    {
        heartbeatDue = now() + heartbeatInterval;
        const timeval delay = toTimeval(heartbeatInterval);
        event_add(heartbeat.get(), &delay);
    }

    void handleHeartbeat()
    {
        maxLateness = std::max(maxLateness, now() - heartbeatDue);
        reportIfLate(heartbeatDue);
        scheduleHeartbeat();
    }

    // Several timers are late after one pause; the pause is reported only once.
    void reportIfLate(instant due)
    {
        const instant current = now();
        const duration late = current - std::max(due, reportedUntil);
        if (late <= pauseThreshold)
            return;
        reportedUntil = current;
        if (onPause)
            onPause(late);
    }

    void scheduleNextTimer()
    {
        if (timers.empty()) {
            nextTimerDue.reset();
            event_del(nextTimer.get());
            return;
        }
        // Without this update, libevent would measure the delay from the start of the round.
        event_base_update_cache_time(base);
        const instant current = now();
        nextTimerDue = timers.begin()->first.first;
        inputReadUntil = std::max(current, *nextTimerDue);
        const timeval delay = toTimeval(*nextTimerDue - current);
        event_add(nextTimer.get(), &delay);
    }

    // The event of a due timer may already be active in this round. Adding the event again would
    // postpone it to the next round, and on a busy loop again in every round.
    bool isNextTimerDue() const { return nextTimerDue && *nextTimerDue <= now(); }

    // libevent polls the sockets before it activates this event, and handles their input first.
    // Timers that became due after the poll, or that were set since, wait for the next round: input
    // that arrived before their time may not have been read yet.
    void runDueTimers()
    {
        const instant dueUntil = std::min(now(), inputReadUntil);
        const timer_id lastTimerBeforeRound = lastTimer;
        auto next = timers.begin();
        while (next != timers.end() && next->first.first <= dueUntil
               && event_base_got_break(base) == 0) {
            const auto [due, id] = next->first;
            if (id > lastTimerBeforeRound) {
                ++next;
                continue;
            }
            const std::function<void()> function = std::move(next->second);
            timers.erase(next);
            dueTimes.erase(id);
            reportIfLate(due);
            function();
            // The function may have set or cancelled any timer.
            next = timers.begin();
        }
        scheduleNextTimer();
    }

    void runPosted()
    {
        std::vector<std::function<void()>> round;
        round.swap(posted);
        for (const auto &function : round)
            function();
    }

    event_base *base;
    duration unixOffset = duration::zero();
    instant heartbeatDue;
    instant reportedUntil;
    std::optional<instant> nextTimerDue; ///< Time for which `nextTimer` is set.
    instant inputReadUntil; ///< Earlier input is handled by the time `nextTimer` fires.
    duration maxLateness = duration::zero();
    std::int64_t rounds = 0;
    timer_id lastTimer = 0;
    // All timers share one libevent event. With an event for each timer, timers would fire out of
    // order if the thread were preempted between reading the clock and adding the event.
    std::map<std::pair<instant, timer_id>, std::function<void()>> timers;
    std::unordered_map<timer_id, instant> dueTimes;
    std::map<int, std::unique_ptr<signal_handler>> signals;
    std::vector<std::function<void()>> posted;
    std::function<void(duration)> onPause;
    event_pointer postEvent;
    event_pointer heartbeat;
    event_pointer nextTimer;
};

event_loop::event_loop()
    : m_implementation(std::make_unique<implementation>())
{
    std::signal(SIGPIPE, SIG_IGN);
}

event_loop::~event_loop() = default;

instant event_loop::now() const
{
    return m_implementation->now();
}

std::int64_t event_loop::unixMicroseconds(instant time) const
{
    return (time.time_since_epoch() + m_implementation->unixOffset).count();
}

timer_id event_loop::callAt(instant time, std::function<void()> function)
{
    implementation &i = *m_implementation;
    const timer_id id = ++i.lastTimer;
    i.dueTimes.emplace(id, time);
    const auto [added, isNew] = i.timers.emplace(std::pair(time, id), std::move(function));
    if (added == i.timers.begin() && !i.isNextTimerDue())
        i.scheduleNextTimer();
    return id;
}

void event_loop::cancel(timer_id timer)
{
    implementation &i = *m_implementation;
    const auto found = i.dueTimes.find(timer);
    if (found == i.dueTimes.end())
        return;
    i.timers.erase(std::pair(found->second, timer));
    i.dueTimes.erase(found);
}

void event_loop::post(std::function<void()> function)
{
    implementation &i = *m_implementation;
    i.posted.push_back(std::move(function));
    // Adding an event that is already active would postpone it to the next round.
    if (i.posted.size() > 1)
        return;
    const timeval immediately = {};
    event_add(i.postEvent.get(), &immediately);
}

void event_loop::onSignal(int signalNumber, std::function<void()> function)
{
    implementation &i = *m_implementation;
    auto handler = std::make_unique<implementation::signal_handler>();
    handler->function = std::move(function);
    i.signals.erase(signalNumber);
    handler->pending.reset(event_new(
        i.base, signalNumber, EV_SIGNAL | EV_PERSIST,
        [](evutil_socket_t, short, void *argument) {
            // Copied because the function may replace itself.
            const auto called = static_cast<implementation::signal_handler *>(argument)->function;
            called();
        },
        handler.get()));
    event_priority_set(handler->pending.get(), highPriority);
    event_add(handler->pending.get(), nullptr);
    i.signals[signalNumber] = std::move(handler);
}

void event_loop::onPause(std::function<void(duration late)> function)
{
    m_implementation->onPause = std::move(function);
}

duration event_loop::takeMaxLateness()
{
    return std::exchange(m_implementation->maxLateness, duration::zero());
}

std::int64_t event_loop::rounds() const
{
    return m_implementation->rounds;
}

void event_loop::run()
{
    event_base *base = m_implementation->base;
    constexpr int oneRound = EVLOOP_ONCE | EVLOOP_NO_EXIT_ON_EMPTY;
    while (event_base_loop(base, oneRound) == 0 && event_base_got_break(base) == 0)
        ++m_implementation->rounds;
}

bool event_loop::runUntil(const std::function<bool()> &done, duration limit)
{
    bool isOver = false;
    const timer_id limitTimer = callAt(now() + limit, [&isOver] { isOver = true; });
    bool isDone = done();
    while (!isDone && !isOver) {
        event_base_loop(m_implementation->base, EVLOOP_ONCE);
        isDone = done();
    }
    cancel(limitTimer);
    return isDone;
}

void event_loop::stop()
{
    event_base_loopbreak(m_implementation->base);
}

struct event_base *event_loop::base() const
{
    return m_implementation->base;
}

} // namespace crocuswind
