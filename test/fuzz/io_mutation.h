/// Defines random mutations of valid input. Equal seeds give equal mutations.
#ifndef CROCUSWIND_TEST_IO_MUTATION_H
#define CROCUSWIND_TEST_IO_MUTATION_H

#include "base/base.h"

#include <string>

namespace crocuswind {

/// Returns \p text after one to four mutations: bytes are replaced, inserted, removed or repeated,
/// or the text is truncated.
inline std::string mutate(std::string text, random_source &random)
{
    const std::string likely = "{}[]\":,\\0123456789-eE\r\n \xff\x80\x7f";
    for (std::uint64_t left = 1 + random.below(4); left > 0 && !text.empty(); --left) {
        const std::size_t at = random.below(text.size());
        const char byte
            = random.below(2) == 0 ? likely[random.below(likely.size())] : char(random.below(256));
        const std::size_t length = 1 + random.below(16);
        switch (random.below(6)) {
        case 0:
            text[at] = byte;
            break;
        case 1:
            text.insert(at, 1, byte);
            break;
        case 2:
            text.erase(at, length);
            break;
        case 3:
            text.insert(at, text.substr(at, length));
            break;
        case 4:
            text.insert(at, 200, byte);
            break;
        default:
            text.resize(at);
            break;
        }
    }
    return text;
}

} // namespace crocuswind

#endif
