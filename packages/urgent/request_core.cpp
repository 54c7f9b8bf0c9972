#include "request_core.h"

namespace crocuswind {

struct request_core::state
{ };

request_core::request_core(const urgent_settings &)
    : m_state(std::make_unique<state>())
{ }

request_core::~request_core() = default;
request_core::request_core(request_core &&) noexcept = default;
request_core &request_core::operator=(request_core &&) noexcept = default;

std::vector<urgent_action> request_core::handle(const urgent_event &)
{
    return {};
}

std::vector<std::pair<service_id, duration>> request_core::expectedWaits() const
{
    return {};
}

bool request_core::isReady(std::string *) const
{
    return false;
}

request_counts request_core::counts() const
{
    return {};
}

std::vector<std::string> request_core::violations() const
{
    return {};
}

} // namespace crocuswind
