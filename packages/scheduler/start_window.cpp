#include "start_window.h"

#include <algorithm>

namespace crocuswind::scheduler {

namespace {

constexpr double minSize = 32;
constexpr double maxSize = 4000;

/// An answer that takes longer shows that commands wait in a queue: the longest way to a worker and
/// back takes a tenth of it. It is the length of an interval as well.
constexpr duration slowAnswer = 300ms;

/// The window becomes a little smaller than what was answered, so that the queue shrinks.
constexpr double shrinkFactor = 0.9;

/// Growth for each quick answer.
constexpr double growth = 0.125;

} // namespace

std::int64_t start_window::available(std::int64_t inFlight) const
{
    return std::max<std::int64_t>(0, size() - inFlight);
}

void start_window::onResult(instant sentAt, instant now, bool isAnswered)
{
    if (now - m_intervalBegin >= slowAnswer)
        endInterval(now);
    ++(isAnswered && now - sentAt <= slowAnswer ? m_quickAnswers : m_slowAnswers);
}

void start_window::endInterval(instant now)
{
    const double answers = double(m_quickAnswers + m_slowAnswers);
    const double intervals = double((now - m_intervalBegin).count()) / double(slowAnswer.count());
    if (m_slowAnswers > m_quickAnswers)
        m_size = std::min(m_size, answers / std::max(1.0, intervals) * shrinkFactor);
    else
        m_size += double(m_quickAnswers) * growth;
    m_size = std::clamp(m_size, minSize, maxSize);
    m_intervalBegin = now;
    m_quickAnswers = 0;
    m_slowAnswers = 0;
}

} // namespace crocuswind::scheduler
