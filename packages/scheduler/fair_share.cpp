#include "fair_share.h"

#include <algorithm>
#include <limits>

namespace crocuswind::scheduler {

double fairShare(std::vector<double> demands, double limit)
{
    std::sort(demands.begin(), demands.end());
    std::size_t unmet = demands.size();
    for (const double demand : demands) {
        if (demand * double(unmet) > limit)
            return limit / double(unmet);
        limit -= demand;
        --unmet;
    }
    return std::numeric_limits<double>::infinity();
}

} // namespace crocuswind::scheduler
