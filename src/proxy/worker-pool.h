#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace pimentomast::proxy::detail {

/// A fixed number of threads that take jobs in their order. Thread-safe.
template <class Job>
class worker_pool {
public:
    worker_pool(unsigned threads, std::function<void(Job)> run)
        : m_run(std::move(run))
    {
        for (unsigned i = 0; i < threads; ++i)
            m_threads.emplace_back([this] { work(); });
    }
    worker_pool(const worker_pool&) = delete;
    worker_pool& operator=(const worker_pool&) = delete;

    /// Waits for the running jobs; those that still wait are dropped.
    ~worker_pool()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_stopped = true;
        }
        m_available.notify_all();
        for (std::thread& thread : m_threads)
            thread.join();
    }

    void push(Job job)
    {
        {
            const std::lock_guard lock(m_mutex);
            m_jobs.push_back(std::move(job));
        }
        m_available.notify_one();
    }

private:
    void work()
    {
        while (true) {
            std::unique_lock lock(m_mutex);
            m_available.wait(lock, [this] { return m_stopped || !m_jobs.empty(); });
            if (m_stopped)
                return;
            Job job = std::move(m_jobs.front());
            m_jobs.pop_front();
            lock.unlock();
            m_run(std::move(job));
        }
    }

    std::function<void(Job)> m_run;
    std::mutex m_mutex;
    std::condition_variable m_available;
    std::deque<Job> m_jobs;
    bool m_stopped = false;
    std::vector<std::thread> m_threads;
};

} // namespace pimentomast::proxy::detail
