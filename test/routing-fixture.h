#pragma once

#include "pimentomast/routing.h"

#include <algorithm>
#include <string>

/// Helpers of the routing tests: a table, an owner lookup with a fixed answer, and a driver that
/// records actions.
namespace pimentomast::routing::testing {

using namespace std::chrono_literals;

class fixed_owners final : public owner_lookup {
public:
    owner_answer answer = no_owner {};

    [[nodiscard]] owner_answer find(instant, const service_id&, key_hash) const override
    {
        return answer;
    }
};

inline table::table makeTable(unsigned targets, bool keyed, unsigned slots = 4)
{
    table::table rows;
    table::service_row service;
    service.id = service_id { "s" };
    service.pathPrefix = "/s";
    if (keyed)
        service.key = table::path_segment { 1 };
    rows.services.push_back(service);
    for (unsigned i = 0; i < targets; ++i) {
        table::target_row target;
        target.id = target_id { "t" + std::to_string(i) };
        target.service = service.id;
        target.slots = slots;
        rows.targets.push_back(target);
    }
    return rows;
}

/// A router at a simulated time, and every action that it returned.
class driver {
public:
    explicit driver(const table::table& rows, const options& settings = {})
        : host(router::create(settings, owners).value())
    {
        record(host->applyTable(now, rows));
        record(host->applyLiveHosts(now, 1));
    }

    request make(const std::string& caller = "c", std::uint64_t requestFingerprint = 0)
    {
        request made;
        made.number = request_number { ++lastNumber };
        made.service = service_id { "s" };
        made.caller = caller_id { caller };
        made.arrival = now;
        made.deadline = now + 10s;
        made.requestFingerprint
            = fingerprint { requestFingerprint == 0 ? 1000000 + lastNumber : requestFingerprint };
        made.repeatable = true;
        return made;
    }
    request_number arrive(const request& submitted)
    {
        record(host->arrive(now, submitted));
        return submitted.number;
    }
    void finish(const dispatch& attempt, const attempt_result& ended)
    {
        record(host->finish(now, attempt.number, attempt.attempt, ended));
    }
    void sent(const dispatch& attempt, instant opened)
    {
        record(host->sent(now, attempt.number, attempt.attempt, opened));
    }
    void responded(const dispatch& attempt)
    {
        record(host->responded(now, attempt.number, attempt.attempt));
    }
    void identify(request_number number, std::uint64_t requestFingerprint)
    {
        record(host->identify(now, number, fingerprint { requestFingerprint }));
    }
    void probed(const std::string& target, const probe_result& ended)
    {
        record(host->probed(now, target_id { target }, ended));
    }
    /// Ticks every millisecond and answers no probe.
    void run(duration time)
    {
        for (const instant end = now + time; now < end;) {
            now += 1ms;
            record(host->tick(now));
        }
    }

    template <class Kind>
    [[nodiscard]] std::vector<Kind> all() const
    {
        std::vector<Kind> found;
        for (const action& each : seen)
            if (const auto* one = std::get_if<Kind>(&each))
                found.push_back(*one);
        return found;
    }
    /// The last dispatch of the request, or a default one if there is none.
    [[nodiscard]] dispatch lastDispatch(request_number number) const
    {
        dispatch last;
        for (const dispatch& each : all<dispatch>())
            if (each.number == number)
                last = each;
        return last;
    }
    [[nodiscard]] std::optional<refuse> refusal(request_number number) const
    {
        for (const refuse& each : all<refuse>())
            if (each.number == number)
                return each;
        return std::nullopt;
    }

    fixed_owners owners;
    instant now { 1000s };
    std::unique_ptr<router> host;
    actions seen;
    std::uint64_t lastNumber = 0;

private:
    void record(const actions& returned)
    {
        seen.insert(seen.end(), returned.begin(), returned.end());
    }
};

} // namespace pimentomast::routing::testing
