/// Defines a model of the platform's host list, whose changes become visible only after a delay.
#ifndef CROCUSWIND_STANDIN_HOSTS_MODEL_H
#define CROCUSWIND_STANDIN_HOSTS_MODEL_H

#include "base/base.h"

#include <deque>
#include <nlohmann/json.hpp>
#include <string>

namespace crocuswind::standin {

/// A host list that shows each change one lag after it was made.
class hosts_model
{
public:
    explicit hosts_model(duration lag)
        : m_lag(lag)
    { }

    /// Replaces the list with the hosts in \p body, which has the form `{"hosts":[...]}`. With
    /// \p isMerge, hosts are added, or replaced if their name exists, and all others stay. Returns
    /// an error message, or an empty text on success.
    std::string update(instant now, const std::string &body, bool isMerge);

    /// Returns the list as it was one lag ago. The first list is visible immediately.
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
