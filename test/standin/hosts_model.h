/// Defines the host list of the platform as a state machine: it shows what it was told some time
/// ago.
#ifndef CROCUSWIND_STANDIN_HOSTS_MODEL_H
#define CROCUSWIND_STANDIN_HOSTS_MODEL_H

#include "base/base.h"

#include <deque>
#include <nlohmann/json.hpp>
#include <string>

namespace crocuswind::standin {

/// A lagging host list.
class hosts_model
{
public:
    explicit hosts_model(duration lag)
        : m_lag(lag)
    { }

    /// Replaces the list by the hosts in \p body, `{"hosts":[...]}`; with \p isMerge only hosts of
    /// the same names are replaced and the others stay. Returns what is wrong, or an empty text.
    std::string update(instant now, const std::string &body, bool isMerge);

    /// Returns the list as it was one lag ago. The first list is visible at once.
    nlohmann::json list(instant now);

    void setLag(duration lag) { m_lag = lag; }

private:
    struct version
    {
        instant since;
        nlohmann::json hosts;
    };

    duration m_lag;
    std::deque<version> m_versions;
};

} // namespace crocuswind::standin

#endif
