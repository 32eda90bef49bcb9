#pragma once

#include "exchange.h"

#include <memory>
#include <mutex>
#include <unordered_map>

/// Requests that wait for a decision of the dispatcher.
namespace pimentomast::proxy::detail {

/// Thread-safe. Whoever takes an exchange out owns it.
class registry {
public:
    void add(std::unique_ptr<exchange> request)
    {
        const std::lock_guard lock(m_mutex);
        const request_id id = request->facts.id;
        m_waiting.emplace(id, std::move(request));
    }

    /// Takes the exchange out; null if it does not wait (any more).
    [[nodiscard]] std::unique_ptr<exchange> take(request_id id)
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_waiting.find(id);
        if (found == m_waiting.end())
            return nullptr;
        auto request = std::move(found->second);
        m_waiting.erase(found);
        return request;
    }

    /// Calls the function, under the lock, if the exchange waits.
    template <class Function>
    void ifWaiting(request_id id, const Function& function)
    {
        const std::lock_guard lock(m_mutex);
        if (m_waiting.contains(id))
            function();
    }

    [[nodiscard]] std::size_t size() const
    {
        const std::lock_guard lock(m_mutex);
        return m_waiting.size();
    }

private:
    mutable std::mutex m_mutex;
    std::unordered_map<request_id, std::unique_ptr<exchange>> m_waiting;
};

} // namespace pimentomast::proxy::detail
