/// Defines how a runner's health is judged from attempts, and when a runner counts as leaving.
#ifndef CROCUSWIND_URGENT_RUNNER_HEALTH_H
#define CROCUSWIND_URGENT_RUNNER_HEALTH_H

#include "base/base.h"

namespace crocuswind {

/// Which probes a request may serve as. A failed probe costs a repeatable request a retry, and an
/// unrepeatable one its outcome.
enum class probe_use {
    none, ///< It must not be used as a probe.
    harmless, ///< Only for runners whose attempts did not start.
    any,
};

/// Whether a runner is leaving.
class leaving_state
{
public:
    bool isLeaving() const { return m_isListedLeaving || m_hasSaidSo; }

    /// The runner's own answer said that it is leaving.
    void sayLeaving(instant now)
    {
        if (!m_hasSaidSo)
            m_saidAt = now;
        m_hasSaidSo = true;
        m_wasConfirmed = false;
    }

    /// The host list shows the runner. The list lags, so a live entry does not overrule the
    /// runner's own word, unless the list has shown it leaving or gone in between or a minute has
    /// passed.
    void list(instant now, bool isLeaving)
    {
        m_isListedLeaving = isLeaving;
        if (isLeaving)
            m_wasConfirmed = true;
        else if (m_hasSaidSo && (m_wasConfirmed || now >= m_saidAt + duration(60s)))
            m_hasSaidSo = false;
    }

    /// The host list does not show the runner.
    void unlist() { m_wasConfirmed = true; }

private:
    bool m_isListedLeaving = false;
    bool m_hasSaidSo = false;
    bool m_wasConfirmed = false;
    instant m_saidAt;
};

/// Evidence about one runner from this host's attempts.
class runner_health
{
public:
    enum class standing {
        healthy,
        ejected, ///< On evidence of failures.
        unreachable, ///< It refused a connection.
    };

    standing now() const { return m_standing; }
    bool isProbing() const { return m_isProbing; }
    /// Returns true if a request may serve as a probe although its repetition is not permitted: its
    /// failures so far were refusals, or no repeatable request has come for a minute.
    bool isProbeHarmless(instant when) const
    {
        return m_neverStarts || when >= m_probeAt + duration(60s);
    }
    double serviceTime() const { return m_serviceTime; }
    double failureRate() const { return m_failureRate; }
    instant probeAt() const { return m_probeAt; }

    void assume(double serviceTime) { m_serviceTime = serviceTime; }

    /// Records an answer after \p took.
    void succeed(instant when, duration took);

    /// Records a failure. \p hasStarted tells whether the runner may have begun the work. A time
    /// longer than the smoothed one counts as a service time, since a hung runner gives no other.
    void fail(instant when, duration took, bool hasStarted);

    /// Returns true if the failures suffice to eject the runner.
    bool isFailing() const;

    /// Takes the runner out; returns when it may be probed. The pause doubles with each ejection
    /// that follows a failed probe.
    instant eject(instant when, standing why, random_source &random);

    void beginProbe() { m_isProbing = true; }
    void endProbe() { m_isProbing = false; }

    /// Moves evidence that is older than 5 s towards \p serviceMean and no failures, so that a
    /// runner that was slow once is tried again.
    void forget(instant when, double serviceMean);

private:
    standing m_standing = standing::healthy;
    bool m_isProbing = false;
    bool m_neverStarts = true; ///< No failure since the last answer was after a start.
    int m_consecutiveFailures = 0;
    int m_ejections = 0; ///< Since the last answer.
    double m_serviceTime = 0; ///< Smoothed, in microseconds.
    double m_failureRate = 0; ///< Smoothed.
    instant m_lastEvidence;
    instant m_probeAt;
};

} // namespace crocuswind

#endif
