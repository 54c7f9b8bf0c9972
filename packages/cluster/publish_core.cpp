#include "publish_core.h"

#include <algorithm>
#include <fmt/format.h>

namespace crocuswind {

namespace {

constexpr duration callTimeout = 2s;
constexpr duration retryPause = 500ms;

/// Slack after a deadline before a missing answer of the adapter is treated as lost.
constexpr duration answerSlack = 1s;

std::optional<store_entry> entryOf(const store_reply &reply, const std::string &key)
{
    for (const store_entry &e : reply.entries) {
        if (e.key == key)
            return e;
    }
    return std::nullopt;
}

std::string joined(const std::vector<std::string> &names)
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
    if (m_phase != phase::done && m_call != 0 && m_now >= m_callDeadline + answerSlack)
        onUnanswered(store_error::no_answer);
    if (m_phase != phase::done && m_call == 0) {
        if (m_now >= m_request.deadline) {
            if (m_mayBeWritten) {
                finish(publish_verdict::unknown,
                       "the store did not answer; the publication may take effect, repeat it with "
                       "the same identifier "
                           + m_request.publication);
            } else {
                finish(publish_verdict::not_published, "the store was not reached in time");
            }
        } else if (!m_retryAt || m_now >= *m_retryAt) {
            m_retryAt.reset();
            if (m_phase == phase::read_base)
                call(store_range{configCurrentKey, false});
            else if (m_phase == phase::read_own)
                call(store_range{configHistoryKey(*m_request.expectedBase + 1), false});
            else if (m_phase == phase::read_old)
                call(store_range{configHistoryKey(*m_request.rollbackTo), false});
            else
                write();
        }
    }
    if (m_phase != phase::done) {
        instant next = m_call != 0 ? m_callDeadline + answerSlack : m_request.deadline;
        if (m_call == 0 && m_retryAt)
            next = std::min(next, *m_retryAt);
        m_actions.push_back(cluster_wake_at{next});
    }
    return std::move(m_actions);
}

void publish_core::on(const cluster_tick &) { }

void publish_core::on(const cluster_store_answer &e)
{
    if (e.token != m_call || m_call == 0)
        return;
    if (!e.result) {
        onUnanswered(e.result.error());
        return;
    }
    m_call = 0;
    if (m_phase == phase::read_base)
        onBase(*e.result);
    else if (m_phase == phase::read_own)
        onOwn(*e.result);
    else if (m_phase == phase::read_old)
        onOld(*e.result);
    else
        onWritten(*e.result);
}

void publish_core::call(store_operation operation)
{
    m_call = ++m_lastToken;
    m_callDeadline = std::min(m_now + callTimeout, m_request.deadline);
    m_actions.push_back(cluster_store_call{m_call, std::move(operation), m_callDeadline});
}

void publish_core::onUnanswered(store_error error)
{
    m_call = 0;
    if (m_phase == phase::write && error == store_error::no_answer)
        m_mayBeWritten = true;
    m_retryAt = m_now + retryPause;
}

void publish_core::onBase(const store_reply &reply)
{
    if (const auto entry = entryOf(reply, configCurrentKey)) {
        auto base = decodeConfig(entry->value);
        if (!base) {
            finish(publish_verdict::refused,
                   "the present configuration cannot be read: " + base.error());
            return;
        }
        m_base = std::move(*base);
        m_baseModRevision = entry->modRevision;
    }
    if (m_base.publication == m_request.publication) {
        // An earlier run of the same publication took effect and its answer was lost.
        m_next = m_base;
        finishPublished();
        return;
    }
    if (m_request.expectedBase && *m_request.expectedBase != m_base.revision) {
        // A run that is repeated after a lost answer may find its set overwritten by a later one.
        if (m_base.revision > *m_request.expectedBase)
            m_phase = phase::read_own;
        else
            finishConflict(m_base);
        return;
    }
    m_next.revision = m_base.revision + 1;
    m_next.publication = m_request.publication;
    m_next.author = m_request.author;
    m_next.timeMs = m_request.timeMs;
    m_next.files = m_request.files;
    m_phase = m_request.rollbackTo ? phase::read_old : phase::write;
}

void publish_core::onOwn(const store_reply &reply)
{
    const std::int64_t revision = *m_request.expectedBase + 1;
    const auto entry = entryOf(reply, configHistoryKey(revision));
    if (entry && isOwn(*entry)) {
        m_next.revision = revision;
        finishPublished();
    } else {
        finishConflict(m_base);
    }
}

bool publish_core::isOwn(const store_entry &entry) const
{
    const auto written = decodeConfig(entry.value);
    return written && written->publication == m_request.publication;
}

void publish_core::onOld(const store_reply &reply)
{
    const std::int64_t wanted = *m_request.rollbackTo;
    const auto entry = entryOf(reply, configHistoryKey(wanted));
    if (!entry) {
        finish(publish_verdict::refused,
               fmt::format("revision {} is not in the history, which keeps the last {}", wanted,
                           configHistoryLength));
        return;
    }
    auto old = decodeConfig(entry->value);
    if (!old) {
        finish(publish_verdict::refused,
               fmt::format("revision {} cannot be read: {}", wanted, old.error()));
        return;
    }
    m_next.files = std::move(old->files);
    m_phase = phase::write;
}

void publish_core::write()
{
    const std::string encoded = encodeConfig(m_next);
    // What no entry host could read must not become current.
    const auto readBack = decodeConfig(encoded);
    if (!readBack) {
        finish(publish_verdict::refused, readBack.error());
        return;
    }
    const std::string history = configHistoryKey(m_next.revision);
    store_transaction write;
    // The modification revision, 0 for a missing key, is different after any other write.
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
    // An earlier transaction of ours may have taken effect without an answer, and another operator
    // may have published on top of it; the history entry shows it in both cases.
    const auto history = entryOf(reply, configHistoryKey(m_next.revision));
    if (reply.succeeded || (history && isOwn(*history))) {
        finishPublished();
        return;
    }
    config_set present;
    if (const auto entry = entryOf(reply, configCurrentKey)) {
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
    // If the base was never read there is only the new set to compare with.
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
        isBaseRead ? "files changed since then" : "it differs from the new set in",
        end.changed.empty() ? "none" : joined(end.changed));
    end.other = std::move(present);
    m_actions.push_back(std::move(end));
}

} // namespace crocuswind
