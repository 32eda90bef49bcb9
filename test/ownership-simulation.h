#pragma once

#include "ownership-oracle.h"

#include <functional>
#include <random>

/// Deterministic simulation of coordinators with a fake store and a network that delays and drops
/// messages. All random choices are derived from one seed.
namespace ownership_simulation {

class simulation {
public:
    explicit simulation(const options& chosen)
        : listedTargets(chosen.listedTargets)
        , m_options(chosen)
        , m_random(chosen.seed)
    {
        for (int i = 0; i < chosen.targets; ++i) {
            fake_target target;
            target.id = target_id { "t" + std::to_string(i) };
            target.clockOffsetUs = between(1'000'000, 90'000'000);
            target.rate = drawRate();
            targets.push_back(std::move(target));
        }
        hosts.resize(static_cast<std::size_t>(chosen.hosts));
        for (int i = 0; i < chosen.hosts; ++i)
            restartHost(i);
    }

    // Queued jobs refer to this object.
    simulation(const simulation&) = delete;
    simulation& operator=(const simulation&) = delete;

    std::int64_t now = 10'000'000;
    faults activeFaults;
    std::vector<fake_target> targets;
    std::vector<fake_host> hosts;
    std::map<target_id, table::mark> marks;
    /// Number of targets, from the first, that the table lists.
    int listedTargets;
    /// Description of a violation; empty as long as the invariants hold.
    std::string violation;
    std::map<std::string, store::row> rows;
    /// Messages by which coordinators asked hosts to hold requests.
    std::size_t holdMessages = 0;
    /// Number of the next grants of slices to each target that fail at once.
    std::map<target_id, int> failingGrants;
    /// Messages by which coordinators granted slices.
    std::map<target_id, std::size_t> grantMessages;

    std::int64_t between(std::int64_t low, std::int64_t high)
    {
        return std::uniform_int_distribution<std::int64_t>(low, high)(m_random);
    }
    bool chance(double probability) { return std::bernoulli_distribution(probability)(m_random); }

    void runFor(milliseconds span)
    {
        const auto end = now + std::chrono::microseconds(span).count();
        while (!m_queue.empty() && m_queue.begin()->first <= end && violation.empty()) {
            auto next = m_queue.extract(m_queue.begin());
            now = next.key();
            next.mapped()();
            checkOwners();
        }
        now = end;
    }

    void restartHost(int index)
    {
        auto& host = hosts[static_cast<std::size_t>(index)];
        host = {};
        host.id = { host_id { "h" + std::to_string(index) }, incarnation { ++m_runs } };
        host.clockOffsetUs = between(0, 50'000'000);
        host.rate = drawRate();
        host.coordination.emplace(
            coordinator::create({ service, host.id, m_runs << 32U, m_options.times }).value());
        sendTable(index);
        for (int i = 0; i < static_cast<int>(hosts.size()); ++i)
            sendMembership(i);
        tickHost(index, host.id.run);
    }

    void restartTarget(int index)
    {
        auto& target = targets[static_cast<std::size_t>(index)];
        target.run = incarnation { ++m_runs + 1000 };
        target.clockOffsetUs = between(1'000'000, 90'000'000);
        target.highest = {};
        target.last = {};
        target.listNumber = {};
        target.held.clear();
        target.leaseEndsUs = 0;
        target.frozenUntil = 0;
    }

    void sendTable(int index) { deliver(index, runOf(index), table_changed { tableRows() }); }

    void want(const std::vector<wanted_slice>& wanted) { place({ wanted, {} }); }
    void place(const placement_wanted& wanted)
    {
        for (int i = 0; i < static_cast<int>(hosts.size()); ++i)
            deliver(i, runOf(i), wanted);
    }

    /// Keeps a copy of the store's rows.
    void copyStore() { m_copy = rows; }

    /// The store comes back from the last copy, or empty without one, in a new era.
    void restoreStore()
    {
        ++m_era;
        rows = m_copy;
        for (auto& [key, row] : rows)
            row.version = versionOf(row.version.value());
    }

    void stopHost(int index) { deliver(index, runOf(index), stop {}); }

    incarnation runOf(int index) const { return hosts[static_cast<std::size_t>(index)].id.run; }

    std::optional<int> holder() const
    {
        std::optional<int> found;
        for (int i = 0; i < static_cast<int>(hosts.size()); ++i) {
            const auto& coordination = hosts[static_cast<std::size_t>(i)].coordination;
            if (coordination->currentRole() == role::Holder)
                found = i;
        }
        return found;
    }

    int lastHost() const { return static_cast<int>(hosts.size()) - 1; }

    static key_hash sample(int index) { return sampledHash(index); }

    int owners(key_hash hash) const
    {
        return static_cast<int>(std::count_if(targets.begin(), targets.end(),
            [&](const auto& each) { return each.holds(now, hash); }));
    }

    /// Whether some target holds the key and is not frozen.
    bool served(key_hash hash) const
    {
        return std::any_of(targets.begin(), targets.end(),
            [&](const auto& each) { return now >= each.frozenUntil && each.holds(now, hash); });
    }

    instant hostTime(const fake_host& host) const
    {
        return instant { std::chrono::microseconds(scaled(now, host.rate) + host.clockOffsetUs) };
    }

private:
    using job = std::function<void()>;

    void at(std::int64_t when, job operation) { m_queue.emplace(when, std::move(operation)); }

    double drawRate()
    {
        const double drift = m_options.drift;
        return drift > 0 ? std::uniform_real_distribution<double>(1 - drift, 1 + drift)(m_random)
                         : 1;
    }

    std::int64_t delay()
    {
        return chance(activeFaults.longDelay) ? between(10'000, 3'000'000) : between(500, 5'000);
    }

    /// Delivers a message between two nodes, unless it is lost or the link in its direction is cut.
    void send(int from, int to, job operation)
    {
        if (activeFaults.cuts.contains({ from, to }) || chance(activeFaults.loss))
            return;
        at(now + delay(), std::move(operation));
    }

    std::vector<table::target_row> tableRows()
    {
        std::vector<table::target_row> all;
        for (const auto& each : targets) {
            if (static_cast<int>(all.size()) == listedTargets)
                break;
            table::target_row row;
            row.id = each.id;
            row.service = service;
            row.address = { "127.0.0.1", 1 };
            row.checksTokens = m_options.checksTokens;
            row.state = marks[each.id];
            all.push_back(std::move(row));
        }
        return all;
    }

    void sendMembership(int index)
    {
        std::vector<host_run> live;
        for (const auto& each : hosts) {
            if (each.coordination)
                live.push_back(each.id);
        }
        deliver(index, runOf(index), membership_changed { live });
    }

    void tickHost(int index, incarnation run)
    {
        if (runOf(index) != run)
            return;
        deliver(index, run, tick {});
        at(now + 25'000, [=, this] { tickHost(index, run); });
    }

    /// Delivers an event to a run of a host; if the host is paused, after the pause.
    void deliver(int index, incarnation run, const event& received)
    {
        auto& host = hosts[static_cast<std::size_t>(index)];
        if (host.id.run != run || !host.coordination)
            return;
        if (now < host.pausedUntil) {
            at(host.pausedUntil, [=, this] { deliver(index, run, received); });
            return;
        }
        const auto actions = host.coordination->step(hostTime(host), received);
        for (const auto& each : actions) {
            if (chance(activeFaults.pauseBeforeSend))
                host.pausedUntil = std::max(host.pausedUntil, now + between(100'000, 4'000'000));
            at(std::max(now, host.pausedUntil), [=, this] {
                if (runOf(index) == run)
                    std::visit([&](const auto& one) { perform(index, run, one); }, each);
            });
        }
    }

    void perform(int index, incarnation run, const read_row& operation)
    {
        send(index, storeNode, [=, this] {
            event answer = row_read_failed { operation.request };
            if (!activeFaults.outage) {
                const auto found = rows.find(operation.key);
                const bool exists = found != rows.end();
                answer = row_read { operation.request,
                    exists ? std::optional(found->second) : std::nullopt };
            }
            const event late = row_read_failed { operation.request };
            send(storeNode, index,
                [=, this, era = m_era] { deliverFromStore(index, run, era, answer, late); });
        });
    }

    void perform(int index, incarnation run, const write_row& operation)
    {
        send(index, storeNode, [=, this] {
            const auto outcome = activeFaults.outage
                ? store::write_outcome { store::write_refused {} }
                : store(operation);
            if (chance(activeFaults.lostReply))
                return;
            const event answer = write_finished { operation.request, outcome };
            const event late = write_finished { operation.request, store::write_unknown {} };
            send(storeNode, index,
                [=, this, era = m_era] { deliverFromStore(index, run, era, answer, late); });
        });
    }

    /// Delivers a response as a client of the store does: late if a response of a later era has
    /// arrived at the host before.
    void deliverFromStore(
        int index, incarnation run, std::uint64_t era, const event& answer, const event& late)
    {
        auto& host = hosts[static_cast<std::size_t>(index)];
        if (host.id.run != run)
            return;
        if (era < host.era)
            return deliver(index, run, late);
        host.era = era;
        if (era > 0)
            deliver(index, run, store_restored { era });
        deliver(index, run, answer);
    }

    [[nodiscard]] row_version versionOf(std::uint64_t version) const
    {
        const auto count = version & ((std::uint64_t { 1 } << store::versionBits) - 1);
        return row_version { (m_era << store::versionBits) | count };
    }

    store::write_outcome store(const write_row& operation)
    {
        // A client sends no condition of an earlier era: that the numbers of two eras happen to be
        // equal is left out here.
        const auto found = rows.find(operation.key);
        if (found == rows.end() && operation.expected != row_version {})
            return store::write_conflict {};
        auto& row = rows[operation.key];
        if (row.version != operation.expected)
            return store::write_conflict { row };
        row = { operation.key, operation.value, versionOf(row.version.value() + 1),
            operation.writer };
        if (operation.key == coordinatorKey(service))
            recordViolation(m_oracle.coordinated(operation.value));
        if (operation.key == assignmentKey(service))
            recordViolation(m_oracle.committed(operation.value));
        return store::write_accepted { row.version };
    }

    void perform(int index, incarnation run, const send_grant& operation)
    {
        if (!operation.message.adopt && failingGrants[operation.target] > 0) {
            --failingGrants[operation.target];
            at(now + delay(), [=, this] {
                deliver(index, run, target_failed { operation.request, operation.target });
            });
            return;
        }
        const int target = std::stoi(operation.target.value().substr(1));
        ++grantMessages[operation.target];
        send(index, firstTargetNode + target,
            [=, this] { deliverGrant(index, run, target, operation); });
    }

    void deliverGrant(int index, incarnation run, int number, const send_grant& operation)
    {
        auto& target = targets[static_cast<std::size_t>(number)];
        if (now < target.frozenUntil) {
            at(target.frozenUntil, [=, this] { deliverGrant(index, run, number, operation); });
            return;
        }
        const bool accepted = target.handle(now, operation.message, [this] { return chance(0.5); });
        if (accepted && !operation.message.adopt)
            endDrain(number);
        auto reply = target.reply(now, accepted ? operation.message.repeats : sequence {});
        reply.heldComplete = m_options.reportsHeld;
        if (operation.message.adopt && !m_options.reportsHeld)
            reply.held.clear();
        send(firstTargetNode + number, index, [=, this] {
            if (accepted)
                deliver(
                    index, run, target_acknowledged { operation.request, operation.target, reply });
            else
                deliver(index, run, target_refused { operation.request, operation.target, reply });
        });
    }

    /// Releases the draining slices of a target after a random time.
    void endDrain(int number)
    {
        const auto run = targets[static_cast<std::size_t>(number)].run;
        at(now + between(1'000, 80'000), [=, this] {
            auto& later = targets[static_cast<std::size_t>(number)];
            if (later.run == run)
                std::erase_if(later.held, [](const auto& one) { return one.draining; });
        });
    }

    void perform(int index, incarnation run, const ask_witness& operation)
    {
        const int other = std::stoi(operation.host.value().substr(1));
        send(index, other, [=, this] {
            const auto query = ++m_query;
            m_pendingQueries[query] = { index, run, operation.request };
            deliver(
                other, runOf(other), witness_asked { query, operation.asked, operation.takeOver });
        });
    }

    void perform(int index, incarnation, const answer_witness& operation)
    {
        const auto asked = m_pendingQueries[operation.query];
        const auto host = hosts[static_cast<std::size_t>(index)].id.host;
        send(index, asked.index, [=, this] {
            deliver(
                asked.index, asked.run, witness_answered { asked.request, host, operation.answer });
        });
    }

    void perform(int index, incarnation, const publish_assignment& operation)
    {
        recordViolation(m_oracle.published(operation.value));
        for (int i = 0; i < static_cast<int>(hosts.size()); ++i) {
            send(index, i, [=, this] {
                hosts[static_cast<std::size_t>(i)].routes.replaceIfNewer(operation.value);
            });
        }
    }

    void perform(int index, incarnation run, const hold_slices& operation)
    {
        const int other = std::stoi(operation.host.value().substr(1));
        ++holdMessages;
        send(index, other, [=, this] {
            auto& host = hosts[static_cast<std::size_t>(other)];
            for (const auto& range : operation.ranges)
                host.routes.hold(range, operation.version, hostTime(host) + operation.hold);
            send(other, index, [=, this] {
                deliver(index, run, hold_answered { operation.request, operation.host });
            });
        });
    }

    void perform(int index, incarnation run, const renew_route& operation)
    {
        const int other = std::stoi(operation.host.value().substr(1));
        send(index, other, [=, this] { deliverRoute(index, run, other, operation); });
    }

    void deliverRoute(int index, incarnation run, int other, const renew_route& operation)
    {
        auto& host = hosts[static_cast<std::size_t>(other)];
        if (now < host.pausedUntil) {
            at(host.pausedUntil, [=, this] { deliverRoute(index, run, other, operation); });
            return;
        }
        host.routes.renew(operation, host.id.run);
        const auto clock = hostTime(host).time_since_epoch().count();
        const route_acknowledged answer { operation.request, host.id.host, host.id.run,
            static_cast<std::uint64_t>(clock), host.routes.version(), host.routes.version() };
        send(other, index, [=, this] { deliver(index, run, answer); });
    }

    void perform(int, incarnation, const role_changed&) { }

    void recordViolation(const std::string& description)
    {
        if (!description.empty())
            violation = description;
    }

    /// Checks the holders of each sampled key according to each target's own clock.
    void checkOwners()
    {
        for (int i = 0; i < sampledHashes; ++i) {
            if (m_options.checksTokens && owners(sample(i)) > 1)
                violation = "two targets hold one key";
            if (m_options.checksTokens)
                recordViolation(m_oracle.held(targets, now, i));
            if (!m_options.checksTokens && routedOwners(sample(i)) > 1)
                violation = "two hosts forward one key to different targets";
        }
    }

    std::size_t routedOwners(key_hash hash)
    {
        std::set<target_id> found;
        for (auto& host : hosts) {
            host.routes.requireLease(true);
            const auto outcome = host.routes.find(hash, hostTime(host));
            if (const auto* to = std::get_if<route>(&outcome))
                found.insert(to->owner);
        }
        return found.size();
    }

    struct pending_query {
        int index = 0;
        incarnation run;
        request_number request;
    };

    options m_options;
    std::mt19937_64 m_random;
    std::multimap<std::int64_t, job> m_queue;
    std::uint64_t m_runs = 0;
    std::uint64_t m_query = 0;
    std::map<std::uint64_t, pending_query> m_pendingQueries;
    std::uint64_t m_era = 0;
    std::map<std::string, store::row> m_copy;
    oracle m_oracle;
};

} // namespace ownership_simulation
