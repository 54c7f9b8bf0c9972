#include "publish_core.h"

#include <algorithm>
#include <fmt/format.h>

namespace crocuswind {

namespace {

constexpr duration callTimeout = 2s;
constexpr duration retryPause = 500ms;

/// Grace period after the deadline of a call, after which a missing result from the adapter is
/// treated as lost.
constexpr duration answerSlack = 1s;

std::optional<store_entry> findEntry(const store_reply &reply, const std::string &key)
{
    for (const store_entry &e : reply.entries) {
        if (e.key == key)
            return e;
    }
    return std::nullopt;
}

std::string joinNames(const std::vector<std::string> &names)
{
    constexpr std::size_t maxShown = 10;
    std::string text;
    for (std::size_t i = 0; i < std::min(names.size(), maxShown); ++i)
        text += (i == 0 ? "" : ", ") + names[i];
    if (names.size() > maxShown)
        text += fmt::format(" and {} more", names.size() - maxShown);
    return text;
}

} // namespace

publish_core::publish_core(publish_request request)
    : m_request(std::move(request))
{ }

std::vector<publish_core::action> publish_core::handle(const event &e)
{
    m_now = e.now;
    m_actions.clear();
    if (m_phase == phase::done)
        return {};
    std::visit([this](const auto &what) { on(what); }, e.what);
    if (m_phase != phase::done && m_callToken != 0 && m_now >= m_callDeadline + answerSlack)
        onUnanswered(store_error::no_answer);
    if (m_phase != phase::done && m_callToken == 0) {
        if (m_now >= m_request.deadline) {
            if (m_mayBeWritten) {
                finish(publish_verdict::unknown,
                       "the store did not answer; the publication may still take effect, repeat it "
                       "with "
                       "the same identifier "
                           + m_request.publication);
            } else {
                finish(publish_verdict::not_published, "the store could not be reached in time");
            }
        } else if (!m_retryAt || m_now >= *m_retryAt) {
            m_retryAt.reset();
            if (m_phase == phase::read_base)
                call(store_range{configCurrentKey, false});
            else if (m_phase == phase::read_earlier_attempt)
                call(store_range{configHistoryKey(*m_request.expectedBase + 1), false});
            else if (m_phase == phase::read_rollback_source)
                call(store_range{configHistoryKey(*m_request.rollbackTo), false});
            else
                write();
        }
    }
    if (m_phase != phase::done) {
        instant next = m_callToken != 0 ? m_callDeadline + answerSlack : m_request.deadline;
        if (m_callToken == 0 && m_retryAt)
            next = std::min(next, *m_retryAt);
        m_actions.push_back(cluster_wake_at{next});
    }
    return std::move(m_actions);
}

void publish_core::on(const cluster_tick &) { }

void publish_core::on(const cluster_store_answer &e)
{
    if (e.token != m_callToken || m_callToken == 0)
        return;
    if (!e.result) {
        onUnanswered(e.result.error());
        return;
    }
    m_callToken = 0;
    if (m_phase == phase::read_base)
        onBase(*e.result);
    else if (m_phase == phase::read_earlier_attempt)
        onEarlierAttempt(*e.result);
    else if (m_phase == phase::read_rollback_source)
        onRollbackSource(*e.result);
    else
        onWritten(*e.result);
}

void publish_core::call(store_operation operation)
{
    m_callToken = ++m_lastToken;
    m_callDeadline = std::min(m_now + callTimeout, m_request.deadline);
    m_actions.push_back(cluster_store_call{m_callToken, std::move(operation), m_callDeadline});
}

void publish_core::onUnanswered(store_error error)
{
    m_callToken = 0;
    if (m_phase == phase::write && error == store_error::no_answer)
        m_mayBeWritten = true;
    m_retryAt = m_now + retryPause;
}

void publish_core::onBase(const store_reply &reply)
{
    if (const auto entry = findEntry(reply, configCurrentKey)) {
        auto base = decodeConfig(entry->value);
        if (!base) {
            finish(publish_verdict::refused,
                   "the current configuration is invalid: " + base.error());
            return;
        }
        m_base = std::move(*base);
        m_baseModRevision = entry->modRevision;
    }
    if (m_base.publication == m_request.publication) {
        // An earlier attempt at the same publication took effect and its answer was lost.
        m_next = m_base;
        finishPublished();
        return;
    }
    if (m_request.expectedBase && *m_request.expectedBase != m_base.revision) {
        // If this run repeats one whose answer was lost, a later publication may have replaced its
        // configuration.
        if (m_base.revision > *m_request.expectedBase)
            m_phase = phase::read_earlier_attempt;
        else
            finishConflict(m_base);
        return;
    }
    m_next.revision = m_base.revision + 1;
    m_next.publication = m_request.publication;
    m_next.author = m_request.author;
    m_next.timeMs = m_request.timeMs;
    m_next.files = m_request.files;
    m_phase = m_request.rollbackTo ? phase::read_rollback_source : phase::write;
}

void publish_core::onEarlierAttempt(const store_reply &reply)
{
    const std::int64_t revision = *m_request.expectedBase + 1;
    const auto entry = findEntry(reply, configHistoryKey(revision));
    if (entry && isOwnPublication(*entry)) {
        m_next.revision = revision;
        finishPublished();
    } else {
        finishConflict(m_base);
    }
}

bool publish_core::isOwnPublication(const store_entry &entry) const
{
    const auto written = decodeConfig(entry.value);
    return written && written->publication == m_request.publication;
}

void publish_core::onRollbackSource(const store_reply &reply)
{
    const std::int64_t wanted = *m_request.rollbackTo;
    const auto entry = findEntry(reply, configHistoryKey(wanted));
    if (!entry) {
        finish(publish_verdict::refused,
               fmt::format("revision {} is not in the history, which keeps the last {}", wanted,
                           configHistoryLength));
        return;
    }
    auto old = decodeConfig(entry->value);
    if (!old) {
        finish(publish_verdict::refused,
               fmt::format("revision {} is invalid: {}", wanted, old.error()));
        return;
    }
    m_next.files = std::move(old->files);
    m_phase = phase::write;
}

void publish_core::write()
{
    const std::string encoded = encodeConfig(m_next);
    // Checks that entry hosts can decode the configuration before it becomes current.
    const auto readBack = decodeConfig(encoded);
    if (!readBack) {
        finish(publish_verdict::refused, readBack.error());
        return;
    }
    const std::string history = configHistoryKey(m_next.revision);
    store_transaction write;
    // Any other write changes the modification revision, which is 0 for a missing key.
    write.compares.push_back(
        {configCurrentKey, store_compare::property::mod_revision, m_baseModRevision, {}});
    write.puts.push_back({configCurrentKey, encoded, 0});
    write.puts.push_back({history, encoded, 0});
    if (m_next.revision > configHistoryLength)
        write.deletes.push_back({configHistoryKey(m_next.revision - configHistoryLength)});
    write.readOnFailure = {{configCurrentKey, false}, {history, false}};
    call(std::move(write));
}

void publish_core::onWritten(const store_reply &reply)
{
    // An earlier transaction of this run may have taken effect although its answer was lost, and
    // another operator may have published since. The history entry shows this in both cases.
    const auto history = findEntry(reply, configHistoryKey(m_next.revision));
    if (reply.succeeded || (history && isOwnPublication(*history))) {
        finishPublished();
        return;
    }
    config_set present;
    if (const auto entry = findEntry(reply, configCurrentKey)) {
        if (auto decoded = decodeConfig(entry->value))
            present = std::move(*decoded);
    }
    finishConflict(std::move(present));
}

void publish_core::finishPublished()
{
    finish(publish_verdict::published, fmt::format("revision {} is published", m_next.revision));
}

void publish_core::finish(publish_verdict verdict, std::string message)
{
    m_phase = phase::done;
    publish_finished end;
    end.verdict = verdict;
    end.revision = verdict == publish_verdict::published ? m_next.revision : 0;
    end.message = std::move(message);
    m_actions.push_back(std::move(end));
}

void publish_core::finishConflict(config_set present)
{
    m_phase = phase::done;
    publish_finished end;
    end.verdict = publish_verdict::conflict;
    // If the base was never read, the stored configuration is compared with the new files.
    const bool isBaseRead = m_base.revision != present.revision;
    config_set own;
    own.files = isBaseRead ? m_base.files : m_request.files;
    end.changed = changedFiles(own, present);
    end.message = fmt::format(
        "the store holds revision {} by {} (publication {}) instead of the expected revision {}; "
        "{}: {}",
        present.revision, present.author.empty() ? "nobody" : present.author,
        present.publication.empty() ? "none" : present.publication,
        m_request.expectedBase.value_or(m_base.revision),
        isBaseRead ? "files changed since then" : "files that differ from the new ones",
        end.changed.empty() ? "none" : joinNames(end.changed));
    end.other = std::move(present);
    m_actions.push_back(std::move(end));
}

} // namespace crocuswind
