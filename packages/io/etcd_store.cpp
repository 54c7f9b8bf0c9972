#include "etcd_store.h"

#include "logger.h"

#include <algorithm>
#include <unordered_map>
#include <utility>

namespace crocuswind {

namespace {

constexpr duration watchStartTimeout = 5s;
constexpr int statusRequestTimeout = 408;
constexpr int statusClientClosed = 499;

// The store may report a server error (5xx), a timeout or a cancellation after the operation was
// proposed, so in these cases it is unknown whether the operation takes effect.
store_error errorForStatus(int status)
{
    const bool isRefusal = status >= 400 && status < 500 && status != statusRequestTimeout
        && status != statusClientClosed;
    return isRefusal ? store_error::refused : store_error::no_answer;
}

} // namespace

struct etcd_store::implementation
{
    struct watch_state
    {
        std::string prefix;
        watch_callback callback;
        http_call_id stream = 0;
        timer_id retry = 0;
        duration delay = duration::zero();
        bool isStarted = false;
        json_object_splitter splitter{0};
    };

    implementation(event_loop &l, etcd_store_settings s, random_source &r)
        : loop(l)
        , settings(std::move(s))
        , random(r)
        , client(l, clientSettings(settings))
    {
        CROCUSWIND_INVARIANT(!settings.endpoints.empty(), "the list of store endpoints is empty");
    }

    ~implementation()
    {
        for (auto &[id, state] : watches)
            loop.cancel(state->retry);
    }

    static http_client_settings clientSettings(const etcd_store_settings &settings)
    {
        http_client_settings client;
        client.maxConnectionsPerEndpoint = settings.maxConnections;
        client.maxQueuedPerEndpoint = settings.maxQueued;
        client.tls = settings.tls;
        return client;
    }

    http_call callTo(const ip_endpoint &endpoint, store_call &&call, instant deadline) const
    {
        http_call http;
        http.to = endpoint;
        http.path = std::move(call.path);
        http.body = std::move(call.body);
        http.headers = {{"Content-Type", "application/json"}};
        http.deadline = deadline;
        http.maxAnswerBytes = settings.maxAnswerBytes;
        return http;
    }

    // Sends later operations to the next endpoint, unless an earlier failure has already switched.
    void switchEndpoint(const ip_endpoint &failed)
    {
        if (settings.endpoints[currentEndpoint] == failed)
            currentEndpoint = (currentEndpoint + 1) % settings.endpoints.size();
    }

    void submit(const store_operation &operation, instant deadline, result_callback done)
    {
        const ip_endpoint endpoint = settings.endpoints[currentEndpoint];
        client.send(callTo(endpoint, toStoreCall(operation), deadline),
                    [this, endpoint, operation, done = std::move(done)](const http_result &result) {
                        if (result.outcome != http_outcome::answered || result.status >= 500)
                            switchEndpoint(endpoint);
                        done(parseResult(operation, result));
                    });
    }

    store_result parseResult(const store_operation &operation, const http_result &result) const
    {
        if (result.outcome == http_outcome::not_connected)
            return tl::unexpected(store_error::not_sent);
        if (result.outcome == http_outcome::no_answer)
            return tl::unexpected(store_error::no_answer);
        if (result.status != 200)
            return tl::unexpected(errorForStatus(result.status));
        auto reply = parseStoreReply(operation, result.body);
        if (!reply) {
            log.warning("cannot parse a response of the store: {}", reply.error());
            return tl::unexpected(store_error::no_answer);
        }
        return *std::move(reply);
    }

    void startWatch(store_watch_id id)
    {
        watch_state &state = *watches.at(id);
        state.retry = 0;
        state.splitter = json_object_splitter(settings.maxAnswerBytes);
        const ip_endpoint endpoint = settings.endpoints[currentEndpoint];
        state.stream = client.stream(
            callTo(endpoint, toWatchCall(state.prefix), loop.now() + watchStartTimeout),
            settings.watchReceiveTimeout,
            [this, id](std::string_view bytes) { handleStreamData(id, bytes); },
            [this, id, endpoint](const http_result &result) {
                if (result.outcome != http_outcome::answered || result.status >= 500)
                    switchEndpoint(endpoint);
                scheduleWatchRestart(id);
            });
    }

    void handleStreamData(store_watch_id id, std::string_view bytes)
    {
        std::vector<std::string> objects;
        bool isValid = watches.at(id)->splitter.feed(bytes, objects);
        for (const std::string &object : objects) {
            const auto message = parseWatchMessage(object);
            if (!message)
                log.warning("the watch of '{}' failed: {}", watches.at(id)->prefix,
                            message.error());
            isValid = isValid && message && !message->isCancelled;
            if (!isValid)
                break;
            if (!reportMessage(id, *message))
                return;
        }
        if (!isValid) {
            client.cancel(watches.at(id)->stream);
            scheduleWatchRestart(id);
        }
    }

    // Returns whether the watch still exists after its callback.
    bool reportMessage(store_watch_id id, const store_watch_message &message)
    {
        const std::shared_ptr<watch_state> state = watches.at(id);
        if (message.isCreated && !state->isStarted) {
            state->isStarted = true;
            state->delay = duration::zero();
            state->callback({store_watch_update::kind::started, message.revision, {}, {}});
        }
        if (!message.changes.empty() && watches.count(id) != 0)
            state->callback(
                {store_watch_update::kind::changed, message.revision, message.changes, {}});
        return watches.count(id) != 0;
    }

    void scheduleWatchRestart(store_watch_id id)
    {
        const auto found = watches.find(id);
        if (found == watches.end())
            return;
        const std::shared_ptr<watch_state> state = found->second;
        state->stream = 0;
        state->delay = std::clamp(state->delay * 2, settings.minRetryDelay, settings.maxRetryDelay);
        const auto jittered
            = duration(std::int64_t(double(state->delay.count()) * (0.5 + random.fraction() / 2)));
        state->retry = loop.callAt(loop.now() + jittered, [this, id] { startWatch(id); });
        if (std::exchange(state->isStarted, false))
            state->callback({store_watch_update::kind::lost, 0, {}, {}});
    }

    event_loop &loop;
    etcd_store_settings settings;
    random_source &random;
    logger log{"store"};
    std::size_t currentEndpoint = 0;
    store_watch_id lastWatch = 0;
    std::unordered_map<store_watch_id, std::shared_ptr<watch_state>> watches;
    http_client client;
};

etcd_store::etcd_store(event_loop &loop, etcd_store_settings settings, random_source &random)
    : m_implementation(std::make_unique<implementation>(loop, std::move(settings), random))
{ }

etcd_store::~etcd_store() = default;

void etcd_store::submit(const store_operation &operation, instant deadline, result_callback done)
{
    m_implementation->submit(operation, deadline, std::move(done));
}

store_watch_id etcd_store::watch(const std::string &prefix, duration, watch_callback callback)
{
    implementation &i = *m_implementation;
    const store_watch_id id = ++i.lastWatch;
    auto state = std::make_shared<implementation::watch_state>();
    state->prefix = prefix;
    state->callback = std::move(callback);
    i.watches.emplace(id, std::move(state));
    i.startWatch(id);
    return id;
}

void etcd_store::cancelWatch(store_watch_id watch)
{
    implementation &i = *m_implementation;
    const auto found = i.watches.find(watch);
    if (found == i.watches.end())
        return;
    i.loop.cancel(found->second->retry);
    i.client.cancel(found->second->stream);
    i.watches.erase(found);
}

} // namespace crocuswind
