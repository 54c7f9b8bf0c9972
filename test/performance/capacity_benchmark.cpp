// Measures the inputs of docs/CAPACITY.md: bytes of state, bytes of messages and processor time,
// each at four sizes. The byte counts are the same in every run; processor times depend on the
// machine and its load. Usage: capacity_benchmark

#include "batch/batch.h"
#include "batch/segment_codec.h"
#include "cluster/cluster.h"
#include "protocol/protocol.h"
#include "urgent/urgent.h"

#include <ctime>
#include <fmt/format.h>
#include <functional>
#include <malloc.h>

using namespace crocuswind;

namespace {

double processorMicroseconds()
{
    timespec now{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
    return double(now.tv_sec) * 1e6 + double(now.tv_nsec) / 1e3;
}

/// Returns the processor time of one call of \p function in microseconds, averaged over 200 calls.
double timeOf(const std::function<void()> &function)
{
    constexpr int repetitions = 200;
    const double begin = processorMicroseconds();
    for (int i = 0; i < repetitions; ++i)
        function();
    return (processorMicroseconds() - begin) / repetitions;
}

double heapBytes()
{
    return double(mallinfo2().uordblks);
}

job_record exampleJob(int number)
{
    job_record job;
    job.spec.id = {team_id{"laboratory"}, fmt::format("certificate-{:06}", number)};
    job.spec.size = {2000, 4096, 0};
    job.spec.runMs = 60000;
    job.spec.payload = std::string(64, 'x');
    job.number = number;
    task_record task;
    task.state = task_state::claimed;
    task.attempt = 1;
    task.worker = worker_id{"dakar-1-worker-17"};
    task.lastCheckpoint = {3, "checkpoint-3"};
    job.tasks = {task};
    return job;
}

/// Prints the heap bytes per identifier and the processor time per request of the request ledger,
/// for requests that are submitted, dispatched and answered.
void measureLedger()
{
    fmt::print("request ledger: live identifiers, heap bytes for each, processor time a request\n");
    for (int count : {44'000, 88'000, 177'000, 354'000}) {
        const double heapBefore = heapBytes();
        urgent_settings settings;
        settings.host = host_id{"entry-1"};
        settings.dataCentre = data_centre_id{"dakar-1"};
        request_core core(settings);
        instant now{};
        core.handle({now, runners_listed{{{runner_id{"r-1"}, service_id{"s"}, 64, 64, false}}}});
        core.handle({now, urgent_seat_granted{0, 1, instant::max(), true}});
        const double begin = processorMicroseconds();
        for (int i = 0; i < count; ++i) {
            // One request every 1695 us is 590 a second, which keep 354,000 identifiers for 10 min.
            now += 1695us;
            request_submitted request;
            request.caller = std::uint64_t(i);
            request.deadline = now + 2s;
            request.content.service = service_id{"s"};
            request.content.team = team_id{"t"};
            request.content.isRepeatable = true;
            for (const urgent_action &action : core.handle({now, request})) {
                if (const auto *dispatch = std::get_if<dispatch_to_runner>(&action)) {
                    runner_result result;
                    result.attempt = dispatch->attempt;
                    result.what = runner_result::kind::answered;
                    result.echoedId = dispatch->id;
                    result.answer = std::string(100, 'a');
                    core.handle({now + 100us, result});
                }
            }
        }
        const double micros = processorMicroseconds() - begin;
        const std::size_t live = core.counts().identifiers;
        fmt::print("  {:7}  {:7.1f} B  {:6.2f} us\n", live,
                   (heapBytes() - heapBefore) / double(std::max<std::size_t>(live, 1)),
                   micros / count);
    }
}

/// Prints the bytes and the processor time of one sync with a worker, by its number of tasks.
void measureSync()
{
    fmt::print("worker sync: tasks, request bytes, report bytes, processor time of both codecs\n");
    for (int count : {8, 16, 32, 64}) {
        sync_request request;
        request.shard = {data_centre_id{"dakar-1"}, 3};
        request.epoch = 123456;
        request.sequence = 1000;
        request.basis = 999;
        request.leaseMs = 15000;
        sync_report report;
        report.worker = worker_id{"dakar-1-worker-17"};
        report.incarnationNumber = 1796382985104834;
        report.epoch = request.epoch;
        report.sequence = request.sequence;
        for (int i = 0; i < count; ++i) {
            task_report task;
            task.task = {exampleJob(i).spec.id, 0, 1};
            task.lastCheckpoint = {3, "checkpoint-3"};
            task.usage = task_usage{1800, 3900, 1100, 5000};
            report.tasks.push_back(task);
        }
        const std::string requestBody = encodeSyncRequest(request);
        const std::string reportBody = encodeSyncReport(report);
        const double micros = timeOf([&] {
            (void)encodeSyncRequest(request);
            (void)parseSyncReport(reportBody);
        });
        fmt::print("  {:4}  {:6} B  {:6} B  {:7.1f} us\n", count, requestBody.size(),
                   reportBody.size(), micros);
    }
}

/// Prints the bytes and the encoding time of one segment of a shard's state, by its number of jobs.
void measureSegment()
{
    fmt::print("segment: jobs, bytes, bytes a job, processor time to encode\n");
    for (int count : {25, 50, 100, 200}) {
        std::vector<job_record> jobs;
        for (int i = 0; i < count; ++i)
            jobs.push_back(exampleJob(i));
        std::vector<const job_record *> pointers;
        for (const job_record &job : jobs)
            pointers.push_back(&job);
        const std::string value = encodeSegment(pointers);
        const double micros = timeOf([&] { (void)encodeSegment(pointers); });
        fmt::print("  {:4}  {:6} B  {:5.0f} B  {:7.1f} us\n", count, value.size(),
                   double(value.size()) / count, micros);
    }
}

/// Prints the bytes and the decoding time of a configuration, by its number of services.
void measureConfiguration()
{
    fmt::print("configuration: services, bytes, processor time to decode and check\n");
    for (int count : {50, 100, 200, 400}) {
        config_set config;
        config.revision = 1;
        std::string text = "[team.lab]\ncores = 4000\nmemory_mb = 16000000\nurgent_weight = 2\n";
        for (int i = 0; i < count; ++i)
            text += fmt::format("[service.s{}]\nteam = \"lab\"\nurgency = \"urgent\"\n"
                                "deadline_ms = 1000\ncores = 1\nmemory_mb = 512\n",
                                i);
        config.files = {{"site.toml", text}};
        const std::string encoded = encodeConfig(config);
        const double micros = timeOf([&] {
            const auto decoded = decodeConfig(encoded);
            (void)parseWorkloadFiles({{decoded->files[0].name, decoded->files[0].text}});
        });
        fmt::print("  {:4}  {:6} B  {:8.0f} us\n", count, encoded.size(), micros);
    }
}

} // namespace

int main()
{
    measureLedger();
    measureSync();
    measureSegment();
    measureConfiguration();
    return 0;
}
