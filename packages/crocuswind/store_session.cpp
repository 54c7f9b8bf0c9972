#include "store_session.h"

#include <memory>
#include <random>

namespace crocuswind {

namespace {

constexpr duration callTimeout = 2s;
constexpr duration retryInterval = 200ms;

etcd_store_settings adapterSettings(const store_settings &settings)
{
    etcd_store_settings adapter;
    adapter.endpoints = endpointsOf(settings.stores);
    return adapter;
}

} // namespace

void addStoreSettings(CLI::App &app, store_settings &settings)
{
    addEndpoints(app, "--store", settings.stores,
                 "The store's JSON gateway as IP:PORT; several, separated by commas, are tried in "
                 "turn")
        ->required();
    addSetting(app, "--timeout-ms", settings.timeoutMs, "Time for the whole command in ms")
        ->check(CLI::Range(std::int64_t(1), std::int64_t(86400000)));
}

store_session::store_session(event_loop &loop, const store_settings &settings)
    : m_loop(loop)
    , m_random(std::random_device{}())
    , m_store(loop, adapterSettings(settings), m_random)
    , m_addresses(fmt::format("{}", fmt::join(settings.stores, ", ")))
    , m_deadline(loop.now() + std::chrono::milliseconds(settings.timeoutMs))
{ }

std::optional<store_entry> store_session::read(const std::string &key)
{
    while (true) {
        // Shared with the callback, which may be called after this function has returned.
        const auto result = std::make_shared<std::optional<store_result>>();
        const instant limit = std::min(m_deadline, m_loop.now() + callTimeout);
        m_store.submit(store_range{key, false}, limit,
                       [result](store_result r) { *result = std::move(r); });
        m_loop.runUntil([&result] { return result->has_value(); },
                        std::max(duration(0), limit - m_loop.now()) + 1s);
        if (result->has_value() && (*result)->has_value()) {
            const store_reply &reply = **result->operator->();
            return reply.entries.empty() ? std::nullopt : std::optional(reply.entries.front());
        }
        if (m_loop.now() + retryInterval >= m_deadline)
            throw command_error(exit_status::failed,
                                fmt::format("the store at {} does not answer; check --store and "
                                            "that the store is up. Nothing was changed.",
                                            m_addresses));
        m_loop.runUntil([] { return false; }, retryInterval);
    }
}

std::optional<config_set> store_session::readConfig(const std::string &key)
{
    const std::optional<store_entry> entry = read(key);
    if (!entry)
        return std::nullopt;
    auto config = decodeConfig(entry->value);
    if (!config)
        throw command_error(
            exit_status::failed,
            fmt::format("the store's {} is not a configuration: {}", key, config.error()));
    return std::move(*config);
}

publish_finished store_session::publish(publish_request request)
{
    request.deadline = m_deadline;
    publish_core core(std::move(request));
    std::optional<publish_finished> finished;
    timer_id timer = 0;
    std::function<void(publish_core::event)> handle = [&](const publish_core::event &event) {
        for (publish_core::action &action : core.handle(event)) {
            if (auto *call = std::get_if<cluster_store_call>(&action)) {
                m_store.submit(call->operation, call->deadline,
                               [&, token = call->token](store_result result) {
                                   if (!finished)
                                       handle({m_loop.now(), cluster_store_answer{token, result}});
                               });
            } else if (const auto *wake = std::get_if<cluster_wake_at>(&action)) {
                m_loop.cancel(timer);
                timer = m_loop.callAt(wake->when, [&] { handle({m_loop.now(), cluster_tick{}}); });
            } else {
                finished = std::get<publish_finished>(std::move(action));
            }
        }
    };
    handle({m_loop.now(), cluster_tick{}});
    // publish_core finishes at its deadline at the latest, so this loop terminates.
    while (!finished)
        m_loop.runUntil([&] { return finished.has_value(); }, 1s);
    m_loop.cancel(timer);
    return *finished;
}

} // namespace crocuswind
