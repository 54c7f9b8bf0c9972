#include "resource_accounting.h"

namespace crocuswind {

resource_accounting::index &resource_accounting::indexOf(const worker_slot &slot)
{
    return slot.capacity.accelerators > 0 ? m_accelerated : m_plain;
}

void resource_accounting::removeFromIndex(std::size_t number)
{
    worker_slot &slot = m_slots[number];
    if (slot.isEligible)
        indexOf(slot).erase({slot.free().milliCores, number});
}

void resource_accounting::addToIndex(std::size_t number)
{
    worker_slot &slot = m_slots[number];
    if (slot.isEligible)
        indexOf(slot).insert({slot.free().milliCores, number});
}

void resource_accounting::setWorker(const worker_id &worker, const rack_id &rack,
                                    const resources &capacity)
{
    auto at = m_slotOfWorker.find(worker);
    if (at == m_slotOfWorker.end()) {
        std::size_t number = m_slots.size();
        if (m_unusedSlots.empty()) {
            m_slots.emplace_back();
        } else {
            number = m_unusedSlots.back();
            m_unusedSlots.pop_back();
            m_slots[number] = worker_slot();
        }
        m_slots[number].worker = worker;
        at = m_slotOfWorker.emplace(worker, number).first;
    }
    worker_slot &slot = m_slots[at->second];
    if (slot.rack == rack && slot.capacity == capacity)
        return;
    removeFromIndex(at->second);
    m_total = m_total - slot.capacity + capacity;
    slot.rack = rack;
    slot.capacity = capacity;
    addToIndex(at->second);
    ++m_freeCapacityRevision;
}

bool resource_accounting::removeWorker(const worker_id &worker)
{
    const auto at = m_slotOfWorker.find(worker);
    if (at == m_slotOfWorker.end() || !m_slots[at->second].tasks.empty())
        return false;
    removeFromIndex(at->second);
    m_total = m_total - m_slots[at->second].capacity;
    m_unusedSlots.push_back(at->second);
    m_slotOfWorker.erase(at);
    return true;
}

void resource_accounting::setEligible(const worker_id &worker, bool isEligible)
{
    const auto at = m_slotOfWorker.find(worker);
    if (at == m_slotOfWorker.end() || m_slots[at->second].isEligible == isEligible)
        return;
    removeFromIndex(at->second);
    m_slots[at->second].isEligible = isEligible;
    addToIndex(at->second);
    if (isEligible)
        ++m_freeCapacityRevision;
}

bool resource_accounting::commit(const worker_id &worker, const task_key &task,
                                 const resources &size)
{
    const auto at = m_slotOfWorker.find(worker);
    if (at == m_slotOfWorker.end() || m_slotOfTask.count(task) != 0)
        return false;
    worker_slot &slot = m_slots[at->second];
    if (!fitsInto(size, slot.free()))
        return false;
    removeFromIndex(at->second);
    slot.committed = slot.committed + size;
    slot.tasks.emplace(task, size);
    m_slotOfTask.emplace(task, at->second);
    addToIndex(at->second);
    return true;
}

bool resource_accounting::release(const task_key &task)
{
    const auto where = m_slotOfTask.find(task);
    if (where == m_slotOfTask.end())
        return false;
    const std::size_t number = where->second;
    worker_slot &slot = m_slots[number];
    const auto at = slot.tasks.find(task);
    CROCUSWIND_INVARIANT(at != slot.tasks.end(), toString(task.job));
    removeFromIndex(number);
    slot.committed = slot.committed - at->second;
    slot.tasks.erase(at);
    m_slotOfTask.erase(where);
    addToIndex(number);
    ++m_freeCapacityRevision;
    return true;
}

std::optional<worker_id> resource_accounting::workerOf(const task_key &task) const
{
    const auto where = m_slotOfTask.find(task);
    if (where == m_slotOfTask.end())
        return std::nullopt;
    return m_slots[where->second].worker;
}

const worker_slot *resource_accounting::find(const worker_id &worker) const
{
    const auto at = m_slotOfWorker.find(worker);
    return at == m_slotOfWorker.end() ? nullptr : &m_slots[at->second];
}

bool resource_accounting::isOvercommitted(const worker_id &worker) const
{
    const worker_slot *slot = find(worker);
    return slot != nullptr && !fitsInto(slot->committed, slot->capacity);
}

} // namespace crocuswind
