#pragma once

#include "pimentomast/core.h"

#include <condition_variable>
#include <deque>
#include <functional>
#include <list>
#include <mutex>
#include <optional>
#include <system_error>
#include <thread>
#include <utility>

/// Thread pool whose threads start when they are needed.
namespace pimentomast {

struct worker_pool_options {
    unsigned maxThreads = 1;
    /// A thread without work ends after this time, unless it is the last one.
    duration idleLimit = std::chrono::seconds(10);
};

/// Thread pool with a FIFO queue, for work that blocks. A thread is started if no other one is
/// idle, up to a limit, and ends once it has been idle for long. If none can be started, the job
/// waits for those that there are. Thread-safe.
///
/// The thread that became idle last gets the next job, so that few threads stay in use and their
/// stacks and buffers remain in the CPU caches.
template <class Job>
class worker_pool {
public:
    /// Starts one thread; throws std::system_error if that fails. Precondition: at least one thread
    /// is allowed, and run may be called on several threads.
    worker_pool(const worker_pool_options& options, std::function<void(Job)> run)
        : m_options(options)
        , m_run(std::move(run))
    {
        const std::lock_guard lock(m_mutex);
        startThread();
    }
    worker_pool(const worker_pool&) = delete;
    worker_pool& operator=(const worker_pool&) = delete;
    ~worker_pool() { stop(); }

    /// Waits for running jobs; queued jobs and those pushed later are dropped. Must not be called
    /// by a job.
    void stop()
    {
        std::list<worker> ending;
        {
            std::unique_lock lock(m_mutex);
            m_stopped = true;
            for (worker* each : m_idle)
                each->wake.notify_one();
            m_allEnded.wait(lock, [this] { return m_workers.empty(); });
            ending.swap(m_ended);
        }
        joinAll(ending);
    }

    void push(Job job)
    {
        std::list<worker> ended;
        {
            const std::lock_guard lock(m_mutex);
            if (m_stopped)
                return;
            ended.swap(m_ended);
            assign(std::move(job));
        }
        joinAll(ended);
    }

    /// Returns the number of threads, busy and idle.
    [[nodiscard]] std::size_t threads() const
    {
        const std::lock_guard lock(m_mutex);
        return m_workers.size();
    }

private:
    struct worker {
        std::condition_variable wake;
        std::optional<Job> job;
        std::thread thread;
    };
    using place = typename std::list<worker>::iterator;

    static void joinAll(std::list<worker>& ended)
    {
        for (worker& each : ended)
            each.thread.join();
    }

    void assign(Job job)
    {
        if (!m_idle.empty()) {
            worker& chosen = *m_idle.back();
            m_idle.pop_back();
            chosen.job = std::move(job);
            chosen.wake.notify_one();
            return;
        }
        m_jobs.push_back(std::move(job));
        if (m_workers.size() >= m_options.maxThreads)
            return;
        try {
            startThread();
        } catch (const std::system_error&) {
            // The job waits for one of the other threads.
        }
    }

    void startThread()
    {
        m_workers.emplace_back();
        const auto self = std::prev(m_workers.end());
        try {
            self->thread = std::thread([this, self] { work(self); });
        } catch (const std::system_error&) {
            m_workers.erase(self);
            throw;
        }
    }

    void work(place self)
    {
        std::unique_lock lock(m_mutex);
        while (auto job = next(lock, *self)) {
            lock.unlock();
            m_run(std::move(*job));
            job.reset();
            lock.lock();
        }
        m_ended.splice(m_ended.end(), m_workers, self);
        m_allEnded.notify_all();
    }

    /// Blocks until a job is available. Returns nothing once the pool is stopped or the thread was
    /// idle for too long.
    std::optional<Job> next(std::unique_lock<std::mutex>& lock, worker& self)
    {
        if (m_stopped)
            return std::nullopt;
        if (!m_jobs.empty()) {
            std::optional<Job> job = std::move(m_jobs.front());
            m_jobs.pop_front();
            return job;
        }
        m_idle.push_back(&self);
        const auto woken = [&] { return m_stopped || self.job; };
        while (!self.wake.wait_for(lock, m_options.idleLimit, woken)) {
            if (m_workers.size() == 1)
                continue;
            std::erase(m_idle, &self);
            return std::nullopt;
        }
        return m_stopped ? std::nullopt : std::exchange(self.job, std::nullopt);
    }

    const worker_pool_options m_options;
    const std::function<void(Job)> m_run;
    mutable std::mutex m_mutex;
    std::condition_variable m_allEnded;
    bool m_stopped = false;
    std::deque<Job> m_jobs;
    std::list<worker> m_workers;
    /// Threads that have ended and not been joined.
    std::list<worker> m_ended;
    std::vector<worker*> m_idle;
};

} // namespace pimentomast
