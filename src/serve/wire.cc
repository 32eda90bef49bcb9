#include "wire.h"

namespace pimentomast::serve::detail {
namespace {

void fill(wire::Slice& message, const ownership::owned_slice& owned)
{
    message.set_first(owned.range.first.value());
    message.set_last(owned.range.last.value());
    message.set_owner(owned.owner.value());
    message.set_token_epoch(owned.grant.coordinator.value());
    message.set_token_sequence(owned.grant.assignment.value());
    if (owned.standby)
        message.set_standby(owned.standby->value());
}

ownership::owned_slice readSlice(const wire::Slice& message)
{
    ownership::owned_slice owned;
    owned.range = { key_hash { message.first() }, key_hash { message.last() } };
    owned.owner = target_id { message.owner() };
    owned.grant = { epoch { message.token_epoch() }, sequence { message.token_sequence() } };
    if (!message.standby().empty())
        owned.standby = target_id { message.standby() };
    return owned;
}

} // namespace

wire::Assignment toWire(const ownership::assignment& value, const host_id& coordinator)
{
    wire::Assignment message;
    message.set_service(value.service.value());
    message.set_epoch(value.coordinator.value());
    message.set_sequence(value.number.value());
    message.set_coordinator(coordinator.value());
    for (const auto& owned : value.slices)
        fill(*message.add_slices(), owned);
    return message;
}

result<ownership::assignment> fromWire(const wire::Assignment& message)
{
    ownership::assignment value;
    value.service = service_id { message.service() };
    value.coordinator = epoch { message.epoch() };
    value.number = sequence { message.sequence() };
    for (const auto& owned : message.slices())
        value.slices.push_back(readSlice(owned));
    if (auto checked = ownership::check(value); !checked)
        return checked.error();
    return value;
}

wire::AssignmentChange toWire(const ownership::assignment_change& value, const host_id& coordinator)
{
    wire::AssignmentChange message;
    message.set_service(value.service.value());
    message.set_epoch(value.version.coordinator.value());
    message.set_sequence(value.version.assignment.value());
    message.set_base_epoch(value.base.coordinator.value());
    message.set_base_sequence(value.base.assignment.value());
    message.set_coordinator(coordinator.value());
    for (const auto& owned : value.slices)
        fill(*message.add_slices(), owned);
    return message;
}

ownership::assignment_change fromWire(const wire::AssignmentChange& message)
{
    ownership::assignment_change value;
    value.service = service_id { message.service() };
    value.version = { epoch { message.epoch() }, sequence { message.sequence() } };
    value.base = { epoch { message.base_epoch() }, sequence { message.base_sequence() } };
    for (const auto& owned : message.slices())
        value.slices.push_back(readSlice(owned));
    return value;
}

wire::HostAddress toWire(const endpoint& address)
{
    wire::HostAddress message;
    message.set_ip(address.ip);
    message.set_port(address.port);
    return message;
}

endpoint fromWire(const wire::HostAddress& message)
{
    return { message.ip(), static_cast<std::uint16_t>(message.port()) };
}

wire::TableStanding toWire(const followed_table& value, instant now)
{
    wire::TableStanding message;
    message.set_content(value.rows.content);
    message.set_version(value.rows.version.value());
    const auto age = std::chrono::ceil<std::chrono::milliseconds>(now - value.confirmedAt);
    message.set_age_ms(static_cast<std::uint32_t>(age.count()));
    return message;
}

followed_table fromWire(const wire::TableStanding& message, instant sentAt)
{
    return { { message.content(), row_version { message.version() } },
        sentAt - std::chrono::milliseconds(message.age_ms()) };
}

wire::ChangedRow toWire(const changed_row& value)
{
    wire::ChangedRow message;
    message.set_table(value.table);
    message.set_key(value.key);
    message.set_value(value.value);
    message.set_version(value.version.value());
    message.set_removed(value.removed);
    return message;
}

changed_row fromWire(const wire::ChangedRow& message)
{
    return { message.table(), message.key(), message.value(), row_version { message.version() },
        message.removed() };
}

namespace {

std::uint64_t ageMs(instant at, instant now)
{
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - at);
    return static_cast<std::uint64_t>(std::max<std::int64_t>(age.count(), 0));
}

} // namespace

wire::Crash toWire(const routing::crash& crash, instant now)
{
    wire::Crash message;
    message.set_fingerprint(crash.requestFingerprint.value());
    message.set_target(crash.target.value());
    message.set_target_incarnation(crash.run.value());
    message.set_age_ms(ageMs(crash.at, now));
    if (crash.inFlight) {
        message.set_sent_age_ms(ageMs(crash.inFlight->from, now));
        message.set_ended_age_ms(ageMs(crash.inFlight->until, now));
    }
    message.set_forgiven(crash.forgiven);
    message.set_clearing(crash.clearing.value());
    return message;
}

routing::crash fromWire(const wire::Crash& message, instant now)
{
    routing::crash crash;
    crash.requestFingerprint = routing::fingerprint { message.fingerprint() };
    crash.target = target_id { message.target() };
    crash.run = incarnation { message.target_incarnation() };
    crash.at = now - std::chrono::milliseconds(message.age_ms());
    crash.forgiven = message.forgiven();
    crash.clearing = routing::clearing_id { message.clearing() };
    if (message.has_sent_age_ms() && message.has_ended_age_ms())
        crash.inFlight = routing::flight_time {
            now - std::chrono::milliseconds(message.sent_age_ms()),
            now - std::chrono::milliseconds(message.ended_age_ms()),
        };
    return crash;
}

wire::HoldRequest toWire(const service_id& service, const ownership::hold_slices& action)
{
    wire::HoldRequest message;
    message.set_service(service.value());
    message.set_epoch(action.version.coordinator.value());
    message.set_sequence(action.version.assignment.value());
    message.set_first(action.ranges.front().first.value());
    message.set_last(action.ranges.front().last.value());
    message.set_hold_ms(static_cast<std::uint32_t>(action.hold.count()));
    for (std::size_t i = 1; i < action.ranges.size(); ++i) {
        auto* range = message.add_further();
        range->set_first(action.ranges[i].first.value());
        range->set_last(action.ranges[i].last.value());
    }
    return message;
}

std::vector<slice> rangesOf(const wire::HoldRequest& message)
{
    std::vector<slice> ranges { { key_hash { message.first() }, key_hash { message.last() } } };
    for (const auto& each : message.further())
        ranges.push_back({ key_hash { each.first() }, key_hash { each.last() } });
    return ranges;
}

wire::RouteRenewal toWire(const service_id& service, const ownership::renew_route& renewal)
{
    wire::RouteRenewal message;
    message.set_service(service.value());
    message.set_incarnation(renewal.run.value());
    message.set_epoch(renewal.version.coordinator.value());
    message.set_sequence(renewal.version.assignment.value());
    message.set_echo_us(renewal.echoUs);
    message.set_lease_ms(static_cast<std::uint32_t>(renewal.lease.count()));
    return message;
}

ownership::renew_route fromWire(const wire::RouteRenewal& message)
{
    ownership::renew_route renewal;
    renewal.run = incarnation { message.incarnation() };
    renewal.version = { epoch { message.epoch() }, sequence { message.sequence() } };
    renewal.echoUs = message.echo_us();
    renewal.lease = std::chrono::milliseconds(message.lease_ms());
    return renewal;
}

ownership::route_acknowledged fromWire(
    const wire::RouteRenewalReply& message, const ownership::renew_route& asked)
{
    ownership::route_acknowledged answer;
    answer.request = asked.request;
    answer.host = asked.host;
    answer.run = incarnation { message.incarnation() };
    answer.clockUs = message.clock_us();
    answer.version = { epoch { message.epoch() }, sequence { message.sequence() } };
    answer.known = { epoch { message.known_epoch() }, sequence { message.known_sequence() } };
    return answer;
}

std::uint64_t clockUs(instant now) noexcept
{
    return static_cast<std::uint64_t>(now.time_since_epoch().count());
}

} // namespace pimentomast::serve::detail
