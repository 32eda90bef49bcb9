#pragma once

#include <atomic>
#include <list>
#include <memory>
#include <mutex>
#include <thread>
#include <utility>

namespace review {

/// Threads that serve one connection each; those that have ended are joined as others are added.
class connection_threads {
public:
    connection_threads() = default;
    connection_threads(const connection_threads&) = delete;
    connection_threads& operator=(const connection_threads&) = delete;
    ~connection_threads() { join(); }

    template <class Work>
    void add(Work work)
    {
        const std::lock_guard guard(m_lock);
        m_threads.remove_if([](entry& each) {
            if (!*each.isOver)
                return false;
            each.thread.join();
            return true;
        });
        auto isOver = std::make_shared<std::atomic<bool>>(false);
        m_threads.push_back({ isOver, std::thread([isOver, work = std::move(work)]() mutable {
                                 work();
                                 *isOver = true;
                             }) });
    }

    void join()
    {
        const std::lock_guard guard(m_lock);
        for (auto& each : m_threads)
            each.thread.join();
        m_threads.clear();
    }

private:
    struct entry {
        std::shared_ptr<std::atomic<bool>> isOver;
        std::thread thread;
    };

    std::mutex m_lock;
    std::list<entry> m_threads;
};

} // namespace review
