#include "job_commands.h"

#include "entry_client.h"

#include <cmath>
#include <memory>

namespace crocuswind {

namespace {

constexpr duration pollInterval = 500ms;

struct submit_settings
{
    entry_settings entry;
    std::string job;
    std::string kind = "finite";
    std::string urgency = "normal";
    double cores = 1;
    std::int64_t memoryMb = 0;
    std::int64_t accelerators = 0;
    std::int64_t runMs = 0;
    int replicas = 1;
    std::string payload;
    std::string payloadFile;
};

struct job_settings
{
    entry_settings entry;
    std::string job;
    bool shouldWait = false;
};

struct jobs_settings
{
    entry_settings entry;
    std::string team;
};

std::string checkJobId(const std::string &text)
{
    return parseJobId(text) ? std::string()
                            : fmt::format("'{}' does not have the form TEAM/NAME", text);
}

int attemptsOf(const caller_job_view &view)
{
    int attempts = 0;
    for (const caller_task &t : view.tasks)
        attempts += t.attempts;
    return attempts;
}

void print(const caller_job_view &view, bool isJson)
{
    if (isJson) {
        printLine("{}", toBody(view));
        return;
    }
    printLine("{}: {}, {} attempts", toString(view.id), view.state, attemptsOf(view));
    if (!view.explanation.empty())
        printLine("  {}", view.explanation);
    for (std::size_t i = 0; i < view.tasks.size(); ++i) {
        const caller_task &t = view.tasks[i];
        std::string line = fmt::format("  replica {}: {}", i, t.state);
        if (!t.worker.empty())
            line += " on " + t.worker;
        if (t.failures > 0)
            line += fmt::format(", {} failures", t.failures);
        if (t.checkpoint > 0)
            line += fmt::format(", checkpoint {}", t.checkpoint);
        if (!t.result.empty())
            line += ", result: " + t.result;
        printLine("{}", line);
    }
}

caller_job_view viewOf(const http_result &result)
{
    auto view = parseCallerJobView(result.body);
    if (!view)
        throw command_error(exit_status::failed,
                            "the entry host's answer is not a job: " + toString(view.error()));
    return std::move(*view);
}

exit_status runSubmit(const submit_settings &s)
{
    caller_job job;
    job.id = parseJobId(s.job).value_or(job_id{});
    job.kind = parseCallerJobKind(s.kind).value_or(caller_job_kind::finite);
    job.urgency = parseCallerJobUrgency(s.urgency).value_or(caller_job_urgency::normal);
    job.size = {std::llround(s.cores * 1000), s.memoryMb, s.accelerators};
    job.runMs = s.runMs;
    job.replicas = s.replicas;
    job.payload = s.payloadFile.empty() ? s.payload : readFile(s.payloadFile, 16 * 1024);
    const std::string body = toBody(job);
    // The entry host validates the job as well; validating it here saves a call.
    if (const auto checked = parseCallerJob(body); !checked)
        throw command_error(exit_status::usage,
                            "the job has mistakes:\n" + toString(checked.error()));
    event_loop loop;
    entry_client client(loop, s.entry);
    // Submission is idempotent, so it may be retried after a lost answer.
    const http_result result = client.call("POST", "/v1/jobs", body, client.deadline(), true);
    if (result.outcome != http_outcome::answered)
        failUnanswered(client, result.outcome,
                       "the job may or may not have been accepted; repeat the same command, which "
                       "cannot submit it twice");
    switch (result.status) {
    case 200:
    case 201:
        break;
    case 400:
        failStatus(result, exit_status::usage);
    case 504:
        failStatus(result, exit_status::unknown);
    default:
        failStatus(result, exit_status::refused);
    }
    const caller_job_view view = viewOf(result);
    if (s.entry.isJson)
        print(view, true);
    else
        printLine("{}: {} ({})", toString(view.id), view.state,
                  result.status == 201 ? "accepted" : "already submitted");
    return exit_status::done;
}

bool isFinished(const caller_job_view &view)
{
    return view.state == "done" || view.state == "failed" || view.state == "cancelled";
}

exit_status runJob(const job_settings &s)
{
    event_loop loop;
    entry_client client(loop, s.entry);
    while (true) {
        const http_result result
            = client.call("GET", "/v1/jobs/" + s.job, "", client.deadline(), true);
        const bool isAnswered = result.outcome == http_outcome::answered;
        if (isAnswered && result.status == 404)
            failStatus(result, exit_status::failed);
        if (isAnswered && result.status == 200) {
            const caller_job_view view = viewOf(result);
            if (!s.shouldWait || isFinished(view)) {
                print(view, s.entry.isJson);
                return s.shouldWait && view.state != "done" ? exit_status::failed
                                                            : exit_status::done;
            }
        } else if (!s.shouldWait) {
            if (!isAnswered)
                failUnanswered(client, result.outcome, "repeat the command");
            failStatus(result, exit_status::failed);
        }
        if (loop.now() + pollInterval >= client.deadline())
            throw command_error(exit_status::unknown,
                                fmt::format("job {} has not finished in {} ms; it goes on", s.job,
                                            s.entry.timeoutMs));
        waitFor(loop, pollInterval);
    }
}

exit_status runJobs(const jobs_settings &s)
{
    event_loop loop;
    entry_client client(loop, s.entry);
    caller_job_list all;
    std::string after;
    do {
        std::string path = fmt::format("/v1/jobs?limit={}", maxCallerListing);
        if (!s.team.empty())
            path += "&team=" + s.team;
        if (!after.empty())
            path += "&after=" + after;
        const http_result result = client.call("GET", path, "", client.deadline(), true);
        if (result.outcome != http_outcome::answered)
            failUnanswered(client, result.outcome, "repeat the command");
        if (result.status != 200)
            failStatus(result, exit_status::failed);
        const auto list = parseCallerJobList(result.body);
        if (!list)
            throw command_error(exit_status::failed,
                                "the entry host's answer is not a list of "
                                "jobs: "
                                    + toString(list.error()));
        // A continuation that does not advance would loop forever.
        if (!list->next.empty() && list->next <= after)
            throw command_error(exit_status::failed, "the entry host's list does not continue");
        for (const caller_job_view &view : list->jobs)
            print(view, s.entry.isJson);
        after = list->next;
    } while (!after.empty());
    return exit_status::done;
}

exit_status runCancel(const job_settings &s)
{
    event_loop loop;
    entry_client client(loop, s.entry);
    const http_result result
        = client.call("POST", "/v1/jobs/" + s.job + "/cancel", "", client.deadline(), true);
    if (result.outcome != http_outcome::answered)
        failUnanswered(client, result.outcome, "repeat the command");
    if (result.status != 200)
        failStatus(result, result.status == 504 ? exit_status::unknown : exit_status::refused);
    print(viewOf(result), s.entry.isJson);
    return exit_status::done;
}

void addSubmit(CLI::App &app, exit_status &status)
{
    const auto s = std::make_shared<submit_settings>();
    CLI::App *command = app.add_subcommand("submit", "Submit a job; repeating it is safe");
    command->add_option("job", s->job, "TEAM/NAME")->required()->check(checkJobId);
    addEntrySettings(*command, s->entry);
    addSetting(*command, "--kind", s->kind, "finite, continuous or service")
        ->check(CLI::IsMember({"finite", "continuous", "service"}));
    addSetting(*command, "--urgency", s->urgency, "low, normal or high")
        ->check(CLI::IsMember({"low", "normal", "high"}));
    addSetting(*command, "--cores", s->cores, "Processors of one replica")
        ->check(CLI::Range(0.001, 1024.0));
    addSetting(*command, "--memory-mb", s->memoryMb, "Memory of one replica in MB")->required();
    addSetting(*command, "--accelerators", s->accelerators, "Accelerators of one replica");
    addSetting(*command, "--run-ms", s->runMs, "Expected run time in ms, 0 if not known");
    addSetting(*command, "--replicas", s->replicas, "Replicas; more than 1 only for a service");
    CLI::Option *payload
        = addSetting(*command, "--payload", s->payload, "Text for the worker, at most 16 KB");
    addSetting(*command, "--payload-file", s->payloadFile,
               "File with the text for the worker, - for standard input")
        ->excludes(payload);
    command->callback([s, &status] { status = runSubmit(*s); });
}

} // namespace

void addJobCommands(CLI::App &app, exit_status &status)
{
    addSubmit(app, status);

    const auto job = std::make_shared<job_settings>();
    CLI::App *command = app.add_subcommand("job", "Show the state of a job");
    command->add_option("job", job->job, "TEAM/NAME")->required()->check(checkJobId);
    addEntrySettings(*command, job->entry);
    addSwitch(*command, "--wait", job->shouldWait, "Wait until the job has finished");
    command->callback([job, &status] { status = runJob(*job); });

    const auto jobs = std::make_shared<jobs_settings>();
    command = app.add_subcommand("jobs", "List jobs");
    addEntrySettings(*command, jobs->entry);
    addSetting(*command, "--team", jobs->team, "Only the jobs of this team");
    command->callback([jobs, &status] { status = runJobs(*jobs); });

    const auto cancel = std::make_shared<job_settings>();
    command = app.add_subcommand("cancel", "Cancel a job");
    command->add_option("job", cancel->job, "TEAM/NAME")->required()->check(checkJobId);
    addEntrySettings(*command, cancel->entry);
    command->callback([cancel, &status] { status = runCancel(*cancel); });
}

} // namespace crocuswind
