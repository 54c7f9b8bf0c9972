// The program standin_hosts: serves a host list over HTTP, with injected faults.

#include "control_body.h"
#include "hosts_model.h"
#include "http_service.h"

#include <CLI/CLI.hpp>
#include <csignal>
#include <fmt/format.h>
#include <fstream>
#include <sstream>

using namespace crocuswind;
using namespace crocuswind::standin;
using nlohmann::json;

int main(int argc, char **argv)
{
    std::string where = "127.0.0.1:0";
    std::string file;
    std::int64_t lagMs = 0;
    bool isDown = false;
    CLI::App app("Stand-in for the platform's host list: GET /v1/hosts. POST the same form to "
                 "replace the list, or with ?merge=1 to add to it.");
    app.add_option("--listen", where, "Address as IP:PORT; port 0 selects a free port");
    app.add_option("--file", file, "JSON file with the initial list")->check(CLI::ExistingFile);
    app.add_option("--lag-ms", lagMs, "Delay until changes become visible, in ms");
    CLI11_PARSE(app, argc, argv);

    event_loop loop;
    hosts_model model{std::chrono::milliseconds(lagMs)};
    if (!file.empty()) {
        std::ostringstream text;
        text << std::ifstream(file).rdbuf();
        const std::string wrong = model.update(loop.now(), text.str(), false);
        if (!wrong.empty()) {
            fmt::print(stderr, "standin_hosts: {}: {}\n", file, wrong);
            return 1;
        }
    }
    const auto handle = [&](const std::shared_ptr<http_exchange> &e) {
        if (e->path() == "/control" && e->method() == "POST") {
            const std::string wrong
                = applyControl(e->body(),
                               {{"lag_ms",
                                 [&](const json &v) {
                                     model.setLag(std::chrono::milliseconds(v.get<std::int64_t>()));
                                 }},
                                {"down", [&](const json &v) { isDown = v.get<bool>(); }}});
            return wrong.empty() ? e->answer(200, "{}") : e->answer(400, errorBody(wrong));
        }
        if (isDown)
            return e->drop();
        if (e->path() != "/v1/hosts")
            return e->answer(404, errorBody("paths are /v1/hosts and /control"));
        if (e->method() == "POST") {
            const std::string wrong
                = model.update(loop.now(), e->body(), e->parameter("merge") == "1");
            return wrong.empty() ? e->answer(200, "{}") : e->answer(400, errorBody(wrong));
        }
        e->answer(200, model.list(loop.now()).dump());
    };
    http_service service(loop, handle);
    if (!service.listen(where, 1)) {
        fmt::print(stderr, "standin_hosts: cannot listen on {}\n", where);
        return 1;
    }
    service.announce();
    loop.onSignal(SIGTERM, [&loop] { loop.stop(); });
    loop.onSignal(SIGINT, [&loop] { loop.stop(); });
    loop.run();
    return 0;
}
