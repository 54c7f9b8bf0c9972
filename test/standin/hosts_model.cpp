#include "hosts_model.h"

#include <algorithm>

namespace crocuswind::standin {

std::string hosts_model::update(instant now, const std::string &body, bool isMerge)
{
    const nlohmann::json given = nlohmann::json::parse(body, nullptr, false);
    if (!given.is_object() || !given.contains("hosts") || !given["hosts"].is_array())
        return R"(the body must have the form {"hosts":[...]})";
    nlohmann::json hosts
        = isMerge && !m_versions.empty() ? m_versions.back().hosts : nlohmann::json::array();
    for (const nlohmann::json &host : given["hosts"]) {
        if (!host.is_object() || !host.contains("name") || !host["name"].is_string())
            return "each host needs a name";
        const auto same = std::find_if(hosts.begin(), hosts.end(), [&](const nlohmann::json &h) {
            return h["name"] == host["name"];
        });
        if (same == hosts.end())
            hosts.push_back(host);
        else
            *same = host;
    }
    m_versions.push_back({now, std::move(hosts)});
    return {};
}

nlohmann::json hosts_model::list(instant now)
{
    while (m_versions.size() > 1 && m_versions[1].since + m_lag <= now)
        m_versions.pop_front();
    return {{"hosts", m_versions.empty() ? nlohmann::json::array() : m_versions.front().hosts}};
}

} // namespace crocuswind::standin
