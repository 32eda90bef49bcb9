#include "fair_queue.h"

#include <algorithm>

namespace pimentomast::routing {

fair_queue::fair_queue(double quantum)
    : m_quantum(quantum)
{
}

void fair_queue::push(request_number number, const caller_id& caller, double cost)
{
    flowOf(caller).items.push_back({ number, cost });
}

void fair_queue::pushFront(request_number number, const caller_id& caller, double cost)
{
    flowOf(caller).items.push_front({ number, cost });
}

// Counts one more request of the caller, which the calling function must add.
fair_queue::flow& fair_queue::flowOf(const caller_id& caller)
{
    auto [found, added] = m_flows.try_emplace(caller);
    flow& own = found->second;
    if (added) {
        own.deficit = m_quantum;
        m_newTurns.push_back(caller);
    }
    if (own.items.empty())
        ++m_activeCallers;
    ++m_size;
    return own;
}

std::optional<request_number> fair_queue::front()
{
    if (empty())
        return std::nullopt;
    while (true) {
        const flow& current = m_flows.at(currentTurns().front());
        if (current.items.empty())
            skipIdle();
        else if (current.deficit < current.items.front().cost)
            endTurn();
        else
            return current.items.front().number;
    }
}

void fair_queue::pop()
{
    (void)front();
    flow& current = m_flows.at(currentTurns().front());
    current.deficit -= current.items.front().cost;
    current.items.pop_front();
    removed(current);
}

std::optional<request_number> fair_queue::frontOf(
    const std::function<bool(const caller_id&)>& accepts) const
{
    for (const turn_list* turns : { &m_newTurns, &m_oldTurns }) {
        for (const caller_id& caller : *turns) {
            const flow& own = m_flows.at(caller);
            if (!own.items.empty() && accepts(caller))
                return own.items.front().number;
        }
    }
    return std::nullopt;
}

void fair_queue::popOf(const caller_id& caller)
{
    flow& own = m_flows.at(caller);
    own.deficit -= own.items.front().cost;
    own.items.pop_front();
    removed(own);
}

bool fair_queue::erase(request_number number, const caller_id& caller)
{
    const auto found = m_flows.find(caller);
    if (found == m_flows.end())
        return false;
    auto& items = found->second.items;
    const auto isSame = [number](const item& queued) { return queued.number == number; };
    const auto position = std::find_if(items.begin(), items.end(), isSame);
    if (position == items.end())
        return false;
    items.erase(position);
    removed(found->second);
    return true;
}

std::size_t fair_queue::waiting(const caller_id& caller) const
{
    const auto found = m_flows.find(caller);
    return found == m_flows.end() ? 0 : found->second.items.size();
}

fair_queue::turn_list& fair_queue::currentTurns() noexcept
{
    return m_newTurns.empty() ? m_oldTurns : m_newTurns;
}

void fair_queue::endTurn()
{
    turn_list& turns = currentTurns();
    m_flows.at(turns.front()).deficit += m_quantum;
    m_oldTurns.splice(m_oldTurns.end(), turns, turns.begin());
}

// A caller that was served as a new one must not be new again before its next turn.
void fair_queue::skipIdle()
{
    if (!m_newTurns.empty()) {
        endTurn();
        return;
    }
    m_flows.erase(m_oldTurns.front());
    m_oldTurns.pop_front();
}

void fair_queue::removed(const flow& from)
{
    --m_size;
    if (from.items.empty())
        --m_activeCallers;
    if (m_size > 0)
        return;
    m_flows.clear();
    m_newTurns.clear();
    m_oldTurns.clear();
}

} // namespace pimentomast::routing
