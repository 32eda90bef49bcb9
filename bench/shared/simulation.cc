#include "shared/simulation.h"

#include <cmath>

namespace pimentomast::bench {

simulation::simulation(const setup& config)
    : m_setup(config)
    , m_random(config.seed)
    , m_hosts(config.hosts)
{
    for (const table::target_row& row : config.rows.targets) {
        targets[row.id].row = row;
        owners.targets[row.service].push_back(row.id);
    }
    for (std::size_t i = 0; i < config.hosts; ++i) {
        options settings = config.settings;
        settings.seed = config.seed * 100 + i;
        hosts.push_back(
            config.make ? config.make(settings, owners) : router::create(settings, owners).value());
        handle(i, hosts[i]->applyTable(events.now(), config.rows));
        handle(i, hosts[i]->applyLiveHosts(events.now(), config.hosts));
        schedule(i);
    }
}

duration simulation::delay(std::size_t host, const fake_target& target) const
{
    const bool isNear = target.row.domain.value() == "d" + std::to_string(host % m_setup.domains);
    return isNear ? 200us : m_setup.crossDomainDelay;
}

duration simulation::drawTime(duration mean)
{
    std::exponential_distribution<double> spread(1);
    const double factor = 0.5 + 0.5 * spread(m_random);
    return duration(static_cast<duration::rep>(static_cast<double>(mean.count()) * factor));
}

void simulation::load(const workload& offered)
{
    std::exponential_distribution<double> gap(offered.perSecond);
    const duration next(static_cast<duration::rep>(gap(m_random) * 1e6));
    if (events.now() + next > offered.until)
        return;
    events.after(next, [this, offered] {
        const std::string& caller = offered.callers[m_random() % offered.callers.size()];
        const std::uint64_t fingerprintId
            = offered.fingerprintCount == 0 ? 0 : 1 + m_random() % offered.fingerprintCount;
        arrive(offered, caller, fingerprintId);
        load(offered);
    });
}

request simulation::arrive(
    const workload& offered, const std::string& caller, std::uint64_t fingerprintId)
{
    request incoming;
    incoming.number = request_number { ++m_lastNumber };
    incoming.service = service_id { offered.service };
    incoming.caller = caller_id { caller };
    incoming.repeatable = offered.repeatable;
    incoming.arrival = events.now();
    incoming.deadline = events.now() + offered.deadline;
    incoming.requestFingerprint
        = fingerprint { fingerprintId == 0 ? 1000000 + m_lastNumber : fingerprintId };
    if (m_setup.rows.service(incoming.service)->keyed())
        incoming.key = key_hash { m_random() };
    m_open[incoming.number].incoming = incoming;
    m_work[incoming.number] = drawTime(offered.serviceTime);
    const std::size_t host = m_random() % hosts.size();
    handle(host, hosts[host]->arrive(events.now(), incoming));
    schedule(host);
    return incoming;
}

void simulation::schedule(std::size_t host)
{
    host_state& state = m_hosts[host];
    const instant due
        = std::clamp(hosts[host]->nextDue(), events.now() + 200us, events.now() + 100ms);
    if (state.tickAt <= due && state.tickAt > events.now())
        return;
    state.tickAt = due;
    events.at(due, [this, host, due] {
        if (m_hosts[host].tickAt != due)
            return;
        handle(host, hosts[host]->tick(events.now()));
        schedule(host);
    });
}

void simulation::handle(std::size_t host, const actions& todo)
{
    for (const action& each : todo) {
        if (const auto* attempt = std::get_if<dispatch>(&each)) {
            send(host, *attempt);
        } else if (const auto* ended = std::get_if<refuse>(&each)) {
            completion closed = m_open.at(ended->number);
            closed.at = events.now();
            closed.refusal = *ended;
            completions.push_back(closed);
            m_open.erase(ended->number);
        } else if (const auto* check = std::get_if<probe>(&each)) {
            sendProbe(host, check->target);
        } else if (const auto* closeIdle = std::get_if<close_idle>(&each)) {
            auto& idle = m_hosts[host].idle[closeIdle->target];
            for (std::size_t i = idle.size(); i-- > 0;)
                if (idle[i].opened < closeIdle->openedBefore) {
                    idle.erase(idle.begin() + static_cast<std::ptrdiff_t>(i));
                    close(host, closeIdle->target);
                }
        } else if (const auto* broadcast = std::get_if<broadcast_crash>(&each)) {
            for (std::size_t other = 0; other < hosts.size(); ++other)
                if (other != host)
                    events.after(
                        m_setup.crossDomainDelay, [this, other, crashRecord = broadcast->record] {
                            handle(
                                other, hosts[other]->applyCrashes(events.now(), { crashRecord }));
                            schedule(other);
                        });
        }
    }
}

void simulation::send(std::size_t host, const dispatch& attempt)
{
    ++attempts;
    auto& idle = m_hosts[host].idle[attempt.target];
    fake_target& target = targets.at(attempt.target);
    std::erase_if(idle, [&](const connection& one) {
        const bool wasClosed = one.run != target.run || !target.up;
        if (wasClosed)
            close(host, attempt.target);
        return wasClosed;
    });
    const auto call = std::make_shared<exchange>();
    call->host = host;
    call->attempt = attempt;
    duration ready = delay(host, target);
    if (idle.empty() || attempt.newConnection) {
        ready += m_setup.connect;
        call->usedConnection = { events.now(), target.run };
        ++target.connections[host];
        connectionsMax = std::max(connectionsMax, connectionsOf(target));
    } else {
        call->usedConnection = idle.back();
        idle.pop_back();
    }
    events.after(0us, [this, call] {
        hosts[call->host]->sent(
            events.now(), call->attempt.number, call->attempt.attempt, call->usedConnection.opened);
    });
    events.at(attempt.deadline, [this, call] { end(call, timed_out {}, false); });
    events.after(ready, [this, call] { reach(call); });
}

void simulation::close(std::size_t host, const target_id& id)
{
    unsigned& count = targets.at(id).connections[host];
    if (count > 0)
        --count;
}

unsigned simulation::connectionsOf(const fake_target& target) const
{
    unsigned sum = 0;
    for (const auto& [host, count] : target.connections)
        sum += count;
    return sum;
}

void simulation::reach(const exchange_ptr& call)
{
    fake_target& target = targets.at(call->attempt.target);
    if (call->done || silent(call->usedConnection))
        return;
    if (!target.up) {
        const bool wasOpen
            = call->usedConnection.opened < events.now() - 2 * m_setup.crossDomainDelay - 2ms;
        events.after(delay(call->host, target), [this, call, wasOpen] {
            if (wasOpen)
                end(call, broken {}, false);
            else
                end(call, connect_failed { true }, false);
        });
        return;
    }
    if (target.frozen) {
        target.stalled.push_back([this, call] { reach(call); });
        return;
    }
    serve(call, target);
}

void simulation::serve(const exchange_ptr& call, fake_target& target)
{
    ++target.received;
    if (target.shedsAll || target.running >= target.row.slots) {
        reply(call, shed {});
        return;
    }
    const auto open = m_open.find(call->attempt.number);
    if (open == m_open.end())
        return;
    ++open->second.runs;
    ++target.running;
    call->run = target.run;
    m_runningAt[target.row.id].push_back(call);
    if (crashers.contains(open->second.incoming.requestFingerprint)) {
        events.after(2ms, [this, &target, run = target.run] {
            if (target.run == run && target.up)
                crash(target, coldStart);
        });
        return;
    }
    const double slowness = target.failsAll ? 0.05 : target.slowness;
    const duration work(static_cast<duration::rep>(
        static_cast<double>(m_work.at(call->attempt.number).count()) * slowness));
    const std::function<void()> finished = [this, call, &target, work] {
        if (target.run != call->run || !target.up)
            return;
        --target.running;
        std::erase(m_runningAt[target.row.id], call);
        ++target.served;
        reply(call, answered { target.failsAll ? 500 : 200, work, work });
    };
    events.after(work, [&target, finished] {
        if (target.frozen)
            target.stalled.push_back(finished);
        else
            finished();
    });
}

void simulation::reply(const exchange_ptr& call, const attempt_result& result)
{
    const duration oneWay = delay(call->host, targets.at(call->attempt.target));
    events.after(oneWay, [this, call, result, oneWay] {
        attempt_result seen = result;
        if (auto* whole = std::get_if<answered>(&seen)) {
            whole->total += 2 * oneWay;
            whole->firstByte += 2 * oneWay;
        }
        end(call, seen, true);
    });
}

void simulation::end(const exchange_ptr& call, const attempt_result& result, bool reusable)
{
    if (call->done || (reusable && silent(call->usedConnection)))
        return;
    call->done = true;
    const request_number number = call->attempt.number;
    const auto open = m_open.find(number);
    const auto* success = std::get_if<answered>(&result);
    if (reusable)
        m_hosts[call->host].idle[call->attempt.target].push_back(call->usedConnection);
    else
        close(call->host, call->attempt.target);
    const std::uint64_t before = hosts[call->host]->counts().answered;
    const actions next
        = hosts[call->host]->finish(events.now(), number, call->attempt.attempt, result);
    const bool counted = hosts[call->host]->counts().answered > before;
    if (success != nullptr && counted && open != m_open.end()) {
        open->second.at = events.now();
        open->second.status = success->status;
        completions.push_back(open->second);
        m_open.erase(open);
    }
    handle(call->host, next);
    schedule(call->host);
}

load_report simulation::reportOf(const fake_target& target) const
{
    const int running = std::max(0, static_cast<int>(target.running) + target.reportBias);
    return { incarnation { target.run }, static_cast<unsigned>(running), 0, target.row.slots };
}

void simulation::sendProbe(std::size_t host, const target_id& id)
{
    const duration oneWay = delay(host, targets.at(id));
    events.after(m_setup.connect + oneWay, [this, host, id, oneWay] {
        const fake_target& target = targets.at(id);
        if (target.frozen)
            return;
        const probe_result result = target.up
            ? probe_result { probe_answered { reportOf(target), 2 * oneWay } }
            : probe_result { probe_failed { true } };
        events.after(oneWay, [this, host, id, result] {
            handle(host, hosts[host]->probed(events.now(), id, result));
            schedule(host);
        });
    });
}

void simulation::crash(fake_target& target, duration downTime)
{
    ++target.crashes;
    target.up = false;
    target.running = 0;
    const auto calls = std::exchange(m_runningAt[target.row.id], {});
    for (const exchange_ptr& call : calls)
        events.after(delay(call->host, target), [this, call] { end(call, broken {}, false); });
    events.after(downTime, [&target] {
        ++target.run;
        target.up = true;
    });
}

void simulation::thaw(fake_target& target)
{
    target.frozen = false;
    const auto work = std::exchange(target.stalled, {});
    for (const auto& each : work)
        each();
}

counters simulation::total() const
{
    counters sum;
    for (const auto& host : hosts) {
        const counters& one = host->counts();
        sum.arrived += one.arrived;
        sum.dispatched += one.dispatched;
        sum.answered += one.answered;
        sum.ejections += one.ejections;
        sum.ejectionsPrevented += one.ejectionsPrevented;
        sum.silentConnections += one.silentConnections;
        for (std::size_t i = 0; i < refusalReasonCount; ++i)
            sum.refusals.at(i) += one.refusals.at(i);
        for (std::size_t i = 0; i < retryReasonCount; ++i)
            sum.retries.at(i) += one.retries.at(i);
    }
    return sum;
}

double percentileMs(std::vector<double> samplesMs, double quantile)
{
    if (samplesMs.empty())
        return 0;
    const auto index = static_cast<std::size_t>(
        std::min(std::floor(quantile * static_cast<double>(samplesMs.size())),
            static_cast<double>(samplesMs.size() - 1)));
    const auto middle = samplesMs.begin() + static_cast<std::ptrdiff_t>(index);
    std::nth_element(samplesMs.begin(), middle, samplesMs.end());
    return *middle;
}

} // namespace pimentomast::bench
