#include "segment_codec.h"

#include <nlohmann/json.hpp>

namespace crocuswind {

namespace {

using nlohmann::json;

/// Readers reject later versions, so that a downgraded host does not drop fields that it does not
/// know.
constexpr std::int64_t formatVersion = 1;

json::binary_t binary(const std::string &text)
{
    // Payloads, references and results are opaque bytes, and CBOR text would have to be UTF-8.
    return json::binary_t(std::vector<std::uint8_t>(text.begin(), text.end()));
}

json encodeTask(const task_record &task)
{
    json value = {{"s", int(task.state)}, {"a", task.attempt}};
    if (!task.worker.empty())
        value["w"] = task.worker.value;
    if (task.lastCheckpoint.number != 0) {
        value["cn"] = task.lastCheckpoint.number;
        value["cr"] = binary(task.lastCheckpoint.reference);
    }
    if (task.failures != 0)
        value["f"] = task.failures;
    if (!task.result.empty())
        value["r"] = binary(task.result);
    return value;
}

json encodeJob(const job_record &job)
{
    json tasks = json::array();
    for (const task_record &task : job.tasks)
        tasks.push_back(encodeTask(task));
    return {{"team", job.spec.id.team.value},
            {"name", job.spec.id.name},
            {"kind", int(job.spec.kind)},
            {"urgency", int(job.spec.urgency)},
            {"cores", job.spec.size.milliCores},
            {"memory", job.spec.size.memoryMb},
            {"accelerators", job.spec.size.accelerators},
            {"run", job.spec.runMs},
            {"replicas", job.spec.replicas},
            {"payload", binary(job.spec.payload)},
            {"cancelled", job.isCancelled},
            {"number", job.number},
            {"tasks", std::move(tasks)}};
}

/// Reads fields of a decoded map. A number, enumerator or string of the wrong type marks the whole
/// value as damaged.
class field_reader
{
public:
    field_reader(const json &map, bool &isDamaged)
        : m_map(map)
        , m_isDamaged(isDamaged)
    {
        m_isDamaged = m_isDamaged || !map.is_object();
    }

    std::int64_t number(const char *name, std::int64_t high = INT64_MAX)
    {
        const json *value = field(name);
        if (value == nullptr)
            return 0;
        const bool isValid
            = value->is_number_unsigned() && value->get<std::uint64_t>() <= std::uint64_t(high);
        m_isDamaged = m_isDamaged || !isValid;
        return isValid ? value->get<std::int64_t>() : 0;
    }

    int smallNumber(const char *name) { return int(number(name, INT32_MAX)); }

    template <class enumeration>
    enumeration word(const char *name, enumeration last)
    {
        return enumeration(number(name, std::int64_t(last)));
    }

    std::string text(const char *name)
    {
        const json *value = field(name);
        if (value == nullptr)
            return std::string();
        if (value->is_string())
            return value->get<std::string>();
        if (value->is_binary()) {
            const json::binary_t &bytes = value->get_binary();
            return std::string(bytes.begin(), bytes.end());
        }
        m_isDamaged = true;
        return std::string();
    }

    bool flag(const char *name)
    {
        const json *value = field(name);
        return value != nullptr && value->is_boolean() && value->get<bool>();
    }

    const json *field(const char *name)
    {
        if (!m_map.is_object())
            return nullptr;
        const auto at = m_map.find(name);
        return at == m_map.end() ? nullptr : &*at;
    }

private:
    const json &m_map;
    bool &m_isDamaged;
};

task_record decodeTask(const json &value, bool &isDamaged)
{
    field_reader reader(value, isDamaged);
    task_record task;
    task.state = reader.word("s", task_state::cancelled);
    task.attempt = reader.smallNumber("a");
    task.worker.value = reader.text("w");
    task.lastCheckpoint = {reader.number("cn"), reader.text("cr")};
    task.failures = reader.smallNumber("f");
    task.result = reader.text("r");
    return task;
}

job_record decodeJob(const json &value, bool &isDamaged)
{
    field_reader reader(value, isDamaged);
    job_record job;
    job.spec.id = {team_id{reader.text("team")}, reader.text("name")};
    job.spec.kind = reader.word("kind", job_kind::service);
    job.spec.urgency = reader.word("urgency", job_urgency::high);
    job.spec.size
        = {reader.number("cores"), reader.number("memory"), reader.number("accelerators")};
    job.spec.runMs = reader.number("run");
    job.spec.replicas = reader.smallNumber("replicas");
    job.spec.payload = reader.text("payload");
    job.isCancelled = reader.flag("cancelled");
    job.number = reader.number("number");
    const json *tasks = reader.field("tasks");
    if (tasks == nullptr || !tasks->is_array() || tasks->size() != std::size_t(job.spec.replicas))
        isDamaged = true;
    else
        for (const json &task : *tasks)
            job.tasks.push_back(decodeTask(task, isDamaged));
    isDamaged = isDamaged || !checkJobSpec(job.spec, "").empty();
    return job;
}

std::string toBytes(const json &value)
{
    std::string bytes;
    json::to_cbor(value, nlohmann::detail::output_adapter<char>(bytes));
    return bytes;
}

/// Decodes a map and checks its version.
tl::expected<json, std::string> decodeMap(std::string_view value)
{
    json map = json::from_cbor(value.begin(), value.end(), true, false);
    if (!map.is_object())
        return tl::unexpected(std::string("the value is damaged"));
    bool isDamaged = false;
    const std::int64_t version = field_reader(map, isDamaged).number("version");
    if (isDamaged || version == 0)
        return tl::unexpected(std::string("the value has no version"));
    if (version > formatVersion)
        return tl::unexpected(std::string("the value has a later version than this program knows"));
    return map;
}

} // namespace

std::string encodeSegment(const std::vector<const job_record *> &jobs)
{
    json list = json::array();
    for (const job_record *job : jobs)
        list.push_back(encodeJob(*job));
    return toBytes({{"version", formatVersion}, {"jobs", std::move(list)}});
}

tl::expected<std::vector<job_record>, std::string> decodeSegment(std::string_view value)
{
    const auto map = decodeMap(value);
    if (!map)
        return tl::unexpected(map.error());
    bool isDamaged = false;
    std::vector<job_record> jobs;
    const json *list = field_reader(*map, isDamaged).field("jobs");
    if (list == nullptr || !list->is_array())
        return tl::unexpected(std::string("the value has no jobs"));
    for (const json &job : *list)
        jobs.push_back(decodeJob(job, isDamaged));
    if (isDamaged)
        return tl::unexpected(std::string("a job record is damaged"));
    return jobs;
}

std::string encodeCommitRecord(const commit_record &record)
{
    return toBytes({{"version", formatVersion},
                    {"epoch", record.epoch},
                    {"sequence", record.sequence},
                    {"writer", record.writer},
                    {"bytes", record.segmentBytes}});
}

tl::expected<commit_record, std::string> decodeCommitRecord(std::string_view value)
{
    const auto map = decodeMap(value);
    if (!map)
        return tl::unexpected(map.error());
    bool isDamaged = false;
    field_reader reader(*map, isDamaged);
    const commit_record record{reader.number("epoch"), reader.number("sequence"),
                               reader.text("writer"), reader.number("bytes")};
    if (isDamaged)
        return tl::unexpected(std::string("the commit record is damaged"));
    return record;
}

} // namespace crocuswind
