/// Defines how a runner's health is derived from attempts, and when a runner counts as leaving.
#ifndef CROCUSWIND_URGENT_RUNNER_HEALTH_H
#define CROCUSWIND_URGENT_RUNNER_HEALTH_H

#include "base/base.h"

namespace crocuswind {

/// Which ejected runners a request may probe. A failed probe costs a repeatable request one retry.
/// For an unrepeatable request it can leave the outcome unknown.
enum class probe_use {
    none, ///< The request must not be used as a probe.
    harmless, ///< Only runners for which runner_health::isProbeHarmless() is true.
    any,
};

/// Tracks whether a runner is leaving, from the runner's answers and from the host list.
class leaving_state
{
public:
    bool isLeaving() const { return m_isListedLeaving || m_hasReportedLeaving; }

    /// Records that an answer of the runner reported that it is leaving.
    void markLeaving(instant now)
    {
        if (!m_hasReportedLeaving)
            m_reportedAt = now;
        m_hasReportedLeaving = true;
        m_isConfirmedByList = false;
    }

    /// Records the runner's entry in the host list. The list lags, so an entry that is not leaving
    /// does not override the runner's own report, unless the list has since shown the runner as
    /// leaving or absent, or a minute has passed since the report.
    void updateFromList(instant now, bool isLeaving)
    {
        m_isListedLeaving = isLeaving;
        if (isLeaving)
            m_isConfirmedByList = true;
        else if (m_hasReportedLeaving
                 && (m_isConfirmedByList || now >= m_reportedAt + duration(60s)))
            m_hasReportedLeaving = false;
    }

    /// Records that the host list does not contain the runner.
    void markUnlisted() { m_isConfirmedByList = true; }

private:
    bool m_isListedLeaving = false;
    bool m_hasReportedLeaving = false;
    /// Since the runner's report, the list has shown it as leaving or absent.
    bool m_isConfirmedByList = false;
    instant m_reportedAt;
};

/// The health of one runner as derived from this host's attempts.
class runner_health
{
public:
    enum class status {
        healthy,
        ejected, ///< Taken out of routing because attempts failed.
        unreachable, ///< Taken out of routing because it refused a connection.
    };

    status currentStatus() const { return m_status; }
    bool isProbing() const { return m_isProbing; }
    /// Returns true if an unrepeatable request may probe this runner: either all its failures since
    /// the last answer happened before the start, or no repeatable request has probed it within a
    /// minute after a probe became permitted.
    bool isProbeHarmless(instant when) const
    {
        return m_failedOnlyBeforeStart || when >= m_probeAt + duration(60s);
    }
    double serviceTime() const { return m_serviceTime; } ///< Smoothed, in microseconds.
    double failureRate() const { return m_failureRate; } ///< Smoothed.
    instant probeAt() const { return m_probeAt; } ///< When an ejected runner may be probed.

    /// Sets the service time, in microseconds, to use until answers have been measured.
    void assumeServiceTime(double serviceTime) { m_serviceTime = serviceTime; }

    /// Records an answer that took \p took. The runner becomes healthy.
    void recordSuccess(instant when, duration took);

    /// Records a failure. \p hasStarted is true if the runner may have started the request. If
    /// \p took exceeds the smoothed service time, it is used as a sample, because a hung runner
    /// yields no other samples.
    void recordFailure(instant when, duration took, bool hasStarted);

    /// Returns true if the recorded failures are sufficient to eject the runner.
    bool isFailing() const;

    /// Takes the runner out of routing with \p newStatus and returns when it may be probed. The
    /// delay doubles with each ejection that follows a failed probe.
    instant eject(instant when, status newStatus, random_source &random);

    void beginProbe() { m_isProbing = true; }
    void endProbe() { m_isProbing = false; }

    /// If the last sample is older than 5 s, moves the service time towards \p serviceMean and the
    /// failure rate towards zero, so that a runner that was slow once is tried again.
    void decay(instant when, double serviceMean);

private:
    status m_status = status::healthy;
    bool m_isProbing = false;
    bool m_failedOnlyBeforeStart = true; ///< Since the last answer, no started attempt has failed.
    int m_consecutiveFailures = 0;
    int m_ejections = 0; ///< Number of ejections since the last answer.
    double m_serviceTime = 0; ///< Smoothed, in microseconds.
    double m_failureRate = 0; ///< Smoothed.
    instant m_lastEvidence;
    instant m_probeAt;
};

} // namespace crocuswind

#endif
