#include "pimentomast/workers.h"

#include <atomic>
#include <condition_variable>
#include <criterion/criterion.h>
#include <mutex>

using namespace pimentomast;
using namespace std::chrono_literals;

namespace {

constexpr auto patience = 10s;

/// Blocks jobs until it is opened.
class gate {
public:
    void pass()
    {
        std::unique_lock lock(m_mutex);
        ++m_waiting;
        m_changed.notify_all();
        m_changed.wait(lock, [this] { return m_open; });
    }
    void open()
    {
        const std::lock_guard lock(m_mutex);
        m_open = true;
        m_changed.notify_all();
    }
    bool waitFor(unsigned jobs)
    {
        std::unique_lock lock(m_mutex);
        return m_changed.wait_for(lock, patience, [&] { return m_waiting >= jobs; });
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    unsigned m_waiting = 0;
    bool m_open = false;
};

template <class Condition>
bool eventually(const Condition& condition)
{
    for (const auto end = monotonic_clock::now() + patience; monotonic_clock::now() < end;) {
        if (condition())
            return true;
        std::this_thread::sleep_for(1ms);
    }
    return condition();
}

} // namespace

Test(workers, pool_without_work_has_one_thread)
{
    const worker_pool<int> pool({ 64 }, [](int) {});
    cr_assert_eq(pool.threads(), 1);
}

Test(workers, jobs_one_after_the_other_share_a_thread)
{
    std::atomic<int> done { 0 };
    worker_pool<int> pool({ 64 }, [&](int) { ++done; });
    for (int job = 1; job <= 50; ++job) {
        pool.push(job);
        cr_assert(eventually([&] { return done == job; }));
        std::this_thread::sleep_for(1ms);
    }
    cr_assert_leq(pool.threads(), 2);
}

Test(workers, blocked_jobs_get_a_thread_each_up_to_the_limit)
{
    gate held;
    worker_pool<int> pool({ 8 }, [&](int) { held.pass(); });
    for (int job = 0; job < 20; ++job)
        pool.push(job);
    cr_assert(held.waitFor(8));
    cr_assert_eq(pool.threads(), 8);
    held.open();
    cr_assert(held.waitFor(20), "a queued job was lost");
}

Test(workers, idle_threads_end_but_for_one)
{
    gate held;
    worker_pool<int> pool({ 8, 20ms }, [&](int) { held.pass(); });
    for (int job = 0; job < 8; ++job)
        pool.push(job);
    cr_assert(held.waitFor(8));
    held.open();
    cr_assert(eventually([&] { return pool.threads() == 1; }));
    pool.push(8);
    cr_assert(held.waitFor(9), "the pool takes no job after its threads have ended");
}

Test(workers, stop_waits_for_running_jobs_and_drops_queued_ones)
{
    gate held;
    std::atomic<int> done { 0 };
    worker_pool<int> pool({ 1 }, [&](int) {
        held.pass();
        ++done;
    });
    pool.push(0);
    cr_assert(held.waitFor(1));
    pool.push(1);
    std::thread opener([&] {
        std::this_thread::sleep_for(20ms);
        held.open();
    });
    pool.stop();
    opener.join();
    cr_assert_eq(done.load(), 1);
    pool.push(2);
    cr_assert_eq(pool.threads(), 0, "a stopped pool starts threads");
}

Test(workers, jobs_pushed_while_threads_end_are_run)
{
    std::atomic<int> done { 0 };
    worker_pool<int> pool({ 4, 1ms }, [&](int) { ++done; });
    for (int job = 1; job <= 300; ++job) {
        pool.push(job);
        std::this_thread::sleep_for(std::chrono::microseconds(900 + job));
    }
    cr_assert(eventually([&] { return done == 300; }), "%d of 300 jobs ran", done.load());
}
