#include "host_list_client.h"

#include <fmt/format.h>
#include <utility>

namespace crocuswind {

struct host_list_client::implementation
{
    implementation(event_loop &l, host_list_client_settings s, callback c)
        : loop(l)
        , settings(std::move(s))
        , report(std::move(c))
        , client(l, clientSettings(settings))
    { }

    ~implementation() { loop.cancel(timer); }

    static http_client_settings clientSettings(const host_list_client_settings &settings)
    {
        http_client_settings client;
        client.maxConnectionsPerEndpoint = 1;
        client.tls = settings.tls;
        return client;
    }

    void poll()
    {
        http_call call;
        call.to = settings.endpoint;
        call.method = "GET";
        call.path = "/v1/hosts";
        call.deadline = loop.now() + settings.timeout;
        call.maxAnswerBytes = settings.maxAnswerBytes;
        client.send(std::move(call), [this](const http_result &result) {
            timer = loop.callAt(loop.now() + settings.interval, [this] { poll(); });
            report(parseResult(result));
        });
    }

    tl::expected<host_list, std::string> parseResult(const http_result &result) const
    {
        const std::string endpoint = toString(settings.endpoint);
        switch (result.outcome) {
        case http_outcome::not_connected:
            return tl::unexpected(fmt::format("cannot connect to the host list at {}", endpoint));
        case http_outcome::no_answer:
            return tl::unexpected(fmt::format("no response from the host list at {}", endpoint));
        case http_outcome::answered:
            break;
        }
        if (result.status != 200)
            return tl::unexpected(
                fmt::format("the host list at {} returned status {}", endpoint, result.status));
        auto list = parseHostList(result.body);
        if (!list)
            return tl::unexpected(
                fmt::format("cannot read the host list at {}: {}", endpoint, list.error()));
        return list;
    }

    event_loop &loop;
    host_list_client_settings settings;
    callback report;
    timer_id timer = 0;
    http_client client;
};

host_list_client::host_list_client(event_loop &loop, host_list_client_settings settings, callback c)
    : m_implementation(std::make_unique<implementation>(loop, std::move(settings), std::move(c)))
{
    m_implementation->poll();
}

host_list_client::~host_list_client() = default;

} // namespace crocuswind
