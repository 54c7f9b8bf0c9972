/// Numbers the messages of one life of a process, so that an answer to a former process of the same
/// host is told from one to the present process.
#ifndef CROCUSWIND_JOBS_LIFE_TOKENS_H
#define CROCUSWIND_JOBS_LIFE_TOKENS_H

#include "base/base.h"

#include <cstdint>

namespace crocuswind {

/// Issues tokens that follow each other from a random one of 64 bits on. The tokens of two lives
/// overlap by chance only: for n tokens in each, with a probability below 2 n / 2^64 if the numbers
/// of \c random_source are independent.
class life_tokens
{
public:
    explicit life_tokens(random_source &random)
        : m_first(random.next())
    { }

    /// Issues the next token. The one after the highest is 0.
    std::uint64_t next() { return m_first + m_issued++; }

    /// Returns whether \p token was issued by this object.
    bool isIssued(std::uint64_t token) const { return token - m_first < m_issued; }

private:
    std::uint64_t m_first;
    std::uint64_t m_issued = 0;
};

} // namespace crocuswind

#endif
