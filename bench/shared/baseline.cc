#include "shared/simulation.h"

namespace pimentomast::bench {

namespace {

constexpr unsigned attemptsMax = 20;

/// Picks unkeyed targets round robin or at random and dispatches in order of arrival; the only
/// limits are the deadline and attemptsMax.
class baseline final : public router {
public:
    baseline(bool roundRobin, const options& settings, const owner_lookup& owners)
        : m_roundRobin(roundRobin)
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
    actions applyListedHosts(instant, const host_id&, const std::vector<host_id>&) override
    {
        return {};
    }
    actions applyEvenLoad(instant, const even_load&) override { return {}; }
    [[nodiscard]] std::vector<speed_sample> takeSpeedSamples() override { return {}; }
    actions ownersChanged(instant, const service_id&) override { return {}; }
    actions arrive(instant now, const request& incoming) override
    {
        m_waiting[incoming.number] = { incoming, attempt_number {} };
        ++m_counts.arrived;
        return { next(now, m_waiting.at(incoming.number)) };
    }
    actions cancel(instant, request_number) override { return {}; }
    actions sent(instant, request_number, attempt_number, instant) override { return {}; }
    actions responded(instant, request_number, attempt_number) override { return {}; }
    actions identify(instant, request_number, fingerprint) override { return {}; }
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
        if (mayRetry && !isLast && now + 10ms < found->second.incoming.deadline) {
            ++m_counts.retries.at(0);
            m_retries.emplace(now + 10ms, number);
            return {};
        }
        m_waiting.erase(found);
        const auto reason = refusal_reason::DeadlineAfterDispatch;
        ++m_counts.refusals.at(static_cast<std::size_t>(reason));
        return { refuse { number, outcome::Unknown, reason, {}, {} } };
    }
    actions report(instant, const target_id&, const load_report&) override { return {}; }
    actions probed(instant, const target_id&, const probe_result&) override { return {}; }
    actions applyCrashes(instant, const std::vector<crash>&) override { return {}; }
    actions pardon(instant, fingerprint) override { return {}; }
    actions stop(instant) override { return {}; }
    actions tick(instant now) override
    {
        actions todo;
        while (!m_retries.empty() && m_retries.begin()->first <= now) {
            todo.push_back(next(now, m_waiting.at(m_retries.begin()->second)));
            m_retries.erase(m_retries.begin());
        }
        return todo;
    }
    [[nodiscard]] instant nextDue() const override
    {
        return m_retries.empty() ? instant::max() : m_retries.begin()->first;
    }
    [[nodiscard]] std::vector<crash> crashes() const override { return {}; }
    [[nodiscard]] std::uint64_t crashesHash() const override { return 0; }
    [[nodiscard]] std::vector<suspect> suspects() const override { return {}; }
    [[nodiscard]] const counters& counts() const noexcept override { return m_counts; }
    [[nodiscard]] std::vector<target_view> targets() const override { return {}; }

private:
    struct entry {
        request incoming;
        attempt_number attempt;
    };

    action next(instant now, entry& waiting)
    {
        const request& incoming = waiting.incoming;
        waiting.attempt = attempt_number { waiting.attempt.value() + 1 };
        ++m_counts.dispatched;
        return dispatch { incoming.number, waiting.attempt, choose(now, incoming), std::nullopt,
            incoming.deadline, false };
    }
    target_id choose(instant now, const request& incoming)
    {
        if (incoming.key)
            return std::get<owned_by>(m_owners.find(now, incoming.service, *incoming.key)).target;
        std::vector<target_id> list;
        for (const table::target_row& row : m_rows.targets)
            if (row.service == incoming.service)
                list.push_back(row.id);
        return list[(m_roundRobin ? m_nextIndex++ : m_random()) % list.size()];
    }

    bool m_roundRobin;
    std::mt19937_64 m_random;
    const owner_lookup& m_owners;
    table::table m_rows;
    std::map<request_number, entry> m_waiting;
    std::set<std::pair<instant, request_number>> m_retries;
    std::uint64_t m_nextIndex = 0;
    counters m_counts;
};

} // namespace

std::unique_ptr<router> makeBaseline(
    bool roundRobin, const options& settings, const owner_lookup& owners)
{
    return std::make_unique<baseline>(roundRobin, settings, owners);
}

} // namespace pimentomast::bench
