#include "control_body.h"

#include <fmt/format.h>

namespace crocuswind::standin {

std::string applyControl(const std::string &body,
                         const std::map<std::string, control_setter> &setters)
{
    const nlohmann::json wanted = nlohmann::json::parse(body, nullptr, false);
    if (!wanted.is_object())
        return "the body must be a JSON object";
    for (const auto &[name, value] : wanted.items()) {
        const auto setter = setters.find(name);
        if (setter == setters.end()) {
            std::string known;
            for (const auto &[knownName, function] : setters)
                known += (known.empty() ? "" : ", ") + knownName;
            return fmt::format("unknown setting {}; known ones are {}", name, known);
        }
        try {
            setter->second(value);
        } catch (const nlohmann::json::exception &error) {
            return fmt::format("{}: {}", name, error.what());
        }
    }
    return {};
}

std::string errorBody(const std::string &message)
{
    return nlohmann::json({{"error", message}}).dump();
}

} // namespace crocuswind::standin
