/// Defines how the stand-in programs parse the body of `POST /control`.
#ifndef CROCUSWIND_STANDIN_CONTROL_BODY_H
#define CROCUSWIND_STANDIN_CONTROL_BODY_H

#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

namespace crocuswind::standin {

/// Sets one setting to \p value. Throws json::exception if the value has the wrong type.
using control_setter = std::function<void(const nlohmann::json &value)>;

/// Calls, for each member of the JSON object \p body, the setter with the member's name. Returns an
/// empty text on success, or an error message; members before the invalid one remain applied.
std::string applyControl(const std::string &body,
                         const std::map<std::string, control_setter> &setters);

/// Formats an error message as a response body.
std::string errorBody(const std::string &message);

} // namespace crocuswind::standin

#endif
