#include "metrics_text.h"

#include <cmath>
#include <fmt/format.h>

namespace crocuswind {

namespace {

std::string sanitizeName(const std::string &name, bool isColonAllowed)
{
    std::string sanitized = name.empty() ? "_" : name;
    for (char &c : sanitized) {
        const bool isLetter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '_';
        const bool isDigit = c >= '0' && c <= '9';
        if (!isLetter && !isDigit && !(c == ':' && isColonAllowed))
            c = '_';
    }
    if (sanitized[0] >= '0' && sanitized[0] <= '9')
        sanitized.insert(0, "_");
    return sanitized;
}

std::string escape(const std::string &text, bool isLabelValue)
{
    std::string escaped;
    for (char c : text) {
        if (c == '\\')
            escaped += "\\\\";
        else if (c == '\n')
            escaped += "\\n";
        else if (c == '"' && isLabelValue)
            escaped += "\\\"";
        else
            escaped += c;
    }
    return escaped;
}

std::string numberText(double number)
{
    if (std::isnan(number))
        return "NaN";
    if (std::isinf(number))
        return number > 0 ? "+Inf" : "-Inf";
    return fmt::format("{}", number);
}

std::string labelsText(const metric_labels &labels, const std::string &extra)
{
    std::string text;
    for (const auto &[name, value] : labels)
        text += fmt::format("{}{}=\"{}\"", text.empty() ? "" : ",", sanitizeName(name, false),
                            escape(value, true));
    if (!extra.empty())
        text += (text.empty() ? "" : ",") + extra;
    return text.empty() ? text : "{" + text + "}";
}

const char *kindName(metric_family::metric_kind kind)
{
    switch (kind) {
    case metric_family::metric_kind::counter:
        return "counter";
    case metric_family::metric_kind::gauge:
        return "gauge";
    case metric_family::metric_kind::summary:
        return "summary";
    }
    return "untyped";
}

} // namespace

std::string toMetricsText(const std::vector<metric_family> &families)
{
    std::string text;
    for (const metric_family &family : families) {
        const std::string name = sanitizeName(family.name, true);
        if (!family.help.empty())
            text += fmt::format("# HELP {} {}\n", name, escape(family.help, false));
        text += fmt::format("# TYPE {} {}\n", name, kindName(family.kind));
        for (const metric_series &series : family.series) {
            if (family.kind != metric_family::metric_kind::summary) {
                text += fmt::format("{}{} {}\n", name, labelsText(series.labels, ""),
                                    numberText(series.value));
                continue;
            }
            for (const auto &[quantile, value] : series.quantiles) {
                const std::string label = fmt::format("quantile=\"{}\"", quantile);
                text += fmt::format("{}{} {}\n", name, labelsText(series.labels, label),
                                    numberText(value));
            }
            const std::string labels = labelsText(series.labels, "");
            text += fmt::format("{}_sum{} {}\n", name, labels, numberText(series.value));
            text += fmt::format("{}_count{} {}\n", name, labels, series.count);
        }
    }
    return text;
}

} // namespace crocuswind
