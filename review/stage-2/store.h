/// Defines a stand-in for the platform's store, as PROTOCOL.md describes it.
#ifndef CROCUSWIND_REVIEW_STAGE_2_STORE_H
#define CROCUSWIND_REVIEW_STAGE_2_STORE_H

#include "http.h"

#include <condition_variable>
#include <nlohmann/json.hpp>
#include <vector>

namespace review {

using nlohmann::json;

/// Returns the bytes as base64 text with padding.
inline std::string toBase64(const std::string &bytes)
{
    static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t k = 0; k < 3; ++k)
            group = group << 8
                | (i + k < bytes.size() ? std::uint32_t(std::uint8_t(bytes[i + k])) : 0);
        for (std::size_t k = 0; k < 4; ++k)
            text += i + k <= bytes.size() ? digits[group >> (18 - 6 * k) & 63] : '=';
    }
    return text;
}

/// Items, leases and watches with one revision counter.
class kv_store
{
public:
    kv_store()
        : m_server([this](const http_request &request) { return handle(request); })
    { }

    int port() const { return m_server.port(); }

    /// Writes an item of the operator or of a runner.
    void put(const std::string &key, const json &value)
    {
        const std::lock_guard lock(m_mutex);
        set(++m_revision, key, toBase64(value.dump()), 0);
        m_changed.notify_all();
    }

private:
    struct lease_state
    {
        steady::time_point end;
        std::int64_t ttlMs = 0;
    };

    std::optional<http_response> handle(const http_request &request)
    {
        constexpr auto answerTime = 4ms;
        std::this_thread::sleep_for(answerTime);
        const std::size_t mark = request.path.find('?');
        const std::string path = request.path.substr(0, mark);
        const auto query
            = parseQuery(mark == std::string::npos ? "" : request.path.substr(mark + 1));
        std::unique_lock lock(m_mutex);
        expireLeases();
        if (path == "/kv-key")
            return readKey(query.at("key"));
        if (path == "/kv-range")
            return readRange(query);
        if (path == "/kv-watch")
            return watch(query, lock);
        if (path == "/kv-txn")
            return write(json::parse(request.body));
        if (path == "/kv-lease")
            return grant(json::parse(request.body).at("ttlMs"));
        if (path.rfind("/kv-keep/", 0) == 0)
            return renew(std::stoll(path.substr(9)));
        if (path.rfind("/kv-lease-end/", 0) == 0) {
            endLease(std::stoll(path.substr(14)));
            return http_response{};
        }
        return http_response{404, "{}"};
    }

    static std::map<std::string, std::string> parseQuery(const std::string &text)
    {
        std::map<std::string, std::string> query;
        for (std::size_t begin = 0; begin < text.size();) {
            const std::size_t end = std::min(text.find('&', begin), text.size());
            const std::string part = text.substr(begin, end - begin);
            const std::size_t equals = part.find('=');
            query[part.substr(0, equals)]
                = equals == std::string::npos ? "" : part.substr(equals + 1);
            begin = end + 1;
        }
        return query;
    }

    http_response readKey(const std::string &key) const
    {
        const auto found = m_items.find(key);
        if (found == m_items.end())
            return {404, "{}"};
        json item = found->second;
        item["currentRev"] = m_revision;
        return {200, item.dump()};
    }

    http_response readRange(const std::map<std::string, std::string> &query) const
    {
        constexpr std::size_t pageSize = 500;
        const std::string &prefix = query.at("prefix");
        const auto after = query.find("after");
        json items = json::array();
        bool hasMore = false;
        for (const auto &[key, item] : m_items) {
            if (key.rfind(prefix, 0) != 0 || (after != query.end() && key <= after->second))
                continue;
            hasMore = items.size() == pageSize;
            if (hasMore)
                break;
            items.push_back(item);
        }
        return {200,
                json{{"items", items}, {"hasMore", hasMore}, {"currentRev", m_revision}}.dump()};
    }

    http_response watch(const std::map<std::string, std::string> &query,
                        std::unique_lock<std::mutex> &lock)
    {
        const std::string &prefix = query.at("prefix");
        const std::int64_t after = std::stoll(query.at("after"));
        const auto end = steady::now() + std::chrono::milliseconds(std::stoll(query.at("waitMs")));
        while (true) {
            expireLeases();
            json events = json::array();
            for (auto i = m_history.upper_bound(after); i != m_history.end(); ++i) {
                if (i->second.at("key").get<std::string>().rfind(prefix, 0) == 0)
                    events.push_back(i->second);
            }
            if (!events.empty() || steady::now() >= end)
                return {200, json{{"events", events}, {"currentRev", m_revision}}.dump()};
            m_changed.wait_until(lock, std::min(end, steady::now() + 50ms));
        }
    }

    http_response write(const json &body)
    {
        bool holds = true;
        json items = json::array();
        for (const json &expected : body.at("expectedRev")) {
            const auto found = m_items.find(expected.at("key").get<std::string>());
            const std::int64_t present
                = found == m_items.end() ? 0 : found->second.at("revision").get<std::int64_t>();
            holds = holds && present == expected.at("revision").get<std::int64_t>();
            if (found != m_items.end())
                items.push_back(found->second);
        }
        if (!holds)
            return {412, json{{"items", items}, {"currentRev", m_revision}}.dump()};
        for (const json &entry : body.at("setKeys")) {
            const std::int64_t lease = entry.value("lease", std::int64_t(0));
            if (lease != 0 && m_leases.count(lease) == 0)
                return {404, "{}"};
        }
        ++m_revision;
        for (const json &entry : body.at("setKeys"))
            set(m_revision, entry.at("key"), entry.at("value"),
                entry.value("lease", std::int64_t(0)));
        for (const json &key : body.at("remove"))
            remove(m_revision, key);
        m_changed.notify_all();
        return {200, json{{"revision", m_revision}}.dump()};
    }

    http_response grant(std::int64_t ttlMs)
    {
        const std::int64_t lease = ++m_lastLease;
        m_leases[lease] = {steady::now() + std::chrono::milliseconds(ttlMs), ttlMs};
        return {200, json{{"lease", lease}, {"ttlMs", ttlMs}}.dump()};
    }

    http_response renew(std::int64_t lease)
    {
        const auto found = m_leases.find(lease);
        if (found == m_leases.end())
            return {404, "{}"};
        found->second.end = steady::now() + std::chrono::milliseconds(found->second.ttlMs);
        return {200, json{{"ttlMs", found->second.ttlMs}}.dump()};
    }

    void expireLeases()
    {
        std::vector<std::int64_t> expired;
        for (const auto &[lease, state] : m_leases) {
            if (state.end < steady::now())
                expired.push_back(lease);
        }
        for (const std::int64_t lease : expired)
            endLease(lease);
    }

    void endLease(std::int64_t lease)
    {
        m_leases.erase(lease);
        std::vector<std::string> keys;
        for (const auto &[key, item] : m_items) {
            if (item.at("lease") == lease)
                keys.push_back(key);
        }
        for (const std::string &key : keys)
            remove(++m_revision, key);
        m_changed.notify_all();
    }

    void set(std::int64_t revision, const std::string &key, const std::string &value,
             std::int64_t lease)
    {
        const auto found = m_items.find(key);
        const std::int64_t created = found == m_items.end()
            ? revision
            : found->second.at("createdRev").get<std::int64_t>();
        const json item = {{"key", key},
                           {"value", value},
                           {"revision", revision},
                           {"createdRev", created},
                           {"lease", lease}};
        m_items[key] = item;
        m_history.emplace(revision, item);
    }

    void remove(std::int64_t revision, const std::string &key)
    {
        if (m_items.erase(key) != 0)
            m_history.emplace(revision,
                              json{{"key", key}, {"revision", revision}, {"tombstone", true}});
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, json> m_items;
    std::multimap<std::int64_t, json> m_history;
    std::map<std::int64_t, lease_state> m_leases;
    std::int64_t m_revision = 100;
    std::int64_t m_lastLease = 1000;
    http_server m_server; ///< The last member, because its threads use the others.
};

} // namespace review

#endif
