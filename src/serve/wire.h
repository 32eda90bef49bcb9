#pragma once

#include "peers.pb.h"
#include "pimentomast/ownership.h"
#include "pimentomast/routing.h"
#include "pimentomast/serve.h"

/// Conversions between the messages of peers and the types of the libraries that do no I/O.
namespace pimentomast::serve::detail {

namespace wire = peers::wire;

[[nodiscard]] wire::Assignment toWire(
    const ownership::assignment& value, const host_id& coordinator);
/// Returns the validated assignment. Fails if its slices do not cover the hash space exactly once.
[[nodiscard]] result<ownership::assignment> fromWire(const wire::Assignment& message);

[[nodiscard]] wire::AssignmentChange toWire(
    const ownership::assignment_change& value, const host_id& coordinator);
[[nodiscard]] ownership::assignment_change fromWire(const wire::AssignmentChange& message);

[[nodiscard]] wire::Crash toWire(const routing::crash& crash, instant now);
[[nodiscard]] routing::crash fromWire(const wire::Crash& message, instant now);

[[nodiscard]] wire::HostAddress toWire(const endpoint& address);
[[nodiscard]] endpoint fromWire(const wire::HostAddress& message);

[[nodiscard]] wire::TableStanding toWire(const followed_table& value, instant now);
/// Precondition: the message was sent no earlier than sentAt.
[[nodiscard]] followed_table fromWire(const wire::TableStanding& message, instant sentAt);

[[nodiscard]] wire::ChangedRow toWire(const changed_row& value);
[[nodiscard]] changed_row fromWire(const wire::ChangedRow& message);

/// The next four are for messages that state the tables of their sender: wire::Digest and
/// wire::Update.
template <class Message>
[[nodiscard]] row_changes changesIn(const Message& from)
{
    row_changes changes;
    for (const auto& each : from.rows())
        changes.rows.push_back(fromWire(each));
    if (from.has_span())
        changes.complete
            = row_span { row_version { from.span().after() }, row_version { from.span().until() } };
    return changes;
}

template <class Message>
void addStanding(const table_standing& standing, instant now, Message& to)
{
    *to.mutable_standing() = toWire(standing.targets, now);
    *to.mutable_configuration() = toWire(standing.configuration, now);
}

template <class Message>
[[nodiscard]] table_standing standingIn(const Message& from, instant sentAt)
{
    return { fromWire(from.standing(), sentAt), fromWire(from.configuration(), sentAt) };
}

template <class Message>
void addChanges(const row_changes& changes, Message& to)
{
    for (const auto& each : changes.rows)
        *to.add_rows() = toWire(each);
    if (!changes.complete)
        return;
    to.mutable_span()->set_after(changes.complete->after.value());
    to.mutable_span()->set_until(changes.complete->until.value());
}

/// For messages that their receiver passes on to other hosts.
template <class Message>
void addForward(const std::vector<endpoint>& receivers, Message& to)
{
    for (const auto& each : receivers)
        *to.add_forward_to() = toWire(each);
}

template <class Message>
[[nodiscard]] std::vector<endpoint> forwardIn(const Message& from)
{
    std::vector<endpoint> receivers;
    for (const auto& each : from.forward_to())
        receivers.push_back(fromWire(each));
    return receivers;
}

/// Precondition: the action names a range.
[[nodiscard]] wire::HoldRequest toWire(
    const service_id& service, const ownership::hold_slices& action);
/// Returns the ranges to hold.
[[nodiscard]] std::vector<slice> rangesOf(const wire::HoldRequest& message);

[[nodiscard]] wire::RouteRenewal toWire(
    const service_id& service, const ownership::renew_route& renewal);
[[nodiscard]] ownership::renew_route fromWire(const wire::RouteRenewal& message);
/// Returns a host's answer to the renewal.
[[nodiscard]] ownership::route_acknowledged fromWire(
    const wire::RouteRenewalReply& message, const ownership::renew_route& asked);

/// Returns the clock's reading in microseconds, as used in messages about route leases.
[[nodiscard]] std::uint64_t clockUs(instant now) noexcept;

} // namespace pimentomast::serve::detail
