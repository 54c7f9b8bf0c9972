/// Reads and writes the values of CBOR messages. Private to the package.
#ifndef CROCUSWIND_SCHEDULER_CBOR_VALUES_H
#define CROCUSWIND_SCHEDULER_CBOR_VALUES_H

#include "base/base.h"

#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

namespace crocuswind::scheduler::cbor_values {

using nlohmann::json;

/// Limit of the nesting depth. Progress records have six levels: record, occurrences, occurrence,
/// rows, row, failed runs.
constexpr std::size_t maxDepth = 8;
/// Limit of the number of values. A job with the largest steps stays below it, since a value of the
/// store holds at most a megabyte.
constexpr std::size_t maxValues = 1'000'000;

/// Reads a value of the field's type. Throws for a number out of the field's range, because a
/// conversion would silently change it.
template <class value>
void read(const json &j, value &field)
{
    if constexpr (std::is_integral_v<value> && !std::is_same_v<value, bool>) {
        constexpr auto highest = std::uint64_t(std::numeric_limits<value>::max());
        constexpr auto lowest = std::int64_t(std::numeric_limits<value>::min());
        const bool isNegative = j.is_number_integer() && !j.is_number_unsigned();
        const bool isInType = isNegative
            ? j.get<std::int64_t>() >= lowest && j.get<std::int64_t>() < 0
            : j.is_number_unsigned() && j.get<std::uint64_t>() <= highest;
        if (!isInType)
            throw std::out_of_range("number out of range for its field");
    }
    j.get_to(field);
}

/// Reads an array of numbers. Throws if one is out of range.
inline void read(const json &j, std::vector<int> &numbers)
{
    if (!j.is_array())
        throw std::out_of_range("expected an array of numbers");
    numbers.clear();
    for (const json &number : j)
        read(number, numbers.emplace_back());
}

/// Returns the number. Throws if it is out of range.
template <class value>
value readAs(const json &j)
{
    value number = 0;
    read(j, number);
    return number;
}

/// Encodes a value as CBOR.
inline std::string toBytes(const json &j)
{
    std::string bytes;
    json::to_cbor(j, bytes);
    return bytes;
}

/// Parses the bytes and converts them with \p convert, which throws for unexpected content. Returns
/// std::nullopt for malformed input.
template <class value, class converter>
std::optional<value> decode(std::string_view bytes, converter convert)
{
    if (checkCbor(bytes, maxDepth, maxValues))
        return std::nullopt;
    try {
        const json j = json::from_cbor(bytes.begin(), bytes.end(), true, false);
        if (j.is_discarded())
            return std::nullopt;
        return convert(j);
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

} // namespace crocuswind::scheduler::cbor_values

#endif
