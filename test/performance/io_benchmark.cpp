// Measures the cost of one exchange over loopback. Both ends run on the single thread of the
// benchmark.

#include "io/io.h"

#include <benchmark/benchmark.h>

using namespace crocuswind;

namespace {

void httpExchange(benchmark::State &state)
{
    event_loop loop;
    const std::string body(std::size_t(state.range(0)), 'x');
    http_server server(loop, {}, [](const http_request &request, const http_responder &responder) {
        responder.answer({200, "text/plain", {}, request.body});
    });
    http_client client(loop, {});
    http_call call;
    call.to = *server.listen({"127.0.0.1", 0});
    call.body = body;
    for (auto _ : state) {
        bool isDone = false;
        call.deadline = loop.now() + 10s;
        client.send(call, [&](const http_result &) { isDone = true; });
        loop.runUntil([&] { return isDone; }, 10s);
    }
    state.SetBytesProcessed(std::int64_t(state.iterations()) * state.range(0) * 2);
}

struct name_hello final : peer_hello_codec
{
    explicit name_hello(std::string n)
        : name(std::move(n))
    { }
    std::string helloFrame() override { return name; }
    std::optional<host_id> parseHello(std::string_view frame) override
    {
        return host_id{std::string(frame)};
    }
    std::string name;
};

void peerFrame(benchmark::State &state)
{
    event_loop loop;
    seeded_random random(1);
    name_hello helloA("a");
    name_hello helloB("b");
    std::size_t received = 0;
    const auto ignore = [](const host_id &) {};
    peer_links_settings settings;
    settings.self = host_id{"a"};
    peer_links a(loop, settings, helloA, random, {ignore, ignore, {}});
    settings.self = host_id{"b"};
    peer_links b(loop, settings, helloB, random,
                 {ignore, ignore, [&](const host_id &, std::string_view) { ++received; }});
    a.setPeers({{host_id{"b"}, *b.listen({"127.0.0.1", 0})}});
    loop.runUntil([&] { return a.isUp(host_id{"b"}) && b.isUp(host_id{"a"}); }, 10s);
    const std::string frame(std::size_t(state.range(0)), 'x');
    for (auto _ : state) {
        const std::size_t expected = received + 1;
        a.send(host_id{"b"}, frame);
        loop.runUntil([&] { return received == expected; }, 10s);
    }
    state.SetBytesProcessed(std::int64_t(state.iterations()) * state.range(0));
}

void spanLine(benchmark::State &state)
{
    const finished_span span{{1, 2, 3}, 4, "dispatch", 10, 20, false, {{"runner", "n1"}}};
    for (auto _ : state)
        benchmark::DoNotOptimize(toOtlpLine({"crocuswindd", "e1", {}}, span));
}

} // namespace

BENCHMARK(httpExchange)->Arg(100)->Arg(100000)->Unit(benchmark::kMicrosecond);
BENCHMARK(peerFrame)->Arg(100)->Arg(100000)->Unit(benchmark::kMicrosecond);
BENCHMARK(spanLine)->Unit(benchmark::kMicrosecond);

BENCHMARK_MAIN();
