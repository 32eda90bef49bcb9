#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <optional>
#include <thread>
#include <utility>
#include <vector>

namespace pimentomast::proxy::detail {

/// Thread pool of fixed size with a FIFO queue. Thread-safe.
///
/// The thread that became idle last gets the next job, so that few threads stay in use and their
/// stacks and buffers remain in the CPU caches.
template <class Job>
class worker_pool {
public:
    worker_pool(unsigned threads, std::function<void(Job)> run)
        : m_run(std::move(run))
        , m_workers(threads)
    {
        m_idle.reserve(threads);
        for (worker& each : m_workers)
            each.thread = std::thread([this, &each] { work(each); });
    }
    worker_pool(const worker_pool&) = delete;
    worker_pool& operator=(const worker_pool&) = delete;

    /// Waits for running jobs; queued jobs are dropped.
    ~worker_pool()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_stopped = true;
        }
        for (worker& each : m_workers)
            each.wake.notify_one();
        for (worker& each : m_workers)
            each.thread.join();
    }

    void push(Job job)
    {
        std::unique_lock lock(m_mutex);
        if (m_idle.empty()) {
            m_jobs.push_back(std::move(job));
            return;
        }
        worker& chosen = *m_idle.back();
        m_idle.pop_back();
        chosen.job = std::move(job);
        lock.unlock();
        chosen.wake.notify_one();
    }

private:
    struct worker {
        std::condition_variable wake;
        std::optional<Job> job;
        std::thread thread;
    };

    void work(worker& self)
    {
        while (auto job = next(self))
            m_run(std::move(*job));
    }

    /// Blocks until a job is available. Returns nothing once the pool is stopped.
    std::optional<Job> next(worker& self)
    {
        std::unique_lock lock(m_mutex);
        if (m_jobs.empty()) {
            m_idle.push_back(&self);
            self.wake.wait(lock, [&] { return m_stopped || self.job; });
            return m_stopped ? std::nullopt : std::exchange(self.job, std::nullopt);
        }
        if (m_stopped)
            return std::nullopt;
        std::optional<Job> job = std::move(m_jobs.front());
        m_jobs.pop_front();
        return job;
    }

    std::function<void(Job)> m_run;
    std::mutex m_mutex;
    std::deque<Job> m_jobs;
    bool m_stopped = false;
    std::vector<worker> m_workers;
    std::vector<worker*> m_idle;
};

} // namespace pimentomast::proxy::detail
