/// Defines the state machine that publishes a configuration for an operator.
#ifndef CROCUSWIND_CLUSTER_PUBLISH_CORE_H
#define CROCUSWIND_CLUSTER_PUBLISH_CORE_H

#include "cluster_types.h"
#include "config_set.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace crocuswind {

/// What is to be published.
struct publish_request
{
    std::string publication; ///< Random identifier of this attempt. It recognises a lost answer.
    std::string author;
    std::int64_t timeMs = 0; ///< Milliseconds since the Unix epoch.
    std::optional<std::int64_t> expectedBase; ///< Revision that the change builds on, if known.
    std::vector<config_file> files; ///< Ignored for a rollback.
    std::optional<std::int64_t> rollbackTo; ///< Publish the files of this earlier revision.
    instant deadline; ///< When to give up.
};

/// How a publication ended.
enum class publish_verdict {
    published, ///< The set is written with revision `revision`.
    conflict, ///< Another publication came first. Nothing was written.
    refused, ///< The request cannot be carried out (too large, no such revision). Nothing written.
    not_published, ///< The store was not reached in time. Nothing was written.
    unknown, ///< No answer in time; the write may take effect. Repeat with the same identifier.
};

/// Action: the publication has ended. Nothing follows.
struct publish_finished
{
    publish_verdict verdict = publish_verdict::unknown;
    std::int64_t revision = 0; ///< The revision written, for `published`.
    std::optional<config_set> other; ///< For `conflict`: what the store holds instead.
    std::vector<std::string> changed; ///< For `conflict`: files in which it differs from our base.
    std::string message; ///< A sentence for the operator.
};

/// Publishes one configuration: reads the current one, checks the base, and writes revision n+1 and
/// its history entry in one transaction that holds only while revision n is current. An unanswered
/// transaction is sent again, which cannot write twice, and its history entry tells whether an
/// earlier one took effect, even if another operator has published since.
class publish_core
{
public:
    struct event
    {
        instant now;
        std::variant<cluster_tick, cluster_store_answer> what;
    };
    using action = std::variant<cluster_store_call, publish_finished, cluster_wake_at>;

    explicit publish_core(publish_request request);

    /// Handles one event and returns what is to be done, in order.
    std::vector<action> handle(const event &e);

private:
    enum class phase { read_base, read_own, read_old, write, done };

    void on(const cluster_tick &);
    void on(const cluster_store_answer &e);
    void call(store_operation operation);
    void onUnanswered(store_error error);
    void onBase(const store_reply &reply);
    void onOwn(const store_reply &reply);
    bool isOwn(const store_entry &entry) const;
    void onOld(const store_reply &reply);
    void onWritten(const store_reply &reply);
    void write();
    void finish(publish_verdict verdict, std::string message);
    void finishPublished();
    void finishConflict(config_set present);

    publish_request m_request;
    instant m_now;
    std::vector<action> m_actions;
    phase m_phase = phase::read_base;
    std::int64_t m_lastToken = 0;
    std::int64_t m_call = 0; ///< Token of the call in flight, or 0.
    instant m_callDeadline;
    std::optional<instant> m_retryAt;
    bool m_mayBeWritten = false; ///< A transaction was sent whose answer was lost.
    config_set m_base; ///< Revision 0 if the store holds no configuration.
    std::int64_t m_baseModRevision = 0;
    config_set m_next;
};

} // namespace crocuswind

#endif
