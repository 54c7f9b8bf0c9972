#include "command_codec.h"

#include "cbor_values.h"

#include <map>
#include <utility>

namespace crocuswind::scheduler {

namespace {

using namespace cbor_values;

// The kind of a command is the index of its type in worker_command.
enum class command_kind { start, stop, pace, poll };

const json &textAt(const json &row, std::size_t index)
{
    if (!row.at(index).is_string())
        throw std::out_of_range("expected a text");
    return row.at(index);
}

task_name taskAt(const json &row, std::size_t index)
{
    auto name = parseTaskName(textAt(row, index).get_ref<const std::string &>());
    if (!name)
        throw std::out_of_range("not the name of a task");
    return std::move(*name);
}

template <class value>
value rangeAt(const json &row, std::size_t index, value highest)
{
    const int number = readAs<int>(row.at(index));
    if (number < 0 || number > int(highest))
        throw std::out_of_range("unknown value of an enumeration");
    return value(number);
}

/// The payloads of a batch. The tasks of a job share theirs, so each is sent once.
class payload_table
{
public:
    /// Returns the index of the payload.
    std::size_t indexOf(const std::string &payload)
    {
        const auto [found, isNew] = m_indices.try_emplace(payload, m_payloads.size());
        if (isNew)
            m_payloads.push_back(payload);
        return found->second;
    }

    const json &payloads() const { return m_payloads; }

private:
    json m_payloads = json::array();
    std::map<std::string_view, std::size_t> m_indices; ///< The texts belong to the commands.
};

json fieldsOf(const start_command &c, payload_table &payloads)
{
    return json::array(
        {toString(c.task), c.run, payloads.indexOf(c.payload), c.checkpoint, c.leaseUntilMs});
}

json fieldsOf(const stop_command &c, payload_table &)
{
    return json::array({toString(c.task), c.run});
}

json fieldsOf(const pace_command &c, payload_table &)
{
    return json::array({toString(c.task), c.run, c.percent});
}

json fieldsOf(const poll_command &c, payload_table &)
{
    return json::array(
        {c.number, c.ackedCompletions, c.leaseUntilMs ? json(*c.leaseUntilMs) : json(), c.waitMs});
}

worker_command readStart(const json &fields, const json &payloads)
{
    start_command c;
    c.task = taskAt(fields, 0);
    read(fields.at(1), c.run);
    c.payload = textAt(payloads, readAs<std::size_t>(fields.at(2))).get<std::string>();
    c.checkpoint = textAt(fields, 3).get<std::string>();
    read(fields.at(4), c.leaseUntilMs);
    return c;
}

worker_command readStop(const json &fields)
{
    stop_command c;
    c.task = taskAt(fields, 0);
    read(fields.at(1), c.run);
    return c;
}

worker_command readPace(const json &fields)
{
    pace_command c;
    c.task = taskAt(fields, 0);
    read(fields.at(1), c.run);
    read(fields.at(2), c.percent);
    return c;
}

worker_command readPoll(const json &fields, const std::string &address)
{
    poll_command c;
    c.address = address;
    read(fields.at(0), c.number);
    read(fields.at(1), c.ackedCompletions);
    if (!fields.at(2).is_null())
        c.leaseUntilMs = readAs<std::int64_t>(fields.at(2));
    read(fields.at(3), c.waitMs);
    return c;
}

worker_command readCommand(const json &row, const std::string &address, const json &payloads)
{
    const json &fields = row.at(6);
    switch (rangeAt(row, 1, command_kind::poll)) {
    case command_kind::start:
        return readStart(fields, payloads);
    case command_kind::stop:
        return readStop(fields);
    case command_kind::pace:
        return readPace(fields);
    case command_kind::poll:
        return readPoll(fields, address);
    }
    throw std::out_of_range("unknown kind of command");
}

json toJson(const relayed_command &relayed, payload_table &payloads)
{
    return std::visit(
        [&](const auto &c) {
            return json::array({relayed.number, relayed.command.index(), c.worker.value,
                                relayed.address, c.epoch, relayed.timeLeftMs,
                                fieldsOf(c, payloads)});
        },
        relayed.command);
}

relayed_command commandFromJson(const json &row, const json &payloads)
{
    relayed_command relayed;
    read(row.at(0), relayed.number);
    relayed.address = textAt(row, 3).get<std::string>();
    read(row.at(5), relayed.timeLeftMs);
    relayed.command = readCommand(row, relayed.address, payloads);
    std::visit(
        [&](auto &c) {
            c.worker.value = textAt(row, 2).get<std::string>();
            read(row.at(4), c.epoch);
        },
        relayed.command);
    return relayed;
}

json toJson(const worker_report &report)
{
    json running = json::array();
    for (const running_report &r : report.running)
        running.push_back(
            json::array({toString(r.task), r.run, r.checkpoint, r.progressPercent, r.measurement}));
    json ended = json::array();
    for (const completion_report &c : report.completedRuns)
        ended.push_back(
            json::array({c.number, c.task.job.value.empty() ? json() : json(toString(c.task)),
                         c.run, int(c.reason), c.checkpoint}));
    return json::array(
        {report.incarnationStartUnixMs, std::move(running), std::move(ended), report.isWhole});
}

void readReport(const json &j, worker_report &report)
{
    read(j.at(0), report.incarnationStartUnixMs);
    report.running.reserve(j.at(1).size());
    for (const json &row : j.at(1)) {
        running_report &r = report.running.emplace_back();
        r.task = taskAt(row, 0);
        read(row.at(1), r.run);
        r.checkpoint = textAt(row, 2).get<std::string>();
        read(row.at(3), r.progressPercent);
        read(row.at(4), r.measurement);
    }
    for (const json &row : j.at(2)) {
        completion_report &c = report.completedRuns.emplace_back();
        read(row.at(0), c.number);
        // A run that no scheduler started has no task, but its completion is acknowledged as well.
        if (!row.at(1).is_null())
            c.task = taskAt(row, 1);
        read(row.at(2), c.run);
        c.reason = rangeAt(row, 3, completion_reason::gang_incomplete);
        c.checkpoint = textAt(row, 4).get<std::string>();
    }
    // A relay of an earlier build does not say whether the completions are all.
    report.isWhole = j.size() > 3 ? j.at(3).get<bool>() : report.completedRuns.empty();
}

} // namespace

const worker_id &workerOf(const worker_command &command)
{
    return std::visit([](const auto &c) -> const worker_id & { return c.worker; }, command);
}

std::string encodeCommands(const relayed_commands &batch)
{
    json rows = json::array();
    payload_table payloads;
    for (const relayed_command &command : batch.commands)
        rows.push_back(toJson(command, payloads));
    return toBytes(json::array({batch.sentAtMs, std::move(rows), payloads.payloads()}));
}

std::optional<relayed_commands> decodeCommands(std::string_view bytes)
{
    return decode<relayed_commands>(bytes, [](const json &j) {
        relayed_commands batch;
        read(j.at(0), batch.sentAtMs);
        for (const json &row : j.at(1))
            batch.commands.push_back(commandFromJson(row, j.at(2)));
        return batch;
    });
}

std::string encodeResults(const std::vector<relayed_result> &results)
{
    json rows = json::array();
    for (const relayed_result &result : results) {
        json row = json::array({result.number, int(result.outcome), result.report.clockMs});
        if (result.report.incarnationStartUnixMs != 0 || !result.report.running.empty()
            || !result.report.completedRuns.empty())
            row.push_back(toJson(result.report));
        rows.push_back(std::move(row));
    }
    return toBytes(rows);
}

std::optional<std::vector<relayed_result>> decodeResults(std::string_view bytes)
{
    return decode<std::vector<relayed_result>>(bytes, [](const json &j) {
        std::vector<relayed_result> results;
        for (const json &row : j) {
            relayed_result &result = results.emplace_back();
            read(row.at(0), result.number);
            result.outcome = rangeAt(row, 1, command_outcome::no_answer);
            read(row.at(2), result.report.clockMs);
            if (row.size() > 3)
                readReport(row.at(3), result.report);
        }
        return results;
    });
}

std::string encodeOffer(const relay_offer &offer)
{
    return toBytes(json::array(
        {offer.isAvailable, offer.dataCentre.value, offer.milliCores, offer.makesStoreCalls}));
}

std::optional<relay_offer> decodeOffer(std::string_view bytes)
{
    return decode<relay_offer>(bytes, [](const json &j) {
        relay_offer offer;
        read(j.at(0), offer.isAvailable);
        offer.dataCentre.value = textAt(j, 1).get<std::string>();
        read(j.at(2), offer.milliCores);
        offer.makesStoreCalls = j.size() > 3 && j.at(3).get<bool>();
        return offer;
    });
}

} // namespace crocuswind::scheduler
