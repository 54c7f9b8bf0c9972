#include "commitments.h"

namespace crocuswind {

commitment_book::index &commitment_book::indexOf(const worker_slot &slot)
{
    return slot.capacity.accelerators > 0 ? m_accelerated : m_plain;
}

void commitment_book::takeFromIndex(std::size_t number)
{
    worker_slot &slot = m_slots[number];
    if (slot.isEligible)
        indexOf(slot).erase({slot.free().milliCores, number});
}

void commitment_book::putIntoIndex(std::size_t number)
{
    worker_slot &slot = m_slots[number];
    if (slot.isEligible)
        indexOf(slot).insert({slot.free().milliCores, number});
}

void commitment_book::setWorker(const worker_id &worker, const rack_id &rack,
                                const resources &capacity)
{
    auto at = m_numbers.find(worker);
    if (at == m_numbers.end()) {
        std::size_t number = m_slots.size();
        if (m_unused.empty()) {
            m_slots.emplace_back();
        } else {
            number = m_unused.back();
            m_unused.pop_back();
            m_slots[number] = worker_slot();
        }
        m_slots[number].worker = worker;
        at = m_numbers.emplace(worker, number).first;
    }
    worker_slot &slot = m_slots[at->second];
    if (slot.rack == rack && slot.capacity == capacity)
        return;
    takeFromIndex(at->second);
    m_total = m_total - slot.capacity + capacity;
    slot.rack = rack;
    slot.capacity = capacity;
    putIntoIndex(at->second);
    ++m_roomRevision;
}

bool commitment_book::removeWorker(const worker_id &worker)
{
    const auto at = m_numbers.find(worker);
    if (at == m_numbers.end() || !m_slots[at->second].tasks.empty())
        return false;
    takeFromIndex(at->second);
    m_total = m_total - m_slots[at->second].capacity;
    m_unused.push_back(at->second);
    m_numbers.erase(at);
    return true;
}

void commitment_book::setEligible(const worker_id &worker, bool isEligible)
{
    const auto at = m_numbers.find(worker);
    if (at == m_numbers.end() || m_slots[at->second].isEligible == isEligible)
        return;
    takeFromIndex(at->second);
    m_slots[at->second].isEligible = isEligible;
    putIntoIndex(at->second);
    if (isEligible)
        ++m_roomRevision;
}

bool commitment_book::commit(const worker_id &worker, const task_key &task, const resources &size)
{
    const auto at = m_numbers.find(worker);
    if (at == m_numbers.end() || m_where.count(task) != 0)
        return false;
    worker_slot &slot = m_slots[at->second];
    if (!fitsInto(size, slot.free()))
        return false;
    takeFromIndex(at->second);
    slot.committed = slot.committed + size;
    slot.tasks.emplace(task, size);
    m_where.emplace(task, at->second);
    putIntoIndex(at->second);
    return true;
}

bool commitment_book::release(const task_key &task)
{
    const auto where = m_where.find(task);
    if (where == m_where.end())
        return false;
    const std::size_t number = where->second;
    worker_slot &slot = m_slots[number];
    const auto at = slot.tasks.find(task);
    CROCUSWIND_INVARIANT(at != slot.tasks.end(), toString(task.job));
    takeFromIndex(number);
    slot.committed = slot.committed - at->second;
    slot.tasks.erase(at);
    m_where.erase(where);
    putIntoIndex(number);
    ++m_roomRevision;
    return true;
}

std::optional<worker_id> commitment_book::workerOf(const task_key &task) const
{
    const auto where = m_where.find(task);
    if (where == m_where.end())
        return std::nullopt;
    return m_slots[where->second].worker;
}

const worker_slot *commitment_book::find(const worker_id &worker) const
{
    const auto at = m_numbers.find(worker);
    return at == m_numbers.end() ? nullptr : &m_slots[at->second];
}

bool commitment_book::isOvercommitted(const worker_id &worker) const
{
    const worker_slot *slot = find(worker);
    return slot != nullptr && !fitsInto(slot->committed, slot->capacity);
}

} // namespace crocuswind
