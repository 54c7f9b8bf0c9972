/// Defines how the stand-in programs read the body of `POST /control`.
#ifndef CROCUSWIND_STANDIN_CONTROL_BODY_H
#define CROCUSWIND_STANDIN_CONTROL_BODY_H

#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

namespace crocuswind::standin {

/// Changes one setting to the given value; throws json::exception for a value of another type.
using control_setter = std::function<void(const nlohmann::json &value)>;

/// Applies the members of \p body through the setters of the same names. Returns an empty text, or
/// what is wrong; the members before the wrong one have been applied then.
std::string applyControl(const std::string &body,
                         const std::map<std::string, control_setter> &setters);

/// Formats an error as a body.
std::string errorBody(const std::string &message);

} // namespace crocuswind::standin

#endif
