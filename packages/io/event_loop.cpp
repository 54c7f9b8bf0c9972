#include "event_loop.h"

#include "libevent_time.h"

#include <csignal>
#include <ctime>
#include <event2/event.h>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

namespace crocuswind {

namespace {

constexpr duration heartbeatInterval = 250ms;
constexpr duration pauseThreshold = 1s;

// Two priorities: the heartbeat and signals come before sockets and timers of the same round.
constexpr int priorityCount = 2;
constexpr int highPriority = 0;

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
    struct timer
    {
        implementation *owner;
        timer_id id;
        instant due;
        std::function<void()> function;
        event_pointer pending;
    };

    struct signal_handler
    {
        std::function<void()> function;
        event_pointer pending;
    };

    implementation()
        : base(event_base_new())
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
            [](evutil_socket_t, short, void *self) { static_cast<implementation *>(self)->beat(); },
            this));
        event_priority_set(heartbeat.get(), highPriority);
        scheduleBeat();
    }

    ~implementation()
    {
        timers.clear();
        signals.clear();
        postEvent.reset();
        heartbeat.reset();
        event_base_free(base);
    }

    instant now() const { return readClock(CLOCK_BOOTTIME); }

    void scheduleBeat()
    {
        heartbeatDue = now() + heartbeatInterval;
        const timeval delay = toTimeval(heartbeatInterval);
        event_add(heartbeat.get(), &delay);
    }

    void beat()
    {
        reportIfLate(heartbeatDue);
        scheduleBeat();
    }

    // Several timers are late after one pause; the time already reported counts only once.
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

    void fire(timer_id id)
    {
        const auto found = timers.find(id);
        if (found == timers.end())
            return;
        timer &t = *found->second;
        const instant current = now();
        if (current < t.due) {
            // libevent measures from the start of the round, so it may be early by a little.
            const timeval delay = toTimeval(t.due - current);
            event_add(t.pending.get(), &delay);
            return;
        }
        const std::unique_ptr<timer> fired = std::move(found->second);
        timers.erase(found);
        reportIfLate(fired->due);
        fired->function();
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
    timer_id lastTimer = 0;
    std::unordered_map<timer_id, std::unique_ptr<timer>> timers;
    std::map<int, std::unique_ptr<signal_handler>> signals;
    std::vector<std::function<void()>> posted;
    std::function<void(duration)> onPause;
    event_pointer postEvent;
    event_pointer heartbeat;
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
    auto t = std::make_unique<implementation::timer>();
    t->owner = &i;
    t->id = id;
    t->due = time;
    t->function = std::move(function);
    t->pending.reset(event_new(
        i.base, -1, 0,
        [](evutil_socket_t, short, void *argument) {
            const auto *fired = static_cast<implementation::timer *>(argument);
            fired->owner->fire(fired->id);
        },
        t.get()));
    const timeval delay = toTimeval(time - i.now());
    event_add(t->pending.get(), &delay);
    i.timers.emplace(id, std::move(t));
    return id;
}

void event_loop::cancel(timer_id timer)
{
    m_implementation->timers.erase(timer);
}

void event_loop::post(std::function<void()> function)
{
    implementation &i = *m_implementation;
    i.posted.push_back(std::move(function));
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
            // A copy, since the function may replace itself.
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

void event_loop::run()
{
    event_base_loop(m_implementation->base, EVLOOP_NO_EXIT_ON_EMPTY);
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
