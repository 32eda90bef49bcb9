#pragma once

#include "ownership-oracle.h"

#include <functional>
#include <random>

/// Fakes around coordinators: a store, and a network that delays, loses and cuts. Everything
/// follows from one seed.
namespace ownership_world {

class world {
public:
    explicit world(const options& chosen)
        : m_options(chosen)
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
    world(const world&) = delete;
    world& operator=(const world&) = delete;

    std::int64_t now = 10'000'000;
    faults current;
    std::vector<fake_target> targets;
    std::vector<fake_host> hosts;
    std::map<target_id, table::mark> marks;
    /// What went wrong; empty as long as the invariants hold.
    std::string violation;
    std::map<std::string, store::row> rows;

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
        host.decisions.emplace(
            coordinator::create({ service, host.id, m_runs << 32U, m_options.times }).value());
        tellTable(index);
        for (int i = 0; i < static_cast<int>(hosts.size()); ++i)
            tellMembers(i);
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

    void tellTable(int index) { give(index, runOf(index), table_changed { tableRows() }); }

    void want(const std::vector<wanted_slice>& wanted) { place({ wanted, {} }); }
    void place(const placement_wanted& wanted)
    {
        for (int i = 0; i < static_cast<int>(hosts.size()); ++i)
            give(i, runOf(i), wanted);
    }

    void stopHost(int index) { give(index, runOf(index), stop {}); }

    incarnation runOf(int index) const { return hosts[static_cast<std::size_t>(index)].id.run; }

    std::optional<int> holder() const
    {
        std::optional<int> found;
        for (int i = 0; i < static_cast<int>(hosts.size()); ++i) {
            const auto& decisions = hosts[static_cast<std::size_t>(i)].decisions;
            if (decisions->currentRole() == role::Holder)
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

    void at(std::int64_t when, job todo) { m_queue.emplace(when, std::move(todo)); }

    double drawRate()
    {
        const double drift = m_options.drift;
        return drift > 0 ? std::uniform_real_distribution<double>(1 - drift, 1 + drift)(m_random)
                         : 1;
    }

    std::int64_t delay()
    {
        return chance(current.longDelay) ? between(10'000, 3'000'000) : between(500, 5'000);
    }

    /// Delivers between two parties, unless the message is lost or its direction is cut.
    void send(int from, int to, job todo)
    {
        if (current.cuts.contains({ from, to }) || chance(current.loss))
            return;
        at(now + delay(), std::move(todo));
    }

    std::vector<table::target_row> tableRows()
    {
        std::vector<table::target_row> all;
        for (const auto& each : targets) {
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

    void tellMembers(int index)
    {
        std::vector<host_run> live;
        for (const auto& each : hosts) {
            if (each.decisions)
                live.push_back(each.id);
        }
        give(index, runOf(index), membership_changed { live });
    }

    void tickHost(int index, incarnation run)
    {
        if (runOf(index) != run)
            return;
        give(index, run, tick {});
        at(now + 25'000, [=, this] { tickHost(index, run); });
    }

    /// Gives an event to a run of a host, after its pause if it is paused.
    void give(int index, incarnation run, const event& happened)
    {
        auto& host = hosts[static_cast<std::size_t>(index)];
        if (host.id.run != run || !host.decisions)
            return;
        if (now < host.pausedUntil) {
            at(host.pausedUntil, [=, this] { give(index, run, happened); });
            return;
        }
        const auto todo = host.decisions->step(hostTime(host), happened);
        for (const auto& each : todo) {
            if (chance(current.pauseBeforeSend))
                host.pausedUntil = std::max(host.pausedUntil, now + between(100'000, 4'000'000));
            at(std::max(now, host.pausedUntil), [=, this] {
                if (runOf(index) == run)
                    std::visit([&](const auto& one) { act(index, run, one); }, each);
            });
        }
    }

    void act(int index, incarnation run, const read_row& todo)
    {
        send(index, storeParty, [=, this] {
            event answer = row_read_failed { todo.request };
            if (!current.outage) {
                const auto found = rows.find(todo.key);
                const bool exists = found != rows.end();
                answer = row_read { todo.request,
                    exists ? std::optional(found->second) : std::nullopt };
            }
            send(storeParty, index, [=, this] { give(index, run, answer); });
        });
    }

    void act(int index, incarnation run, const write_row& todo)
    {
        send(index, storeParty, [=, this] {
            const auto outcome
                = current.outage ? store::write_outcome { store::write_refused {} } : store(todo);
            if (chance(current.lostReply))
                return;
            send(storeParty, index, [=, this] {
                give(index, run, write_finished { todo.request, outcome });
            });
        });
    }

    store::write_outcome store(const write_row& todo)
    {
        auto& row = rows[todo.key];
        if (row.version != todo.expected)
            return store::write_conflict { row };
        row = { todo.key, todo.value, row_version { row.version.value() + 1 }, todo.writer };
        if (todo.key == assignmentKey(service))
            note(m_oracle.committed(todo.value));
        return store::write_accepted { row.version };
    }

    void act(int index, incarnation run, const send_grant& todo)
    {
        const int target = std::stoi(todo.target.value().substr(1));
        send(index, firstTargetParty + target,
            [=, this] { deliverGrant(index, run, target, todo); });
    }

    void deliverGrant(int index, incarnation run, int number, const send_grant& todo)
    {
        auto& target = targets[static_cast<std::size_t>(number)];
        if (now < target.frozenUntil) {
            at(target.frozenUntil, [=, this] { deliverGrant(index, run, number, todo); });
            return;
        }
        const bool taken = target.take(now, todo.message, [this] { return chance(0.5); });
        if (taken && !todo.message.adopt)
            endDrain(number);
        auto reply = target.reply(now, taken ? todo.message.repeats : sequence {});
        reply.heldComplete = m_options.tellHoldings;
        if (todo.message.adopt && !m_options.tellHoldings)
            reply.held.clear();
        send(firstTargetParty + number, index, [=, this] {
            if (taken)
                give(index, run, target_acknowledged { todo.request, todo.target, reply });
            else
                give(index, run, target_refused { todo.request, todo.target, reply });
        });
    }

    /// The target holds what it no longer shall until it has drained.
    void endDrain(int number)
    {
        const auto run = targets[static_cast<std::size_t>(number)].run;
        at(now + between(1'000, 80'000), [=, this] {
            auto& later = targets[static_cast<std::size_t>(number)];
            if (later.run == run)
                std::erase_if(later.held, [](const auto& one) { return one.draining; });
        });
    }

    void act(int index, incarnation run, const ask_witness& todo)
    {
        const int other = std::stoi(todo.host.value().substr(1));
        send(index, other, [=, this] {
            const auto query = ++m_query;
            m_asked[query] = { index, run, todo.request };
            give(other, runOf(other), witness_asked { query, todo.asked });
        });
    }

    void act(int index, incarnation, const answer_witness& todo)
    {
        const auto asked = m_asked[todo.query];
        const auto host = hosts[static_cast<std::size_t>(index)].id.host;
        send(index, asked.index, [=, this] {
            give(asked.index, asked.run, witness_answered { asked.request, host, todo.answer });
        });
    }

    void act(int index, incarnation, const publish_assignment& todo)
    {
        note(m_oracle.published(todo.value));
        for (int i = 0; i < static_cast<int>(hosts.size()); ++i) {
            send(index, i,
                [=, this] { hosts[static_cast<std::size_t>(i)].routes.update(todo.value); });
        }
    }

    void act(int index, incarnation run, const hold_slice& todo)
    {
        const int other = std::stoi(todo.host.value().substr(1));
        send(index, other, [=, this] {
            auto& host = hosts[static_cast<std::size_t>(other)];
            host.routes.hold(todo.range, todo.version, hostTime(host) + todo.hold);
            send(other, index, [=, this] {
                give(index, run, hold_answered { todo.request, todo.host });
            });
        });
    }

    void act(int index, incarnation run, const renew_route& todo)
    {
        const int other = std::stoi(todo.host.value().substr(1));
        send(index, other, [=, this] { deliverRoute(index, run, other, todo); });
    }

    void deliverRoute(int index, incarnation run, int other, const renew_route& todo)
    {
        auto& host = hosts[static_cast<std::size_t>(other)];
        if (now < host.pausedUntil) {
            at(host.pausedUntil, [=, this] { deliverRoute(index, run, other, todo); });
            return;
        }
        host.routes.renew(todo, host.id.run);
        const auto clock = hostTime(host).time_since_epoch().count();
        const route_acknowledged answer { todo.request, host.id.host, host.id.run,
            static_cast<std::uint64_t>(clock), host.routes.version(), host.routes.version() };
        send(other, index, [=, this] { give(index, run, answer); });
    }

    void act(int, incarnation, const role_changed&) { }

    void note(const std::string& breach)
    {
        if (!breach.empty())
            violation = breach;
    }

    /// Who holds each key now, by each target's own clock.
    void checkOwners()
    {
        for (int i = 0; i < sampledHashes; ++i) {
            if (m_options.checksTokens && owners(sample(i)) > 1)
                violation = "two targets hold one key";
            if (m_options.checksTokens)
                note(m_oracle.held(targets, now, i));
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

    struct question {
        int index = 0;
        incarnation run;
        request_number request;
    };

    options m_options;
    std::mt19937_64 m_random;
    std::multimap<std::int64_t, job> m_queue;
    std::uint64_t m_runs = 0;
    std::uint64_t m_query = 0;
    std::map<std::uint64_t, question> m_asked;
    oracle m_oracle;
};

} // namespace ownership_world
