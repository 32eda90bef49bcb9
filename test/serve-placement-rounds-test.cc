#include "serve/placement_rounds.h"

#include <criterion/criterion.h>
#include <future>

using namespace pimentomast;
using namespace pimentomast::serve::detail;
using namespace std::chrono_literals;

namespace {

/// Far longer than even a busy machine needs.
constexpr std::chrono::seconds waitTimeout { 60 };

/// Keeps rows in memory.
class memory_store : public store::services {
public:
    result<std::optional<store::row>> read(const std::string& key) override
    {
        const std::lock_guard guard(m_lock);
        const auto found = m_rows.find(key);
        return found == m_rows.end() ? std::nullopt : std::optional(found->second);
    }

    store::write_outcome write(const std::string& key, row_version expected,
        const std::string& value, const store::write_id& id) override
    {
        const std::lock_guard guard(m_lock);
        auto& row = m_rows[key];
        if (row.version != expected)
            return store::write_conflict { row };
        row = { key, value, row_version { row.version.value() + 1 }, id };
        return store::write_accepted { row.version };
    }

    result<void> putObject(const std::string&, const std::string&) override
    {
        return boost::outcome_v2::success();
    }
    result<std::optional<std::string>> getObject(const std::string&) override
    {
        return std::optional<std::string> {};
    }
    result<std::vector<store::listed_host>> hosts() override
    {
        return std::vector<store::listed_host> {};
    }

private:
    std::mutex m_lock;
    std::map<std::string, store::row> m_rows;
};

/// Every target accepts every grant at once.
class willing_targets final : public grant_sender {
public:
    ownership::event send(const ownership::send_grant& action) override
    {
        ownership::grant_reply reply;
        reply.target = incarnation { 1 };
        reply.clockUs = clockUs(monotonic_clock::now());
        reply.highest = action.message.coordinator;
        for (const auto& each : action.message.slices)
            reply.held.push_back({ each.range, each.grant, false });
        return ownership::target_acknowledged { action.request, action.target, reply };
    }
};

const service_id service { "keyed" };

std::shared_ptr<const table::table> tableWith(std::uint64_t version, unsigned targets)
{
    auto made = std::make_shared<table::table>();
    made->version = config_version { version };
    table::service_row row;
    row.id = service;
    row.key = table::path_segment { 1 };
    made->services.push_back(row);
    for (unsigned i = 0; i < targets; ++i) {
        table::target_row target;
        target.id = target_id { "t" + std::to_string(i) };
        target.service = service;
        target.address = { "127.0.0.1", 1 };
        made->targets.push_back(target);
    }
    return made;
}

/// A coordinator that holds its service, and its placement, whose plans last until finishPlan().
class fixture {
public:
    fixture()
    {
        applyTable(1, 2);
        m_coordinators->applyMembership({ { host_id { "h" }, incarnation { 1 }, {} } }, true);
    }
    ~fixture() { finishPlan(); }

    /// Returns false if the coordinator did not get as far as a plan.
    bool runUntilPlan()
    {
        const auto ends = monotonic_clock::now() + waitTimeout;
        while (monotonic_clock::now() < ends) {
            if (m_planning.wait_for(10ms) == std::future_status::ready)
                return true;
            m_coordinators->tick();
        }
        return false;
    }

    void applyTable(std::uint64_t version, unsigned targets)
    {
        const auto table = tableWith(version, targets);
        m_routes.putTable(table);
        m_coordinators->applyTable(*table);
    }

    void tick() { m_coordinators->tick(); }
    void addLoad() { m_placement.addLoad(host_id { "h" }, {}); }

    void finishPlan()
    {
        if (!std::exchange(m_finished, true))
            m_finish.set_value();
    }

private:
    static coordinator_driver_options driverOptions()
    {
        coordinator_driver_options options;
        options.self = { host_id { "h" }, incarnation { 1 } };
        return options;
    }

    void onPlan()
    {
        if (std::exchange(m_planned, true))
            return;
        m_started.set_value();
        m_finishing.wait();
    }

    memory_store m_store;
    peer_registry m_peers {
        membership::host_view::create({ host_id { "h" }, incarnation { 1 }, {} }).value()
    };
    directory m_routes { incarnation { 1 }, 1s };
    std::promise<void> m_started;
    std::future<void> m_planning { m_started.get_future() };
    std::promise<void> m_finish;
    std::shared_future<void> m_finishing { m_finish.get_future() };
    bool m_planned = false;
    bool m_finished = false;
    std::unique_ptr<coordinator_driver> m_coordinators { coordinator_driver::create(driverOptions(),
        m_store, m_peers, m_routes, std::make_unique<willing_targets>(),
        { [](const auto&) {},
            [](const auto&, const auto&, const auto&) {} }).value() };
    placement_rounds m_placement { { {}, 10ms }, *m_coordinators, m_routes,
        [this](const auto&) { onPlan(); } };
};

} // namespace

Test(serve_placement_rounds, plan_under_way_delays_no_table_renewal_or_report)
{
    fixture host;
    cr_assert(host.runUntilPlan());
    auto work = std::async(std::launch::async, [&] {
        host.applyTable(2, 3);
        host.tick();
        host.addLoad();
    });
    const auto outcome = work.wait_for(waitTimeout);
    host.finishPlan();
    cr_assert(outcome == std::future_status::ready);
}
