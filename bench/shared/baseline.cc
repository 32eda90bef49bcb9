#include "shared/simulation.h"

namespace pimentomast::bench {

namespace {

constexpr unsigned attemptsMax = 20;

/// Targets by turns or at random, first come first served, no limits but the
/// deadline and a number of attempts.
class baseline final : public router {
public:
    baseline(bool byTurns, const options& settings, const owner_lookup& owners)
        : m_byTurns(byTurns)
        , m_random(settings.seed)
        , m_owners(owners)
    {
    }

    actions applyTable(instant, const table::table& rows) override
    {
        m_rows = rows;
        return {};
    }
    actions applyLiveHosts(instant, std::optional<unsigned>) override { return {}; }
    actions applyTableConfirmed(instant, bool) override { return {}; }
    actions ownersChanged(instant, const service_id&) override { return {}; }
    actions arrive(instant now, const request& taken) override
    {
        m_waiting[taken.number] = { taken, attempt_number {} };
        ++m_counts.arrived;
        return { next(now, m_waiting.at(taken.number)) };
    }
    actions cancel(instant, request_number) override { return {}; }
    actions sent(instant, request_number, attempt_number, instant) override { return {}; }
    actions responded(instant, request_number, attempt_number) override { return {}; }
    actions finish(
        instant now, request_number number, attempt_number, const attempt_result& ended) override
    {
        const auto found = m_waiting.find(number);
        if (found == m_waiting.end())
            return {};
        if (std::holds_alternative<answered>(ended)) {
            ++m_counts.answered;
            m_waiting.erase(found);
            return {};
        }
        const bool mayRetry
            = !std::holds_alternative<timed_out>(ended) && !std::holds_alternative<broken>(ended);
        const bool isLast = found->second.attempt.value() >= attemptsMax;
        if (mayRetry && !isLast && now + 10ms < found->second.taken.deadline) {
            ++m_counts.retries.at(0);
            m_later.emplace(now + 10ms, number);
            return {};
        }
        m_waiting.erase(found);
        const auto reason = refusal_reason::DeadlineAfterDispatch;
        ++m_counts.refusals.at(static_cast<std::size_t>(reason));
        return { refuse { number, outcome::Unknown, reason, {}, {} } };
    }
    actions report(instant, const target_id&, const load_report&) override { return {}; }
    actions probed(instant, const target_id&, const probe_result&) override { return {}; }
    actions applyCrash(instant, const crash&) override { return {}; }
    actions pardon(instant, fingerprint) override { return {}; }
    actions stop(instant) override { return {}; }
    actions tick(instant now) override
    {
        actions given;
        while (!m_later.empty() && m_later.begin()->first <= now) {
            given.push_back(next(now, m_waiting.at(m_later.begin()->second)));
            m_later.erase(m_later.begin());
        }
        return given;
    }
    [[nodiscard]] instant nextDue() const override
    {
        return m_later.empty() ? instant::max() : m_later.begin()->first;
    }
    [[nodiscard]] std::vector<crash> crashes() const override { return {}; }
    [[nodiscard]] std::vector<suspect> suspects() const override { return {}; }
    [[nodiscard]] const counters& counts() const noexcept override { return m_counts; }
    [[nodiscard]] std::vector<target_view> targets() const override { return {}; }

private:
    struct entry {
        request taken;
        attempt_number attempt;
    };

    action next(instant now, entry& waiting)
    {
        const request& taken = waiting.taken;
        waiting.attempt = attempt_number { waiting.attempt.value() + 1 };
        ++m_counts.dispatched;
        return dispatch { taken.number, waiting.attempt, choose(now, taken), std::nullopt,
            taken.deadline, false };
    }
    target_id choose(instant now, const request& taken)
    {
        if (taken.key)
            return std::get<owned_by>(m_owners.find(now, taken.service, *taken.key)).target;
        std::vector<target_id> list;
        for (const table::target_row& row : m_rows.targets)
            if (row.service == taken.service)
                list.push_back(row.id);
        return list[(m_byTurns ? m_turn++ : m_random()) % list.size()];
    }

    bool m_byTurns;
    std::mt19937_64 m_random;
    const owner_lookup& m_owners;
    table::table m_rows;
    std::map<request_number, entry> m_waiting;
    std::set<std::pair<instant, request_number>> m_later;
    std::uint64_t m_turn = 0;
    counters m_counts;
};

} // namespace

std::unique_ptr<router> makeBaseline(
    bool byTurns, const options& settings, const owner_lookup& owners)
{
    return std::make_unique<baseline>(byTurns, settings, owners);
}

} // namespace pimentomast::bench
