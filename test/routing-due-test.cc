#include "routing-fixture.h"
#include "routing/engine.h"

#include <criterion/criterion.h>

using namespace pimentomast;
using namespace pimentomast::routing;
using namespace pimentomast::routing::testing;

namespace pimentomast::routing {

/// Searches all targets and requests for what the engine keeps in indexes.
struct engine_search {
    const engine& of;

    [[nodiscard]] instant nextDue() const
    {
        instant due = instant::max();
        for (const auto& [at, number] : of.m_backoffs)
            due = std::min(due, at);
        for (const auto& [at, number] : of.m_deadlines)
            due = std::min(due, at);
        for (const auto& [id, target] : of.m_targets)
            due = std::min(due, nextDue(target));
        for (const auto& [id, service] : of.m_services)
            due = std::min(due, nextDue(service));
        return due;
    }

    [[nodiscard]] bool isAwaited(request_number number) const
    {
        const pending_request& inFlight = of.m_requests.at(number);
        return inFlight.wasSent && !inFlight.responded;
    }

    [[nodiscard]] instant nextDue(const target_state& target) const
    {
        instant due = target.health.probeDue();
        for (const request_number number : target.inFlight) {
            const instant late = of.lateAt(of.m_requests.at(number));
            if (isAwaited(number) && late > of.m_now)
                due = std::min(due, late);
        }
        return target.waiting.empty() ? due : std::min(due, of.opensAt(target));
    }

    [[nodiscard]] instant nextDue(const service_state& service) const
    {
        instant due = instant::max();
        const duration latency = service.latency.smoothed(initialLatency);
        for (const request_number number : service.unowned) {
            const pending_request& unowned = of.m_requests.at(number);
            due = std::min(due, unowned.heldUntil);
            if (unowned.submitted.objective != instant::max())
                due = std::min(due, unowned.submitted.objective - latency);
        }
        for (const target_id& id : service.targets)
            if (!service.waiting.empty())
                due = std::min(due, of.opensAt(of.m_targets.at(id)));
        return due;
    }

    void checkProbes() const
    {
        cr_assert_eq(of.m_probes.size(), of.m_targets.size());
        for (const auto& [due, target] : of.m_probes) {
            cr_assert(due == target->health.probeDue());
            cr_assert(target == &of.m_targets.at(target->row.id));
        }
    }

    void checkUnanswered() const
    {
        std::size_t kept = 0;
        for (const auto& [service, requests] : of.m_unanswered)
            kept += requests.size();
        for (const auto& [id, target] : of.m_targets) {
            for (const request_number number : target.inFlight) {
                if (!isAwaited(number))
                    continue;
                const pending_request& inFlight = of.m_requests.at(number);
                const auto& requests = of.m_unanswered.at(inFlight.submitted.service);
                cr_assert(requests.contains({ inFlight.sent, number }));
                --kept;
            }
        }
        cr_assert_eq(kept, 0);
    }

    void checkQueues() const
    {
        for (const auto& [id, service] : of.m_services) {
            std::map<std::size_t, const target_state*> expected;
            for (std::size_t i = 0; i < service.targets.size(); ++i) {
                const target_state& target = of.m_targets.at(service.targets[i]);
                if (!target.waiting.empty())
                    expected.emplace(i, &target);
            }
            cr_assert(std::equal(service.queued.begin(), service.queued.end(), expected.begin(),
                expected.end(), [](const auto& a, const auto& b) {
                    return a.first == b.first && a.second == b.second;
                }));
        }
    }

    /// Precondition: no time has passed since a call that sets the shares.
    void checkConnections() const
    {
        for (const auto& [id, target] : of.m_targets)
            cr_assert_eq(target.connections, of.m_hosts.share(of.m_now, target.row.connections));
    }

    void checkAll() const
    {
        cr_assert_eq(of.nextDue().time_since_epoch().count(), nextDue().time_since_epoch().count());
        checkProbes();
        checkUnanswered();
        checkQueues();
    }
};

} // namespace pimentomast::routing

namespace {

constexpr unsigned serviceCount = 3;
constexpr unsigned targetsPerService = 6;

service_id serviceAt(unsigned index) { return service_id { "s" + std::to_string(index) }; }

target_id targetAt(unsigned service, unsigned index)
{
    return target_id { serviceAt(service).value() + "-t" + std::to_string(index) };
}

/// Services with odd numbers are keyed.
table::table makeServices(unsigned services, unsigned targets)
{
    table::table rows;
    for (unsigned i = 0; i < services; ++i) {
        table::service_row service;
        service.id = serviceAt(i);
        service.pathPrefix = "/" + service.id.value();
        if (i % 2 == 1)
            service.key = table::path_segment { 1 };
        rows.services.push_back(service);
        for (unsigned k = 0; k < targets; ++k) {
            table::target_row target;
            target.id = targetAt(i, k);
            target.service = service.id;
            target.slots = 2;
            rows.targets.push_back(target);
        }
    }
    return rows;
}

class changing_owners final : public owner_lookup {
public:
    unsigned round = 0;

    [[nodiscard]] owner_answer find(
        instant now, const service_id& service, key_hash key) const override
    {
        const auto which = static_cast<unsigned>(key.value()) + round;
        if (which % 7 == 0)
            return no_owner {};
        if (which % 7 == 1)
            return held_until { now + 20ms };
        const std::string target = service.value() + "-t" + std::to_string(which % 6);
        return owned_by { target_id { target }, {} };
    }
};

options randomSettings(std::mt19937_64& random)
{
    options settings;
    settings.workers = 24;
    settings.leavingGrace = 300ms;
    settings.targetsReportLoad = random() % 2 == 0;
    settings.waitsForBudget = random() % 2 == 0;
    return settings;
}

/// A host whose requests, answers, probes, tables and host counts are random.
class random_history {
public:
    explicit random_history(std::uint64_t seed)
        : m_random(seed)
        , m_host(randomSettings(m_random), m_owners)
    {
        apply(m_host.applyTable(m_now, makeServices(serviceCount, targetsPerService)));
    }

    void step()
    {
        m_now += std::chrono::milliseconds(m_random() % 12);
        switch (m_random() % 24) {
        case 0:
            return changeTable();
        case 1:
            ++m_owners.round;
            return apply(m_host.ownersChanged(m_now, serviceAt(1)));
        case 2:
            return changeHosts();
        case 3:
        case 4:
        case 5:
            return answerProbe();
        case 6:
            return apply(m_host.applyTableConfirmed(m_now, m_random() % 3 != 0));
        case 7:
            return apply(m_host.cancel(m_now, request_number { m_random() % (m_last + 1) }));
        case 8:
        case 9:
        case 10:
            apply(m_host.tick(m_now));
            return search().checkConnections();
        default:
            return m_random() % 3 == 0 ? arrive() : advanceRequest();
        }
    }

    [[nodiscard]] engine_search search() const { return { m_host }; }

private:
    void apply(const actions& returned)
    {
        for (const action& each : returned) {
            if (const auto* started = std::get_if<dispatch>(&each))
                m_inFlight.push_back(*started);
            if (const auto* started = std::get_if<probe>(&each))
                m_probes.push_back(started->target);
        }
    }

    void changeTable()
    {
        table::table rows = makeServices(2 + m_random() % 2, targetsPerService);
        std::erase_if(rows.targets, [this](const auto&) { return m_random() % 5 == 0; });
        for (table::target_row& each : rows.targets) {
            if (m_random() % 5 == 0)
                each.state = table::mark::Leaving;
            if (m_random() % 30 == 0)
                each.service = serviceAt(1 - static_cast<unsigned>(m_random() % 2));
            each.connections = 16 + 8 * static_cast<unsigned>(m_random() % 2);
        }
        apply(m_host.applyTable(m_now, rows));
        search().checkConnections();
    }

    void changeHosts()
    {
        const auto count = static_cast<unsigned>(m_random() % 40);
        apply(m_host.applyLiveHosts(m_now, count < 3 ? std::nullopt : std::optional(count)));
        search().checkConnections();
    }

    void answerProbe()
    {
        if (m_probes.empty())
            return;
        const target_id target = m_probes.front();
        m_probes.pop_front();
        if (m_random() % 4 == 0)
            return;
        probe_result result = probe_failed { m_random() % 2 == 0 };
        if (m_random() % 4 != 0)
            result = probe_answered { { incarnation { m_random() % 20 / 19 }, 0, 0, 2 }, 1ms };
        apply(m_host.probed(m_now, target, result));
    }

    void arrive()
    {
        request made;
        made.number = request_number { ++m_last };
        const auto service = static_cast<unsigned>(m_random() % serviceCount);
        made.service = serviceAt(service);
        if (service % 2 == 1)
            made.key = key_hash { m_random() % 50 };
        made.caller = caller_id { "c" + std::to_string(m_random() % 4) };
        made.repeatable = m_random() % 2 == 0;
        made.arrival = m_now;
        made.deadline = m_now + std::chrono::milliseconds(50 + m_random() % 3000);
        if (m_random() % 3 == 0)
            made.objective = m_now + 200ms;
        made.requestFingerprint = fingerprint { m_random() % 300 };
        apply(m_host.arrive(m_now, made));
    }

    void advanceRequest()
    {
        if (m_inFlight.empty())
            return;
        const std::size_t index = m_random() % m_inFlight.size();
        const dispatch attempt = m_inFlight[index];
        const auto what = m_random() % 4;
        if (what < 2)
            return apply(m_host.sent(m_now, attempt.number, attempt.attempt, m_now - 1s));
        if (what == 2)
            return apply(m_host.responded(m_now, attempt.number, attempt.attempt));
        m_inFlight.erase(m_inFlight.begin() + static_cast<std::ptrdiff_t>(index));
        apply(m_host.finish(m_now, attempt.number, attempt.attempt, randomResult()));
    }

    attempt_result randomResult()
    {
        switch (m_random() % 12) {
        case 0:
            return shed { 50ms };
        case 1:
            return broken {};
        case 2:
            return connect_failed { m_random() % 2 == 0 };
        case 3:
            return draining {};
        case 4:
            return token_refused {};
        case 5:
            return timed_out {};
        case 6:
            return answered { 500, 1ms, 2ms };
        default:
            return answered { 200, std::chrono::milliseconds(m_random() % 300), 400ms };
        }
    }

    std::mt19937_64 m_random;
    changing_owners m_owners;
    engine m_host;
    instant m_now { 1000s };
    std::uint64_t m_last = 0;
    std::vector<dispatch> m_inFlight;
    std::deque<target_id> m_probes;
};

} // namespace

Test(routing_due, kept_due_time_is_that_of_a_search_after_any_history)
{
    constexpr std::uint64_t histories = 60;
    constexpr unsigned steps = 2000;
    for (std::uint64_t seed = 1; seed <= histories; ++seed) {
        random_history history(seed);
        for (unsigned step = 0; step < steps; ++step) {
            history.step();
            history.search().checkAll();
        }
    }
}

Test(routing_due, timer_with_nothing_due_visits_no_idle_target)
{
    fixed_owners owners;
    engine host({}, owners);
    const instant start { 1000s };
    host.applyTable(start, makeServices(2, 250));
    host.applyLiveHosts(start, 12);
    for (const action& each : host.tick(start))
        host.probed(start, std::get<probe>(each).target, probe_answered {});
    const instant idle = start + 10ms;
    const std::uint64_t before = host.targetVisits();
    cr_assert(host.nextDue() > idle);
    cr_assert(host.tick(idle).empty());
    cr_assert(host.applyLiveHosts(idle, 12).empty());
    cr_assert_eq(host.targetVisits() - before, 0);
}
