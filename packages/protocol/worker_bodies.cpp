#include "worker_bodies.h"

#include <cmath>
#include <fmt/format.h>
#include <functional>
#include <nlohmann/json.hpp>
#include <utility>

namespace crocuswind {

namespace {

using nlohmann::json;

constexpr std::size_t maxBodyBytes = 1024 * 1024;
constexpr int maxDepth = 16;

/// Reads the fields of one object and collects findings, each with the path of its field.
class object_reader
{
public:
    object_reader(const json &object, std::string path, findings &found)
        : m_object(object)
        , m_path(std::move(path))
        , m_found(found)
    {
        if (!object.is_object())
            addFinding("", "must be an object");
    }

    /// Reports a mistake at \p field, or at the object itself if \p field is empty.
    void addFinding(const std::string &field, const std::string &message)
    {
        const std::string separator = m_path.empty() || field.empty() ? "" : ".";
        m_found.push_back({{m_path + separator + field}, message});
    }

    std::string pathOf(const std::string &field) const
    {
        return m_path.empty() ? field : m_path + "." + field;
    }

    /// Returns the field, or null if it is missing. Reports a missing required field.
    const json *field(const char *name, bool isRequired)
    {
        if (!m_object.is_object())
            return nullptr;
        const auto at = m_object.find(name);
        if (at != m_object.end())
            return &*at;
        if (isRequired)
            addFinding(name, "is missing");
        return nullptr;
    }

    std::int64_t number(const char *name, bool isRequired = true)
    {
        const json *value = field(name, isRequired);
        if (value == nullptr)
            return 0;
        const bool isInRange = value->is_number_unsigned()
            && value->get<std::uint64_t>() <= std::uint64_t(INT64_MAX);
        if (isInRange)
            return value->get<std::int64_t>();
        addFinding(name, "must be a whole number from 0 to 2^63 - 1");
        return 0;
    }

    int smallNumber(const char *name)
    {
        constexpr std::int64_t maxSmall = 1'000'000'000;
        const std::int64_t value = number(name);
        if (value <= maxSmall)
            return int(value);
        addFinding(name, "is too large");
        return 0;
    }

    std::int64_t thousandths(const char *name)
    {
        const json *value = field(name, true);
        if (value == nullptr)
            return 0;
        constexpr double maxCores = 1e6;
        if (value->is_number()) {
            const double scaled = value->get<double>() * 1000;
            // The tolerance allows for thousandths that a double cannot represent exactly.
            if (scaled >= 0 && scaled <= maxCores * 1000
                && std::abs(scaled - std::round(scaled)) < 1e-3)
                return std::llround(scaled);
        }
        addFinding(name, "must be a number from 0 to 1000000 with at most three decimals");
        return 0;
    }

    std::string text(const char *name, std::size_t maxBytes, bool isRequired = true)
    {
        const json *value = field(name, isRequired);
        if (value == nullptr)
            return std::string();
        if (value->is_string() && value->get_ref<const std::string &>().size() <= maxBytes)
            return value->get<std::string>();
        addFinding(name, fmt::format("must be a string of at most {} bytes", maxBytes));
        return std::string();
    }

    template <class element, class function>
    std::vector<element> list(const char *name, function parse)
    {
        std::vector<element> elements;
        const json *value = field(name, false);
        if (value == nullptr)
            return elements;
        if (!value->is_array()) {
            addFinding(name, "must be a list");
            return elements;
        }
        for (std::size_t i = 0; i < value->size(); ++i) {
            object_reader reader((*value)[i], fmt::format("{}[{}]", pathOf(name), i), m_found);
            elements.push_back(parse(reader));
        }
        return elements;
    }

    object_reader nested(const char *name)
    {
        static const json empty = json::object();
        const json *value = field(name, true);
        return {value == nullptr ? empty : *value, pathOf(name), m_found};
    }

private:
    const json &m_object;
    std::string m_path;
    findings &m_found;
};

tl::expected<json, findings> parseBody(std::string_view body)
{
    if (body.size() > maxBodyBytes)
        return tl::unexpected(findings{{{"body"}, "is larger than 1 MB"}});
    bool isTooDeep = false;
    const auto limitDepth = [&isTooDeep](int depth, json::parse_event_t, json &) {
        isTooDeep = isTooDeep || depth > maxDepth;
        return !isTooDeep;
    };
    json parsed = json::parse(body.begin(), body.end(), limitDepth, false);
    if (isTooDeep)
        return tl::unexpected(findings{{{"body"}, "is nested deeper than 16 levels"}});
    if (parsed.is_discarded())
        return tl::unexpected(findings{{{"body"}, "is not JSON"}});
    return parsed;
}

std::string dump(const json &value)
{
    // Replaces bytes that are not UTF-8; the default error handler would throw.
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

json toJson(const task_id &id)
{
    return {{"job", toString(id.job)}, {"replica", id.replica}, {"attempt", id.attempt}};
}

task_id parseTaskId(object_reader &reader)
{
    task_id id;
    constexpr std::size_t maxJobBytes = 127;
    const std::string text = reader.text("job", maxJobBytes);
    if (const auto job = parseJobId(text))
        id.job = *job;
    else if (!text.empty())
        reader.addFinding("job", "must be team/name");
    id.replica = reader.smallNumber("replica");
    id.attempt = reader.smallNumber("attempt");
    return id;
}

task_id parseNestedTaskId(object_reader &reader)
{
    object_reader nested = reader.nested("task");
    return parseTaskId(nested);
}

json toJson(const checkpoint &c)
{
    return {{"number", c.number}, {"reference", c.reference}};
}

checkpoint parseCheckpoint(object_reader &reader)
{
    checkpoint c;
    if (reader.field("checkpoint", false) == nullptr)
        return c;
    object_reader nested = reader.nested("checkpoint");
    c.number = nested.number("number");
    c.reference = nested.text("reference", maxReferenceBytes);
    return c;
}

json toJson(const start_command &start)
{
    return {{"task", toJson(start.task)},
            {"cores", double(start.size.milliCores) / 1000},
            {"memory_mb", start.size.memoryMb},
            {"accelerators", start.size.accelerators},
            {"run_ms", start.runMs},
            {"checkpoint", toJson(start.from)},
            {"payload", start.payload}};
}

start_command parseStart(object_reader &reader)
{
    start_command start;
    start.task = parseNestedTaskId(reader);
    start.size.milliCores = reader.thousandths("cores");
    start.size.memoryMb = reader.number("memory_mb");
    start.size.accelerators = reader.number("accelerators");
    start.runMs = reader.number("run_ms", false);
    start.from = parseCheckpoint(reader);
    start.payload = reader.text("payload", maxPayloadBytes, false);
    return start;
}

throttle_command parseThrottle(object_reader &reader)
{
    throttle_command throttle;
    throttle.task = parseNestedTaskId(reader);
    throttle.permille = reader.smallNumber("permille");
    if (throttle.permille > 1000)
        reader.addFinding("permille", "must not exceed 1000");
    return throttle;
}

json toJson(const task_report &report)
{
    json value = {{"task", toJson(report.task)},
                  {"state", toString(report.state)},
                  {"checkpoint", toJson(report.lastCheckpoint)},
                  {"result", report.result}};
    if (report.usage) {
        value["usage"] = {{"cores", double(report.usage->milliCores) / 1000},
                          {"memory_mb", report.usage->memoryMb},
                          {"slowdown_permille", report.usage->slowdownPermille},
                          {"age_ms", report.usage->ageMs}};
    }
    return value;
}

task_report parseTaskReport(object_reader &reader)
{
    task_report report;
    constexpr std::size_t maxWordBytes = 32;
    report.task = parseNestedTaskId(reader);
    const std::string word = reader.text("state", maxWordBytes);
    if (const auto state = parseReportedState(word))
        report.state = *state;
    else
        reader.addFinding("state", "must be running, done, failed or stopped");
    report.lastCheckpoint = parseCheckpoint(reader);
    report.result = reader.text("result", maxReferenceBytes, false);
    if (reader.field("usage", false) != nullptr) {
        object_reader nested = reader.nested("usage");
        task_usage usage;
        usage.milliCores = nested.thousandths("cores");
        usage.memoryMb = nested.number("memory_mb");
        usage.slowdownPermille = nested.smallNumber("slowdown_permille");
        usage.ageMs = nested.number("age_ms");
        report.usage = usage;
    }
    return report;
}

template <class element>
json toJsonList(const std::vector<element> &elements)
{
    json list = json::array();
    for (const element &e : elements)
        list.push_back(toJson(e));
    return list;
}

/// Parses \p body and converts it with \p read. Returns the value, or all findings if there
/// are any.
template <class value>
tl::expected<value, findings> parseWith(std::string_view body,
                                        const std::function<value(object_reader &)> &read)
{
    const auto parsed = parseBody(body);
    if (!parsed)
        return tl::unexpected(parsed.error());
    findings found;
    object_reader reader(*parsed, "", found);
    value result = read(reader);
    if (!found.empty())
        return tl::unexpected(std::move(found));
    return result;
}

} // namespace

std::string encodeSyncRequest(const sync_request &request)
{
    json throttles = json::array();
    for (const throttle_command &t : request.throttle)
        throttles.push_back({{"task", toJson(t.task)}, {"permille", t.permille}});
    return dump({{"shard", toString(request.shard)},
                 {"epoch", request.epoch},
                 {"sequence", request.sequence},
                 {"basis", request.basis},
                 {"lease_ms", request.leaseMs},
                 {"start", toJsonList(request.start)},
                 {"stop", toJsonList(request.stop)},
                 {"checkpoint", toJsonList(request.checkpoint)},
                 {"throttle", std::move(throttles)},
                 {"forget", toJsonList(request.forget)}});
}

tl::expected<sync_request, findings> parseSyncRequest(std::string_view body)
{
    return parseWith<sync_request>(body, [](object_reader &reader) {
        sync_request request;
        constexpr std::size_t maxShardBytes = 80;
        const std::string shard = reader.text("shard", maxShardBytes);
        const auto slash = shard.rfind('/');
        const std::string index = slash == std::string::npos ? "" : shard.substr(slash + 1);
        const bool isNumber = !index.empty() && index.size() <= 6
            && index.find_first_not_of("0123456789") == std::string::npos;
        if (isNumber && isValidName(shard.substr(0, slash)))
            request.shard = {data_centre_id{shard.substr(0, slash)}, std::stoi(index)};
        else if (!shard.empty())
            reader.addFinding("shard", "must be data centre/index");
        request.epoch = reader.number("epoch");
        request.sequence = reader.number("sequence");
        request.basis = reader.number("basis");
        request.leaseMs = reader.number("lease_ms");
        request.start = reader.list<start_command>("start", parseStart);
        request.stop = reader.list<task_id>("stop", parseTaskId);
        request.checkpoint = reader.list<task_id>("checkpoint", parseTaskId);
        request.throttle = reader.list<throttle_command>("throttle", parseThrottle);
        request.forget = reader.list<task_id>("forget", parseTaskId);
        return request;
    });
}

std::string encodeSyncReport(const sync_report &report)
{
    return dump({{"worker", report.worker.value},
                 {"incarnation", report.incarnationNumber},
                 {"epoch", report.epoch},
                 {"sequence", report.sequence},
                 {"tasks", toJsonList(report.tasks)}});
}

tl::expected<sync_report, findings> parseSyncReport(std::string_view body)
{
    return parseWith<sync_report>(body, [](object_reader &reader) {
        sync_report report;
        constexpr std::size_t maxNameBytes = 63;
        report.worker.value = reader.text("worker", maxNameBytes);
        if (!isValidName(report.worker.value))
            reader.addFinding("worker", "is not a valid name");
        report.incarnationNumber = reader.number("incarnation");
        report.epoch = reader.number("epoch");
        report.sequence = reader.number("sequence");
        report.tasks = reader.list<task_report>("tasks", parseTaskReport);
        return report;
    });
}

std::string encodeStaleEpoch(std::int64_t epoch)
{
    return dump({{"epoch", epoch}});
}

tl::expected<std::int64_t, findings> parseStaleEpoch(std::string_view body)
{
    return parseWith<std::int64_t>(body,
                                   [](object_reader &reader) { return reader.number("epoch"); });
}

} // namespace crocuswind
