#include "relaying_store.h"

#include "pimentomast/telemetry.h"

namespace pimentomast::serve::detail {
namespace {

namespace wire = peers::wire;

/// Time after a failed call for which other hosts are tried first: a call that the store does not
/// answer takes its whole timeout.
constexpr std::chrono::milliseconds ownPauseMs { 1000 };
/// Time after a failed relay for which no other host is tried, so that an outage of the whole store
/// does not double the calls to it.
constexpr std::chrono::milliseconds relayPauseMs { 300 };

store::row rowIn(const wire::RowReply& reply, const std::string& key)
{
    return { key, reply.row().value(), row_version { reply.row().version() },
        store::write_id { reply.row().writer() } };
}

void setRow(wire::RowReply& reply, const store::row& row)
{
    reply.mutable_row()->set_value(row.value);
    reply.mutable_row()->set_version(row.version.value());
    reply.mutable_row()->set_writer(row.writer.value());
}

wire::RowReply replyOf(const result<std::optional<store::row>>& found)
{
    wire::RowReply reply;
    if (!found)
        return reply;
    reply.set_outcome(found.value() ? wire::RowReply::FOUND : wire::RowReply::MISSING);
    if (found.value())
        setRow(reply, *found.value());
    return reply;
}

struct reply_visitor {
    wire::RowReply operator()(const store::write_accepted& done) const
    {
        wire::RowReply reply;
        reply.set_outcome(wire::RowReply::ACCEPTED);
        reply.mutable_row()->set_version(done.version.value());
        return reply;
    }
    wire::RowReply operator()(const store::write_conflict& lost) const
    {
        wire::RowReply reply;
        reply.set_outcome(lost.current ? wire::RowReply::CONFLICT : wire::RowReply::MISSING);
        if (lost.current)
            setRow(reply, *lost.current);
        return reply;
    }
    wire::RowReply operator()(const store::write_refused&) const { return {}; }
    wire::RowReply operator()(const store::write_unknown&) const
    {
        wire::RowReply reply;
        reply.set_outcome(wire::RowReply::UNKNOWN);
        return reply;
    }
};

const error* failureOf(const store::write_outcome& outcome)
{
    if (const auto* refused = std::get_if<store::write_refused>(&outcome))
        return &refused->cause;
    const auto* unknown = std::get_if<store::write_unknown>(&outcome);
    return unknown ? &unknown->cause : nullptr;
}

error lostReply(const std::string& key) { return { "relay row", key, "outcome is not known" }; }

} // namespace

result<std::optional<store::row>> relaying_store::read(const std::string& key)
{
    if (m_ownPause.holds()) {
        if (auto found = relayRead(key))
            return *std::move(found);
        return readOwn(key);
    }
    auto found = readOwn(key);
    if (found)
        return found;
    if (auto relayed = relayRead(key))
        return *std::move(relayed);
    return found;
}

store::write_outcome relaying_store::write(const std::string& key, row_version expected,
    const std::string& value, const store::write_id& id)
{
    wire::RowRequest request;
    request.set_key(key);
    request.set_write(true);
    request.set_expected(expected.value());
    request.set_value(value);
    request.set_writer(id.value());
    if (m_ownPause.holds()) {
        if (auto relayed = relayWrite(request))
            return *std::move(relayed);
        return writeOwn(key, expected, value, id);
    }
    auto outcome = writeOwn(key, expected, value, id);
    // A write that may still take effect is settled by reading back, not by a second one.
    if (!std::holds_alternative<store::write_refused>(outcome))
        return outcome;
    return relayWrite(request).value_or(std::move(outcome));
}

wire::RowReply relaying_store::answer(const wire::RowRequest& request)
{
    if (m_ownPause.holds())
        return {};
    if (!request.write())
        return replyOf(readOwn(request.key()));
    const auto outcome = writeOwn(request.key(), row_version { request.expected() },
        request.value(), store::write_id { request.writer() });
    return std::visit(reply_visitor {}, outcome);
}

result<std::optional<store::row>> relaying_store::readOwn(const std::string& key)
{
    auto found = m_own.read(key);
    recordOwn(found ? nullptr : &found.error());
    return found;
}

store::write_outcome relaying_store::writeOwn(const std::string& key, row_version expected,
    const std::string& value, const store::write_id& id)
{
    auto outcome = m_own.write(key, expected, value, id);
    recordOwn(failureOf(outcome));
    return outcome;
}

void relaying_store::recordOwn(const error* failure)
{
    if (failure == nullptr) {
        m_ownPause.end();
        m_ownFails = false;
        return;
    }
    m_ownPause.begin(ownPauseMs);
    if (!m_ownFails.exchange(true) && m_relay)
        telemetry::log(
            telemetry::severity::Info, "rows-relayed", { { "reason", failure->text() } });
}

std::optional<wire::RowReply> relaying_store::relay(const wire::RowRequest& request)
{
    const auto reply = tryRelay(request);
    return reply ? reply.value() : std::nullopt;
}

result<std::optional<wire::RowReply>> relaying_store::tryRelay(const wire::RowRequest& request)
{
    if (!m_relay || m_relayPause.holds())
        return std::optional<wire::RowReply>();
    auto reply = m_relay(request);
    if (!reply) {
        m_relayPause.begin(relayPauseMs);
        return reply.error();
    }
    if (reply.value().outcome() == wire::RowReply::UNAVAILABLE) {
        m_relayPause.begin(relayPauseMs);
        return std::optional<wire::RowReply>();
    }
    ++m_relayedCalls;
    return std::optional(std::move(reply).value());
}

std::optional<std::optional<store::row>> relaying_store::relayRead(const std::string& key)
{
    wire::RowRequest request;
    request.set_key(key);
    const auto reply = relay(request);
    if (!reply)
        return std::nullopt;
    if (reply->outcome() == wire::RowReply::MISSING)
        return std::optional<store::row>();
    return rowIn(*reply, key);
}

std::optional<store::write_outcome> relaying_store::relayWrite(const wire::RowRequest& request)
{
    const auto reply = tryRelay(request);
    if (!reply)
        return store::write_unknown { reply.error() };
    if (!reply.value())
        return std::nullopt;
    const auto& done = *reply.value();
    switch (done.outcome()) {
    case wire::RowReply::ACCEPTED:
        return store::write_accepted { row_version { done.row().version() } };
    case wire::RowReply::CONFLICT:
        return store::write_conflict { rowIn(done, request.key()) };
    case wire::RowReply::MISSING:
        return store::write_conflict {};
    default:
        return store::write_unknown { lostReply(request.key()) };
    }
}

} // namespace pimentomast::serve::detail
