#include "pimentomast/ownership.h"
#include "serve/grant_codec.h"
#include "serve/load.h"
#include "serve/wire.h"

#include <ctime>
#include <iomanip>
#include <iostream>
#include <map>
#include <optional>

/// Measures the cost of the control plane at several sizes within one process: messages, bytes, CPU
/// time, and reads and writes at the platform. Network and kernel time are not included.
namespace {

using namespace pimentomast;
using namespace std::chrono_literals;

constexpr auto tickMs = 10ms;
constexpr auto warmUpS = 5s;
constexpr auto measuredS = 20s;
constexpr unsigned slicesPerTarget = 8;

double processorSeconds()
{
    timespec reading {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &reading);
    return static_cast<double>(reading.tv_sec) + static_cast<double>(reading.tv_nsec) * 1e-9;
}

/// Sums the CPU time of the calls that it runs.
class cpu_timer {
public:
    template <class Call>
    auto run(const Call& call)
    {
        const double started = processorSeconds();
        auto value = call();
        m_seconds += processorSeconds() - started;
        return value;
    }
    void reset() noexcept { m_seconds = 0; }
    [[nodiscard]] double seconds() const noexcept { return m_seconds; }

private:
    double m_seconds = 0;
};

struct counts {
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t grants = 0;
    std::uint64_t grantBytes = 0;
    std::uint64_t witnessRequests = 0;
};

/// One service with its coordinators, a store that always answers and targets that accept every
/// grant.
class service_model {
public:
    service_model(unsigned hosts, unsigned targets)
    {
        makeTargets(targets);
        std::vector<ownership::host_run> live;
        for (unsigned i = 0; i < hosts; ++i)
            live.push_back({ host_id { "host" + std::to_string(i) }, incarnation { i + 1 } });
        for (const auto& self : live) {
            auto made = ownership::coordinator::create(
                { service_id { "weights" }, self, self.run.value() << 32U, {} });
            m_hosts.push_back({ self, std::move(made).value(), {} });
        }
        writeEvenAssignment();
        for (std::size_t i = 0; i < m_hosts.size(); ++i) {
            deliver(i, ownership::membership_changed { live });
            deliver(i, ownership::table_changed { m_targets });
        }
    }

    void run(duration span)
    {
        const auto end = m_now + span;
        while (m_now < end) {
            m_now += tickMs;
            for (std::size_t i = 0; i < m_hosts.size(); ++i)
                deliver(i, ownership::tick {});
        }
    }

    void resetCounts()
    {
        m_counts = {};
        m_holderTime.reset();
        m_standbyTime.reset();
        m_codecTime.reset();
    }

    [[nodiscard]] const counts& total() const noexcept { return m_counts; }
    [[nodiscard]] double holderSeconds() const noexcept { return m_holderTime.seconds(); }
    [[nodiscard]] double standbySeconds() const noexcept { return m_standbyTime.seconds(); }
    [[nodiscard]] double codecSeconds() const noexcept { return m_codecTime.seconds(); }

private:
    struct host {
        ownership::host_run self;
        ownership::coordinator core;
        std::uint64_t queries = 0;
    };

    void makeTargets(unsigned count)
    {
        for (unsigned i = 0; i < count; ++i) {
            table::target_row row;
            row.id = target_id { "target" + std::to_string(i) };
            row.service = service_id { "weights" };
            row.address = { "127.0.0.1", static_cast<std::uint16_t>(1000 + i) };
            row.domain = domain_id { "north" };
            m_targets.push_back(row);
        }
    }

    /// Stores an assignment of slicesPerTarget slices for each target, as after some time in
    /// service.
    void writeEvenAssignment()
    {
        ownership::assignment even;
        even.service = service_id { "weights" };
        even.number = sequence { 1 };
        const auto count = slicesPerTarget * m_targets.size();
        const auto width = ~std::uint64_t { 0 } / count;
        for (std::size_t i = 0; i < count; ++i) {
            const auto first = i * width;
            const auto last = i + 1 == count ? ~std::uint64_t { 0 } : first + width - 1;
            even.slices.push_back({ { key_hash { first }, key_hash { last } },
                m_targets[i % m_targets.size()].id, { epoch {}, sequence { 1 } }, {} });
        }
        const auto key = ownership::assignmentKey(even.service);
        m_rows[key] = { key, ownership::format(even), row_version { 1 }, {} };
    }

    void deliver(std::size_t index, const ownership::event& event)
    {
        auto& receiver = m_hosts[index];
        const bool holds = receiver.core.currentRole() == ownership::role::Holder;
        auto& timer = holds ? m_holderTime : m_standbyTime;
        const auto actions = timer.run([&] { return receiver.core.step(m_now, event); });
        for (const auto& each : actions)
            std::visit([&](const auto& action) { perform(index, action); }, each);
    }

    std::optional<store::row> find(const std::string& key) const
    {
        const auto found = m_rows.find(key);
        return found == m_rows.end() ? std::nullopt : std::optional(found->second);
    }

    void perform(std::size_t index, const ownership::read_row& action)
    {
        ++m_counts.reads;
        deliver(index, ownership::row_read { action.request, find(action.key) });
    }

    void perform(std::size_t index, const ownership::write_row& action)
    {
        ++m_counts.writes;
        const auto current = find(action.key);
        const auto version = current ? current->version : row_version {};
        if (version != action.expected) {
            deliver(index,
                ownership::write_finished { action.request, store::write_conflict { current } });
            return;
        }
        const row_version next { version.value() + 1 };
        m_rows[action.key] = { action.key, action.value, next, action.writer };
        deliver(
            index, ownership::write_finished { action.request, store::write_accepted { next } });
    }

    void perform(std::size_t index, const ownership::send_grant& action)
    {
        ++m_counts.grants;
        const auto text = m_codecTime.run([&] { return serve::detail::format(action.message); });
        m_counts.grantBytes += text.size();
        auto& held = m_held[action.target];
        const bool repeats = action.message.repeats != sequence {};
        if (!action.message.adopt && !repeats) {
            held.clear();
            for (const auto& granted : action.message.slices)
                held.push_back({ granted.range, granted.grant, false });
        }
        ownership::grant_reply reply;
        reply.target = incarnation { 1 };
        reply.clockUs = static_cast<std::uint64_t>(m_now.time_since_epoch().count()) + 1;
        reply.highest = action.message.coordinator;
        reply.repeats = action.message.repeats;
        if (!repeats)
            reply.held = held;
        deliver(index, ownership::target_acknowledged { action.request, action.target, reply });
    }

    void perform(std::size_t index, const ownership::ask_witness& action)
    {
        ++m_counts.witnessRequests;
        for (auto& asked : m_hosts) {
            if (asked.self.host != action.host)
                continue;
            const auto actions = asked.core.step(
                m_now, ownership::witness_asked { ++asked.queries, action.asked, action.takeOver });
            for (const auto& each : actions) {
                const auto* answer = std::get_if<ownership::answer_witness>(&each);
                if (answer)
                    deliver(index,
                        ownership::witness_answered {
                            action.request, action.host, answer->answer });
            }
        }
    }

    void perform(std::size_t index, const ownership::hold_slices& action)
    {
        deliver(index, ownership::hold_answered { action.request, action.host });
    }

    void perform(std::size_t, const ownership::answer_witness&) { }
    void perform(std::size_t, const ownership::publish_assignment&) { }
    void perform(std::size_t, const ownership::renew_route&) { }
    void perform(std::size_t, const ownership::role_changed&) { }

    instant m_now { 1000s };
    std::vector<table::target_row> m_targets;
    std::vector<host> m_hosts;
    std::map<std::string, store::row> m_rows;
    std::map<target_id, std::vector<ownership::held_slice>> m_held;
    counts m_counts;
    cpu_timer m_holderTime;
    cpu_timer m_standbyTime;
    cpu_timer m_codecTime;
};

void measureCoordinator(unsigned hosts, unsigned targets)
{
    service_model model(hosts, targets);
    model.run(warmUpS);
    model.resetCounts();
    model.run(measuredS);
    const double seconds = std::chrono::duration<double>(measuredS).count();
    const auto& total = model.total();
    std::cout << std::setw(6) << hosts << std::setw(8) << targets << std::fixed
              << std::setprecision(1) << std::setw(10) << static_cast<double>(total.reads) / seconds
              << std::setw(10) << static_cast<double>(total.writes) / seconds << std::setw(12)
              << static_cast<double>(total.grants) / seconds << std::setw(14)
              << static_cast<double>(total.grantBytes) / seconds / 1000 << std::setprecision(3)
              << std::setw(12) << model.holderSeconds() / seconds * 100 << std::setw(12)
              << model.codecSeconds() / seconds * 100 << std::setw(14)
              << model.standbySeconds() / seconds * 100 / (hosts > 1 ? hosts - 1 : 1) << "\n";
}

ownership::assignment assignmentOf(std::size_t slices)
{
    ownership::assignment value;
    value.service = service_id { "weights" };
    value.coordinator = epoch { 3 };
    value.number = sequence { 9 };
    const auto width = ~std::uint64_t { 0 } / slices;
    for (std::size_t i = 0; i < slices; ++i) {
        const auto last = i + 1 == slices ? ~std::uint64_t { 0 } : (i + 1) * width - 1;
        value.slices.push_back({ { key_hash { i * width }, key_hash { last } },
            target_id { "target" + std::to_string(i % 770) }, { epoch { 3 }, sequence { 9 } },
            {} });
    }
    return value;
}

void measureAssignment(std::size_t slices)
{
    constexpr int rounds = 20;
    const auto value = assignmentOf(slices);
    cpu_timer row;
    cpu_timer wire;
    std::size_t rowBytes = 0;
    std::size_t wireBytes = 0;
    for (int i = 0; i < rounds; ++i) {
        const auto text = row.run([&] { return ownership::format(value); });
        rowBytes = text.size();
        (void)row.run([&] { return ownership::parseAssignment(text).has_value(); });
        const auto bytes = wire.run(
            [&] { return serve::detail::toWire(value, host_id { "host1" }).SerializeAsString(); });
        wireBytes = bytes.size();
        (void)wire.run([&] {
            peers::wire::Assignment message;
            return message.ParseFromString(bytes) && serve::detail::fromWire(message).has_value();
        });
    }
    std::cout << std::setw(8) << slices << std::setw(12) << rowBytes << std::setw(12) << wireBytes
              << std::setprecision(3) << std::setw(14) << row.seconds() / rounds * 1000
              << std::setw(14) << wire.seconds() / rounds * 1000 << "\n";
}

void measureLoads(std::size_t slices)
{
    constexpr unsigned hosts = 12;
    constexpr unsigned rounds = 5;
    const auto owned = assignmentOf(slices).slices;
    std::vector<slice> ranges;
    serve::detail::load_meter meter;
    const service_id service { "weights" };
    for (const auto& each : owned) {
        ranges.push_back(each.range);
        meter.count(instant { 1000s }, service, each.range, each.range.first);
    }
    const auto load = meter.report(instant { 1001s }, service);
    const double interval = std::chrono::duration<double>(
        serve::detail::reportInterval(load.ByteSizeLong(), hosts, std::chrono::seconds { 1 }))
                                .count();
    serve::detail::load_aggregator sum;
    cpu_timer receiving;
    cpu_timer aggregating;
    for (unsigned round = 0; round < rounds; ++round) {
        const instant now { 1001s + std::chrono::seconds(round) };
        for (unsigned host = 0; host < hosts; ++host)
            (void)receiving.run([&] {
                sum.addReport(now, host_id { "host" + std::to_string(host) }, load);
                return true;
            });
        (void)aggregating.run([&] { return sum.rates(now, ranges); });
    }
    std::cout << std::setw(8) << slices << std::setw(10) << load.ByteSizeLong() << std::setw(12)
              << std::setprecision(1) << interval << std::setw(10)
              << static_cast<double>(load.ByteSizeLong()) / interval / 1000 << std::setw(12)
              << std::setprecision(3) << receiving.seconds() / rounds / interval * 100
              << std::setw(12) << aggregating.seconds() / rounds * 100 << "\n";
}

void measureDigest(unsigned services)
{
    constexpr int rounds = 200;
    cpu_timer codec;
    std::size_t size = 0;
    for (int i = 0; i < rounds; ++i) {
        const auto bytes = codec.run([&] {
            peers::wire::Digest digest;
            digest.set_host("host1");
            for (unsigned each = 0; each < services; ++each) {
                auto* known = digest.add_assignments();
                known->set_service("service" + std::to_string(each));
                known->set_epoch(3);
                known->set_sequence(900);
            }
            return digest.SerializeAsString();
        });
        size = bytes.size();
        (void)codec.run([&] {
            peers::wire::Digest digest;
            return digest.ParseFromString(bytes);
        });
    }
    std::cout << std::setw(10) << services << std::setw(10) << size << std::setw(14)
              << std::setprecision(1) << codec.seconds() / rounds * 1e6 << "\n";
}

} // namespace

int main()
{
    std::cout
        << "One service: hosts, targets (8 slices each); all hosts' reads/s and writes/s at the\n"
           "platform; grants/s, KB/s of grants, % of a core for decisions and for the codec at\n"
           "the coordinator; % of a core for decisions at each other host.\n"
           " hosts targets   reads/s  writes/s    grants/s     grant KB/s  decide %     "
           "codec %     standby %\n";
    for (const unsigned targets : { 8U, 24U, 64U, 128U })
        measureCoordinator(12, targets);
    for (const unsigned hosts : { 3U, 24U, 96U })
        measureCoordinator(hosts, 24);
    std::cout
        << "\nAssignment: slices, bytes of the row, bytes between hosts, ms to write and read\n"
           "the row, ms to encode and decode the message.\n";
    for (const std::size_t slices : { 200U, 1000U, 2000U, 6000U })
        measureAssignment(slices);
    std::cout
        << "\nLoad reports of 12 hosts: slices, bytes of a host's report, s between reports, KB/s "
           "of a host,\n% of a core to receive and % of a core to aggregate them each second, at "
           "the coordinator.\n";
    for (const std::size_t slices : { 200U, 500U, 1000U, 2000U })
        measureLoads(slices);
    std::cout << "\nDigest: services, bytes, microseconds to encode and decode it.\n";
    for (const unsigned services : { 5U, 50U, 200U })
        measureDigest(services);
    return 0;
}
