#include "routing/fair_queue.h"

#include <criterion/criterion.h>
#include <map>
#include <rapidcheck.h>

using namespace pimentomast;
using namespace pimentomast::routing;

namespace {

constexpr double quantum = 2;

/// Reference implementation of deficit round robin over plain vectors, not optimized.
class reference_queue {
public:
    void push(std::uint64_t number, int caller, double cost, bool inFront)
    {
        if (!knows(caller))
            m_new.push_back({ caller, quantum, {} });
        for (auto* turns : { &m_new, &m_old })
            for (flow& each : *turns)
                if (each.caller == caller)
                    each.items.insert(
                        inFront ? each.items.begin() : each.items.end(), { number, cost });
    }
    std::uint64_t pop()
    {
        while (true) {
            auto& turns = m_new.empty() ? m_old : m_new;
            flow& first = turns.front();
            if (first.items.empty() && m_new.empty()) {
                m_old.erase(m_old.begin());
                continue;
            }
            if (!first.items.empty() && first.deficit >= first.items.front().second) {
                const auto [number, cost] = first.items.front();
                first.deficit -= cost;
                first.items.erase(first.items.begin());
                if (waiting() == 0) {
                    m_new.clear();
                    m_old.clear();
                }
                return number;
            }
            flow moved = first;
            moved.deficit += quantum;
            turns.erase(turns.begin());
            m_old.push_back(moved);
        }
    }
    [[nodiscard]] std::size_t waiting() const
    {
        std::size_t sum = 0;
        for (const auto* turns : { &m_new, &m_old })
            for (const flow& each : *turns)
                sum += each.items.size();
        return sum;
    }

private:
    struct flow {
        int caller = 0;
        double deficit = 0;
        std::vector<std::pair<std::uint64_t, double>> items;
    };
    [[nodiscard]] bool knows(int caller) const
    {
        for (const auto* turns : { &m_new, &m_old })
            for (const flow& each : *turns)
                if (each.caller == caller)
                    return true;
        return false;
    }

    std::vector<flow> m_new;
    std::vector<flow> m_old;
};

caller_id callerOf(int index) { return caller_id { "c" + std::to_string(index) }; }

} // namespace

Test(routing_fair_queue, serves_in_the_order_of_the_reference)
{
    const bool holds = rc::check("fair queue equals reference version", [] {
        fair_queue actual(quantum);
        reference_queue reference;
        std::uint64_t last = 0;
        const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 1000));
        for (const int step : steps) {
            RC_ASSERT(actual.size() == reference.waiting());
            if (step % 3 == 0 && !actual.empty()) {
                const auto number = actual.front().value();
                actual.pop();
                RC_ASSERT(number.value() == reference.pop());
                continue;
            }
            const int caller = step % 4;
            const double cost = 0.25 * (1 + step % 17);
            const bool inFront = step % 5 == 0;
            ++last;
            reference.push(last, caller, cost, inFront);
            if (inFront)
                actual.pushFront(request_number { last }, callerOf(caller), cost);
            else
                actual.push(request_number { last }, callerOf(caller), cost);
        }
    });
    cr_assert(holds);
}

Test(routing_fair_queue, busy_callers_get_equal_cost_whatever_they_send)
{
    fair_queue queue(quantum);
    std::map<std::uint64_t, double> costs;
    std::uint64_t number = 0;
    for (int i = 0; i < 400; ++i) {
        queue.push(request_number { ++number }, callerOf(0), 4);
        queue.push(request_number { ++number }, callerOf(1), 1);
    }
    double heavy = 0;
    double light = 0;
    for (int i = 0; i < 200; ++i) {
        const bool isHeavy = queue.front()->value() % 2 == 1;
        (isHeavy ? heavy : light) += isHeavy ? 4 : 1;
        queue.pop();
    }
    cr_assert_float_eq(heavy, light, 8);
}

Test(routing_fair_queue, erased_requests_are_never_served)
{
    fair_queue queue(quantum);
    queue.push(request_number { 1 }, callerOf(0), 1);
    queue.push(request_number { 2 }, callerOf(1), 1);
    cr_assert(queue.erase(request_number { 1 }, callerOf(0)));
    cr_assert_not(queue.erase(request_number { 1 }, callerOf(0)));
    cr_assert(queue.front() == request_number { 2 });
    queue.pop();
    cr_assert(queue.empty());
}
