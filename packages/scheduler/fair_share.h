/// Divides a limited amount by max-min fairness. Private to the package.
#ifndef CROCUSWIND_SCHEDULER_FAIR_SHARE_H
#define CROCUSWIND_SCHEDULER_FAIR_SHARE_H

#include <vector>

namespace crocuswind::scheduler {

/// Returns the highest amount that each demand may get so that together they get at most \p limit:
/// smaller demands are met in full, and all others get this amount. If the limit suffices for all
/// demands, it is infinite. Demands and limit must not be negative.
double fairShare(std::vector<double> demands, double limit);

} // namespace crocuswind::scheduler

#endif
