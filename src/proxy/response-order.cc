#include "response-order.h"

#include <algorithm>

namespace pimentomast::proxy::detail {
namespace {

/// Requests of one connection that may run at the same time.
constexpr std::size_t concurrentMax = 8;

} // namespace

bool response_order::admits(bool runsConcurrently)
{
    const std::lock_guard lock(m_mutex);
    const bool fits = runsConcurrently && !m_isStreaming && m_entries.size() < concurrentMax;
    const bool joins = m_entries.empty() || (fits && m_entries.back().runsConcurrently);
    m_readerWaits = !joins || m_fate != connection_fate::KeptOpen;
    return !m_readerWaits;
}

turn response_order::add(request_id id, bool runsConcurrently)
{
    const std::lock_guard lock(m_mutex);
    const turn number { ++m_lastTurn };
    entry added;
    added.number = number;
    added.request = id;
    added.runsConcurrently = runsConcurrently;
    m_entries.push_back(std::move(added));
    return number;
}

response_order::entry& response_order::find(turn of)
{
    return *std::find_if(
        m_entries.begin(), m_entries.end(), [of](const entry& each) { return each.number == of; });
}

void response_order::rename(turn of, request_id id)
{
    const std::lock_guard lock(m_mutex);
    find(of).request = id;
}

bool response_order::maySend(turn of, bool isWhole)
{
    const std::lock_guard lock(m_mutex);
    if (m_entries.front().number != of)
        return false;
    if (!isWhole && m_entries.size() > 1 && !m_isStreaming)
        return false;
    m_isStreaming = true;
    return true;
}

bool response_order::closeAfter(turn of)
{
    const std::lock_guard lock(m_mutex);
    if (m_entries.back().number != of)
        return false;
    setFate(connection_fate::Closes);
    return true;
}

bool response_order::hold(turn of, std::string_view response, body_reservation&& memory)
{
    const std::lock_guard lock(m_mutex);
    if (m_entries.front().number == of)
        return false;
    entry& held = find(of);
    held.isHeld = true;
    held.held = response;
    held.memory = std::move(memory);
    held.memory.growAlways(response.size());
    return true;
}

void response_order::deliver(turn of, std::string_view rest, body_reservation memory,
    connection_fate fate, Poco::Net::StreamSocket caller)
{
    const std::lock_guard lock(m_mutex);
    entry& delivered = find(of);
    delivered.isHeld = true;
    delivered.isDelivered = true;
    delivered.held = rest;
    delivered.memory = std::move(memory);
    setFate(fate);
    resetOnClose(caller);
}

std::size_t response_order::unsentBytes(turn of) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = std::find_if(
        m_entries.begin(), m_entries.end(), [of](const entry& each) { return each.number == of; });
    return found == m_entries.end() ? 0 : found->held.size();
}

void response_order::setFate(connection_fate fate) { m_fate = std::max(m_fate, fate); }

void response_order::sendDue(Poco::Net::StreamSocket& caller, progress& now)
{
    while (!m_entries.empty() && m_entries.front().isHeld) {
        entry& due = m_entries.front();
        if (m_fate != connection_fate::Broken) {
            const auto sent = sendSome(caller, due.held);
            due.held.erase(0, sent.bytes);
            if (hasEnded(sent.state))
                setFate(connection_fate::Broken);
        }
        if (m_fate != connection_fate::Broken && !due.held.empty()) {
            now.unsent = due.number;
            return;
        }
        if (due.isDelivered && m_fate != connection_fate::Broken)
            finishOnClose(caller);
        m_isStreaming = false;
        m_entries.erase(m_entries.begin());
    }
}

response_order::progress response_order::proceed(Poco::Net::StreamSocket caller)
{
    progress now;
    sendDue(caller, now);
    m_lastEnded = monotonic_clock::now();
    now.fate = m_fate;
    now.isEmpty = m_entries.empty();
    now.readerWaits = std::exchange(m_readerWaits, false);
    if (m_fate == connection_fate::Broken && !now.isEmpty)
        shutdownBoth(caller);
    else if (m_fate == connection_fate::Closes && now.isEmpty)
        shutdownSend(caller);
    return now;
}

response_order::progress response_order::end(
    turn of, connection_fate fate, const Poco::Net::StreamSocket& caller)
{
    const std::lock_guard lock(m_mutex);
    const auto ended = std::find_if(
        m_entries.begin(), m_entries.end(), [of](const entry& each) { return each.number == of; });
    // A held response was dropped if the connection broke before its sender gave it up.
    if (ended == m_entries.end())
        return {};
    if (ended == m_entries.begin())
        m_isStreaming = false;
    m_entries.erase(ended);
    setFate(fate);
    return proceed(caller);
}

std::optional<response_order::progress> response_order::sendHeld(
    turn of, const Poco::Net::StreamSocket& caller)
{
    Poco::Net::StreamSocket socket = caller;
    const std::lock_guard lock(m_mutex);
    if (m_entries.empty() || m_entries.front().number != of)
        return progress {};
    progress now;
    sendDue(socket, now);
    if (now.unsent == of)
        return std::nullopt;
    return proceed(caller);
}

void response_order::abandon()
{
    const std::lock_guard lock(m_mutex);
    setFate(connection_fate::Broken);
}

std::vector<request_id> response_order::requests() const
{
    const std::lock_guard lock(m_mutex);
    std::vector<request_id> running;
    for (const entry& each : m_entries) {
        if (!each.isHeld)
            running.push_back(each.request);
    }
    return running;
}

bool response_order::isEmpty() const
{
    const std::lock_guard lock(m_mutex);
    return m_entries.empty();
}

connection_fate response_order::fate() const
{
    const std::lock_guard lock(m_mutex);
    return m_fate;
}

instant response_order::lastEnded() const
{
    const std::lock_guard lock(m_mutex);
    return m_lastEnded;
}

} // namespace pimentomast::proxy::detail
