#include "speed_sharing.h"

#include "pimentomast/telemetry.h"

#include <algorithm>

namespace pimentomast::serve::detail {
namespace {

wire::SpeedFactors toWire(const speed_message& value)
{
    wire::SpeedFactors message;
    message.set_incarnation(value.run.value());
    message.set_term(value.term);
    message.set_number(value.number);
    for (const auto& [target, factor] : value.factors) {
        message.add_targets(target.value());
        message.mutable_factors()->push_back(static_cast<char>(encodeFactor(factor)));
    }
    return message;
}

speed_message fromWire(const host_id& sender, const wire::SpeedFactors& message)
{
    speed_message value { sender, incarnation { message.incarnation() }, message.term(),
        message.number(), {} };
    const auto count = std::min<std::size_t>(message.targets().size(), message.factors().size());
    for (std::size_t i = 0; i < count; ++i)
        value.factors.emplace(target_hash { message.targets(static_cast<int>(i)) },
            decodeFactor(static_cast<std::uint8_t>(message.factors()[i])));
    return value;
}

std::uint32_t limited(std::uint64_t value)
{
    return static_cast<std::uint32_t>(std::min<std::uint64_t>(value, UINT32_MAX));
}

} // namespace

void addSamples(const std::vector<routing::speed_sample>& samples, wire::LoadReport& to)
{
    for (const auto& each : samples) {
        auto* message = to.add_samples();
        message->set_target(hashOf(each.target).value());
        message->set_answers(limited(each.answers));
        message->set_total_ms(limited(static_cast<std::uint64_t>(
            std::chrono::duration_cast<std::chrono::milliseconds>(each.total).count())));
        message->set_rejections(limited(each.rejections));
    }
}

void speed_sharing::applyTable(const table::table& rows)
{
    const std::lock_guard guard(m_lock);
    m_shared.applyTable(rows);
}

void speed_sharing::setCollector(instant now, const host_id& collector)
{
    {
        const std::lock_guard guard(m_lock);
        if (!m_shared.setCollector(now, collector))
            return;
    }
    telemetry::log(telemetry::severity::Info, "speed-collector", { { "host", collector.value() } });
}

void speed_sharing::add(const wire::LoadReport& report)
{
    std::vector<hashed_sample> samples;
    for (const auto& each : report.samples())
        samples.push_back({ target_hash { each.target() }, each.answers(),
            std::chrono::milliseconds(each.total_ms()), each.rejections() });
    const std::lock_guard guard(m_lock);
    m_shared.add(samples);
}

std::optional<wire::SpeedFactors> speed_sharing::tick(instant now)
{
    const std::lock_guard guard(m_lock);
    const auto message = m_shared.tick(now);
    return message ? std::optional(toWire(*message)) : std::nullopt;
}

void speed_sharing::receive(instant now, const host_id& sender, const wire::SpeedFactors& message)
{
    const auto value = fromWire(sender, message);
    const std::lock_guard guard(m_lock);
    m_shared.receive(now, value);
}

routing::speed_factors speed_sharing::factors(instant now) const
{
    const std::lock_guard guard(m_lock);
    return m_shared.factorsByTarget(now);
}

} // namespace pimentomast::serve::detail
