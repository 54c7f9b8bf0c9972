#include "workload_section.h"

#include <cmath>
#include <fmt/format.h>

namespace crocuswind {

namespace {

/// Returns the name of a TOML type for findings.
std::string typeName(const toml::node &node)
{
    switch (node.type()) {
    case toml::node_type::table:
        return "a table";
    case toml::node_type::array:
        return "an array";
    case toml::node_type::string:
        return "a text";
    case toml::node_type::integer:
        return "a whole number";
    case toml::node_type::floating_point:
        return "a number with a fraction";
    case toml::node_type::boolean:
        return "a truth value";
    default:
        return "a date or time";
    }
}

} // namespace

source_place workloadPlace(const std::string &file, const toml::source_region &region)
{
    return source_place{file, int(region.begin.line), int(region.begin.column)};
}

workload_section::workload_section(const toml::table &table, std::string file, std::string title,
                                   findings &found)
    : m_table(table)
    , m_file(std::move(file))
    , m_title(std::move(title))
    , m_found(found)
    , m_foundBefore(found.size())
{ }

source_place workload_section::place() const
{
    return workloadPlace(m_file, m_table.source());
}

void workload_section::report(const std::string &key, const std::string &message)
{
    const toml::node *node = m_table.get(key);
    m_found.push_back({node ? workloadPlace(m_file, node->source()) : place(),
                       fmt::format("[{}]: {}", m_title, message)});
}

const toml::node *workload_section::find(const std::string &key, bool required)
{
    m_known.push_back(key);
    const toml::node *node = m_table.get(key);
    if (!node && required)
        report(key, fmt::format("'{}' is missing", key));
    return node;
}

std::string workload_section::name(const std::string &key)
{
    const toml::node *node = find(key, true);
    if (!node)
        return {};
    const auto text = node->value_exact<std::string>();
    if (!text) {
        report(key, fmt::format("'{}' must be a text, not {}", key, typeName(*node)));
        return {};
    }
    if (!isValidName(*text)) {
        report(key,
               fmt::format("'{}' must be a name of 1 to 63 characters from a-z, 0-9, '-' and '.'",
                           key));
        return {};
    }
    return *text;
}

std::int64_t workload_section::number(const std::string &key, workload_bounds bounds,
                                      std::optional<std::int64_t> defaultValue)
{
    const toml::node *node = find(key, !defaultValue);
    if (!node)
        return defaultValue.value_or(0);
    const auto value = node->value_exact<std::int64_t>();
    if (!value) {
        report(key, fmt::format("'{}' must be a whole number, not {}", key, typeName(*node)));
        return 0;
    }
    if (*value < bounds.lowest || *value > bounds.highest) {
        report(key,
               fmt::format("'{}' is {} and must be from {} to {}", key, *value, bounds.lowest,
                           bounds.highest));
        return 0;
    }
    return *value;
}

std::int64_t workload_section::thousandths(const std::string &key, workload_bounds bounds)
{
    const toml::node *node = find(key, true);
    if (!node)
        return 0;
    if (!node->is_number()) {
        report(key, fmt::format("'{}' must be a number, not {}", key, typeName(*node)));
        return 0;
    }
    const double value = node->value<double>().value_or(0);
    // NaN fails both comparisons, so the negated form refuses it as well.
    if (!(value * 1000 >= double(bounds.lowest) && value * 1000 <= double(bounds.highest))) {
        report(key,
               fmt::format("'{}' is {} and must be from {} to {}", key, value,
                           double(bounds.lowest) / 1000, double(bounds.highest) / 1000));
        return 0;
    }
    return std::llround(value * 1000);
}

bool workload_section::flag(const std::string &key, bool defaultValue)
{
    const toml::node *node = find(key, false);
    if (!node)
        return defaultValue;
    const auto value = node->value_exact<bool>();
    if (!value)
        report(key, fmt::format("'{}' must be true or false, not {}", key, typeName(*node)));
    return value.value_or(defaultValue);
}

std::size_t workload_section::choice(const std::string &key, const std::vector<std::string> &words,
                                     std::optional<std::size_t> defaultValue)
{
    const toml::node *node = find(key, !defaultValue);
    if (!node)
        return defaultValue.value_or(words.size());
    const std::string text = node->value_exact<std::string>().value_or("");
    for (std::size_t i = 0; i < words.size(); ++i) {
        if (words[i] == text)
            return i;
    }
    report(key, fmt::format("'{}' must be one of \"{}\"", key, fmt::join(words, "\", \"")));
    return words.size();
}

bool workload_section::reportUnknownKeys()
{
    for (const auto &[key, node] : m_table) {
        const std::string word(key.str());
        if (std::find(m_known.begin(), m_known.end(), word) != m_known.end())
            continue;
        const std::string nearest = nearestWord(word, m_known);
        m_found.push_back(
            {workloadPlace(m_file, key.source()),
             fmt::format("[{}]: unknown key '{}'{}", m_title, word,
                         nearest.empty() ? std::string()
                                         : fmt::format("; did you mean '{}'?", nearest))});
    }
    return m_found.size() == m_foundBefore;
}

} // namespace crocuswind
