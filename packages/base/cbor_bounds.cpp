#include "cbor_bounds.h"

#include <cstdint>
#include <fmt/format.h>
#include <limits>
#include <nlohmann/json.hpp>

namespace crocuswind {

namespace {

using nlohmann::json;

/// SAX handler that aborts the parse at the first limit that is exceeded.
class bounds_check final : public nlohmann::json_sax<json>
{
public:
    bounds_check(std::size_t maxDepth, std::size_t maxValues)
        : m_maxDepth(maxDepth)
        , m_maxValues(maxValues)
    { }

    std::optional<cbor_error> error;

    bool null() override { return count(); }
    bool boolean(bool) override { return count(); }
    bool number_integer(number_integer_t) override { return count(); }
    bool number_unsigned(number_unsigned_t) override { return count(); }
    bool number_float(number_float_t, const string_t &) override { return count(); }
    bool string(string_t &) override { return count(); }
    bool binary(binary_t &) override { return count(); }
    bool key(string_t &) override { return true; }
    bool start_object(std::size_t size) override { return enter(size); }
    bool start_array(std::size_t size) override { return enter(size); }
    bool end_object() override { return leave(); }
    bool end_array() override { return leave(); }
    bool parse_error(std::size_t position, const std::string &,
                     const nlohmann::detail::exception &) override
    {
        error = {cbor_fault::malformed, fmt::format("at byte {}", position)};
        return false;
    }

private:
    bool count()
    {
        if (++m_values <= m_maxValues)
            return true;
        error = {cbor_fault::too_many, "values"};
        return false;
    }
    bool enter(std::size_t size)
    {
        const bool isLengthKnown = size != std::numeric_limits<std::size_t>::max();
        if (isLengthKnown && size > m_maxValues) {
            error = {cbor_fault::too_many, fmt::format("an array or map of length {}", size)};
            return false;
        }
        if (++m_depth > m_maxDepth) {
            error = {cbor_fault::too_deep, "nested too deeply"};
            return false;
        }
        return count();
    }
    bool leave()
    {
        --m_depth;
        return true;
    }

    std::size_t m_maxDepth;
    std::size_t m_maxValues;
    std::size_t m_depth = 0;
    std::size_t m_values = 0;
};

// Returns true if a text or byte string of indefinite length (made of chunks) occurs. The parser
// recurses into the chunks before it calls the SAX handler, so the depth limit would not apply. No
// message of this project uses them. All other items follow one another, so their heads can be
// scanned without a stack.
bool hasChunkedString(std::string_view bytes)
{
    constexpr unsigned byteString = 2;
    constexpr unsigned text = 3;
    constexpr unsigned unknownLength = 31;
    std::size_t at = 0;
    while (at < bytes.size()) {
        const unsigned head = static_cast<unsigned char>(bytes[at++]);
        const unsigned kind = head >> 5U;
        const unsigned detail = head & 0x1fU;
        const bool isString = kind == byteString || kind == text;
        if (isString && detail == unknownLength)
            return true;
        // An argument of 1, 2, 4 or 8 bytes follows the head.
        const std::size_t width = detail >= 24 && detail < 28 ? std::size_t(1) << (detail - 24) : 0;
        if (width > bytes.size() - at)
            return false;
        std::uint64_t argument = width == 0 ? detail : 0;
        for (std::size_t i = 0; i < width; ++i)
            argument = argument << 8U | static_cast<unsigned char>(bytes[at + i]);
        at += width;
        if (isString && argument > bytes.size() - at)
            return false;
        if (isString)
            at += std::size_t(argument);
    }
    return false;
}

} // namespace

std::optional<cbor_error> checkCbor(std::string_view bytes, std::size_t maxDepth,
                                    std::size_t maxValues)
{
    if (hasChunkedString(bytes))
        return cbor_error{cbor_fault::malformed, "string of indefinite length"};
    bounds_check bounds(maxDepth, maxValues);
    if (json::sax_parse(bytes, &bounds, json::input_format_t::cbor))
        return std::nullopt;
    return bounds.error.value_or(cbor_error{cbor_fault::malformed, ""});
}

} // namespace crocuswind
