/// Validates CBOR received from other processes before a parser builds it in memory.
#ifndef CROCUSWIND_BASE_CBOR_BOUNDS_H
#define CROCUSWIND_BASE_CBOR_BOUNDS_H

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace crocuswind {

/// The reasons for which a message is rejected.
enum class cbor_fault {
    malformed, ///< Not valid CBOR, or trailing bytes follow the value.
    too_deep, ///< Maps and arrays nest too deeply; a recursive parser would overflow the stack.
    too_many, ///< Too many values, or an array or map whose declared length exceeds the limit.
};

/// A fault and a description of what was found and where.
struct cbor_error
{
    cbor_fault fault = cbor_fault::malformed;
    std::string detail;
};

/// Scans \p bytes without building values. Returns the first fault, or nothing if the message nests
/// at most \p maxDepth deep and holds at most \p maxValues values.
std::optional<cbor_error> checkCbor(std::string_view bytes, std::size_t maxDepth,
                                    std::size_t maxValues);

} // namespace crocuswind

#endif
