/// Interference policy that learns from delayed usage reports which kind of work slows down which,
/// and throttles or moves the cause one step at a time.
#ifndef CROCUSWIND_BATCH_LEARNED_INTERFERENCE_H
#define CROCUSWIND_BATCH_LEARNED_INTERFERENCE_H

#include "interference.h"

namespace crocuswind {

/// Models the slowdown of a latency-critical task as 1 plus, for each kind of batch work on the
/// worker, its share of the cores times a factor for the pair of kinds. The factors are learned
/// with normalised least mean squares and are never negative.
class learned_interference final : public interference_policy
{
public:
    double penalty(const worker_id &worker, const worker_load &load, bool isLatencyCritical,
                   double added) const override;
    double pressureOf(const std::string &workKind) const override;
    std::vector<control_step> observe(instant now, const observed_worker &worker) override;

private:
    /// Learned factors of one kind of batch work.
    struct cause_factors
    {
        std::map<std::string, double> bySlowedKind;
        double mean = 0;
    };
    using shares = std::map<std::string, double>;

    struct worker_history
    {
        /// Time of the last step, whose effect may not be visible yet.
        std::optional<instant> actedAt;
        std::optional<instant> lowSince;
        double expected = 0; ///< Slowdown beyond 1 that the model expects without throttling.
    };

    static shares sharesOf(const observed_worker &worker);
    void trimCauses();
    void learn(instant now, const observed_worker &worker);
    double factor(const std::string &slowed, const std::string &cause) const;
    std::optional<control_step> chooseStep(const observed_worker &worker,
                                           const std::string &slowed) const;
    bool hasBetterWorker(const worker_id &worker, double effect) const;
    std::optional<control_step> chooseRelease(const observed_worker &worker) const;

    std::map<std::string, cause_factors> m_causes;
    std::map<worker_id, worker_history> m_workers;
};

} // namespace crocuswind

#endif
