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

/// The configuration to publish and the conditions for it.
struct publish_request
{
    /// Random identifier of this publication. It tells whether a write whose answer was lost took
    /// effect.
    std::string publication;
    std::string author;
    std::int64_t timeMs = 0; ///< Milliseconds since the Unix epoch.
    std::optional<std::int64_t> expectedBase; ///< Revision on which the change is based, if known.
    std::vector<config_file> files; ///< Ignored for a rollback.
    std::optional<std::int64_t> rollbackTo; ///< Earlier revision whose files are published.
    instant deadline; ///< When to give up.
};

/// The outcome of a publication.
enum class publish_verdict {
    published, ///< The configuration was written as revision `revision`.
    conflict, ///< Another publication was written first. Nothing was written.
    refused, ///< The request is invalid (too large, no such revision). Nothing was written.
    not_published, ///< The store was not reached in time. Nothing was written.
    /// No answer in time; the write may still take effect. The operator repeats the run with the
    /// same identifier.
    unknown,
};

/// Action: the publication has completed. No further actions follow.
struct publish_finished
{
    publish_verdict verdict = publish_verdict::unknown;
    std::int64_t revision = 0; ///< The revision written, for `published`.
    std::optional<config_set> other; ///< For `conflict`: the configuration in the store.
    /// For `conflict`: files in which it differs from the base of the request, or from the
    /// requested files if the base was not read.
    std::vector<std::string> changed;
    std::string message; ///< Description of the outcome for the operator.
};

/// Publishes one configuration: reads the current one, checks the base, and writes revision n+1 and
/// its history entry in one transaction that succeeds only while revision n is current. An
/// unanswered transaction is sent again, which cannot write twice. The history entry shows whether
/// an earlier attempt took effect, even if another operator has published since.
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

    /// Handles one event and returns the resulting actions, in order.
    std::vector<action> handle(const event &e);

private:
    enum class phase { read_base, read_earlier_attempt, read_rollback_source, write, done };

    void on(const cluster_tick &);
    void on(const cluster_store_answer &e);
    void call(store_operation operation);
    void onUnanswered(store_error error);
    void onBase(const store_reply &reply);
    void onEarlierAttempt(const store_reply &reply);
    bool isOwnPublication(const store_entry &entry) const;
    void onRollbackSource(const store_reply &reply);
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
    std::int64_t m_callToken = 0; ///< Token of the call in flight, or 0.
    instant m_callDeadline;
    std::optional<instant> m_retryAt;
    /// The answer to a transaction was lost, so it may have taken effect.
    bool m_mayBeWritten = false;
    config_set m_base; ///< Revision 0 if the store holds no configuration.
    std::int64_t m_baseModRevision = 0;
    config_set m_next;
};

} // namespace crocuswind

#endif
