#include "load_command.h"

#include "load_run.h"

#include <memory>

namespace crocuswind {

namespace {

struct load_settings
{
    load_mix mix;
    load_run_settings run;
    std::vector<std::string> entries;
    bool isJson = false;
};

exit_status runLoad(load_settings s)
{
    if (s.mix.requestsPerSecond <= 0 && s.mix.jobsPerSecond <= 0)
        throw command_error(exit_status::usage,
                            "there is nothing to send; give "
                            "--requests-per-second, --jobs-per-second or both");
    s.run.entries = endpointsOf(s.entries);
    event_loop loop;
    load_run run(loop, s.mix, s.run);
    const load_report report = run.run();
    if (s.isJson)
        printLine("{}", reportJson(report).dump(2));
    else
        fmt::print("{}", reportText(report));
    const bool isReached = report.urgent.notConnected + report.normal.notConnected
            < report.urgent.sent + report.normal.sent
        || report.jobs.accepted > 0 || !report.jobs.refused.empty();
    if (!isReached)
        throw command_error(exit_status::failed,
                            fmt::format("no entry host at {} could be reached; check --entry",
                                        fmt::join(s.entries, ", ")));
    return exit_status::done;
}

} // namespace

void addLoadCommand(CLI::App &app, exit_status &status)
{
    const auto s = std::make_shared<load_settings>();
    CLI::App *command = app.add_subcommand(
        "load", "Send a seeded mix of requests and jobs in an open loop and report the outcomes");
    addEndpoints(*command, "--entry", s->entries,
                 "Entry hosts as IP:PORT; the load goes round them")
        ->required();
    const CLI::Range percent(0, 100);
    const CLI::Range rate(0.0, 100000.0);
    load_mix &mix = s->mix;
    addSetting(*command, "--requests-per-second", mix.requestsPerSecond, "Rate of requests")
        ->check(rate);
    addSetting(*command, "--jobs-per-second", mix.jobsPerSecond, "Rate of jobs")->check(rate);
    addSetting(*command, "--duration-ms", mix.durationMs, "Length of the load in ms")
        ->check(CLI::Range(std::int64_t(1), std::int64_t(86400000)));
    addSetting(*command, "--seed", mix.seed, "Seed of the arrivals and their kinds");
    addSetting(*command, "--services", mix.services, "Services, separated by commas")
        ->delimiter(',');
    addSetting(*command, "--teams", mix.teams, "Teams, separated by commas")->delimiter(',');
    addSetting(*command, "--urgent-percent", mix.urgentPercent, "Urgent ones of the requests")
        ->check(percent);
    addSetting(*command, "--unrepeatable-percent", mix.unrepeatablePercent,
               "Unrepeatable ones of the requests")
        ->check(percent);
    addSetting(*command, "--time-left-ms", mix.timeLeftMs, "Deadline of each request in ms")
        ->check(CLI::Range(std::int64_t(1), std::int64_t(600000)));
    addSetting(*command, "--payload-bytes", mix.payloadBytes, "Size of each payload in bytes")
        ->check(CLI::Range(0, 500000));
    addSetting(*command, "--job-cores", mix.jobCores, "Processors of each job")
        ->check(CLI::Range(0.001, 1024.0));
    addSetting(*command, "--job-memory-mb", mix.jobMemoryMb, "Memory of each job in MB")
        ->check(CLI::Range(1, 4194304));
    addSetting(*command, "--job-run-ms", mix.jobRunMs, "Mean run time of finite jobs in ms")
        ->check(CLI::Range(std::int64_t(100), std::int64_t(86400000)));
    addSetting(*command, "--continuous-percent", mix.continuousPercent,
               "Jobs without an end, of all jobs")
        ->check(percent);
    addSetting(*command, "--job-wait-ms", s->run.jobWaitMs,
               "Longest wait for the jobs to finish, in ms")
        ->check(CLI::Range(std::int64_t(0), std::int64_t(86400000)));
    addSetting(*command, "--connections", s->run.connections, "Most connections to each entry host")
        ->check(CLI::Range(1, 10000));
    addSwitch(*command, "--check-answers", s->run.checksAnswers,
              "Count answers that do not hold the request's payload");
    addSwitch(*command, "--quiet", s->run.isQuiet, "No progress lines");
    addSwitch(*command, "--json", s->isJson, "Print the report as JSON");
    command->callback([s, &status] { status = runLoad(*s); });
}

} // namespace crocuswind
