#include "directory.h"

#include <algorithm>
#include <mutex>

namespace pimentomast::serve::detail {
namespace {

constexpr int maxAssignmentsPerUpdate = 4;
/// Time in which the publication of an assignment may still be on its way to a peer.
constexpr std::chrono::milliseconds publicationTimePerSliceMs { 1 };
/// Adjacent numeric keys differ in load, so each is counted separately.
constexpr std::uint64_t countedRangeWidth = table::keyWidth(table::key_form::Number);

struct owner_visitor {
    routing::owner_answer operator()(const ownership::route& found) const
    {
        return routing::owned_by { found.owner, found.grant };
    }
    routing::owner_answer operator()(const ownership::held_route& held) const
    {
        return routing::held_until { held.until };
    }
    routing::owner_answer operator()(const ownership::no_route&) const
    {
        return routing::no_owner {};
    }
    routing::owner_answer operator()(const ownership::expired_route&) const
    {
        return routing::no_owner {};
    }
};

bool hasUncheckedTarget(const table::table& table, const service_id& service)
{
    return std::any_of(table.targets.begin(), table.targets.end(),
        [&](const auto& target) { return target.service == service && !target.checksTokens; });
}

} // namespace

token directory::versionIn(const wire_versions& versions, const service_id& service)
{
    for (const auto& known : versions) {
        if (known.service() == service.value())
            return { epoch { known.epoch() }, sequence { known.sequence() } };
    }
    return {};
}

routing::owner_answer directory::find(instant now, const service_id& service, key_hash key) const
{
    const std::shared_lock guard(m_lock);
    const auto found = m_services.find(service);
    if (found == m_services.end())
        return routing::no_owner {};
    return std::visit(owner_visitor {}, found->second.routes.find(key, now));
}

std::shared_ptr<const table::table> directory::currentTable() const
{
    const std::shared_lock guard(m_lock);
    return m_table;
}

void directory::putTable(std::shared_ptr<const table::table> table)
{
    const std::unique_lock guard(m_lock);
    m_table = std::move(table);
    for (auto& [service, known] : m_services)
        known.routes.requireLease(hasUncheckedTarget(*m_table, service));
}

bool directory::putAssignment(
    instant now, const ownership::assignment& newer, const host_id& coordinator)
{
    const std::unique_lock guard(m_lock);
    auto& known = m_services[newer.service];
    if (m_table)
        known.routes.requireLease(hasUncheckedTarget(*m_table, newer.service));
    if (!known.routes.replaceIfNewer(newer))
        return false;
    known.coordinator = coordinator;
    known.versions.add(now, newer.version());
    return true;
}

token directory::version(const service_id& service) const
{
    const std::shared_lock guard(m_lock);
    const auto found = m_services.find(service);
    return found == m_services.end() ? token {} : found->second.routes.version();
}

std::optional<slice> directory::sliceOf(const service_id& service, key_hash key) const
{
    const std::shared_lock guard(m_lock);
    const auto found = m_services.find(service);
    if (found == m_services.end() || !found->second.routes.current())
        return {};
    const auto* owned = found->second.routes.current()->find(key);
    return owned ? std::optional(owned->range) : std::nullopt;
}

std::optional<slice> directory::countedRange(const service_id& service, key_hash key) const
{
    auto range = sliceOf(service, key);
    const auto table = currentTable();
    const auto* row = table ? table->service(service) : nullptr;
    if (!range || !row || row->keyForm != table::key_form::Number)
        return range;
    const auto first = key.value() - key.value() % countedRangeWidth;
    range->first = std::max(range->first, key_hash { first });
    range->last = std::min(range->last, key_hash { first + (countedRangeWidth - 1) });
    return range;
}

host_id directory::coordinator(const service_id& service) const
{
    const std::shared_lock guard(m_lock);
    const auto found = m_services.find(service);
    return found == m_services.end() ? host_id {} : found->second.coordinator;
}

void directory::hold(const service_id& service, slice range, token version, instant until)
{
    const std::unique_lock guard(m_lock);
    m_services[service].routes.hold(range, version, until);
}

route_versions directory::renewRoute(
    instant now, const service_id& service, const ownership::renew_route& renewal)
{
    const std::unique_lock guard(m_lock);
    auto& known = m_services[service];
    known.routes.renew(renewal, m_self);
    const auto* newest = known.routes.current();
    if (!newest)
        return {};
    return { newest->version(), known.forwarded.confirm(now, *newest) };
}

bool directory::needsRouteLease(const service_id& service) const
{
    const std::shared_lock guard(m_lock);
    const auto found = m_services.find(service);
    return found != m_services.end() && found->second.routes.leaseRequired();
}

bool directory::beginForward(instant now, const service_id& service, key_hash key,
    const ownership::attempt_id& attempt, const ownership::route& to)
{
    const std::unique_lock guard(m_lock);
    auto& known = m_services[service];
    const auto outcome = known.routes.find(key, now);
    const auto* found = std::get_if<ownership::route>(&outcome);
    if (!found || found->owner != to.owner || found->grant != to.grant)
        return false;
    known.forwarded.begin(attempt, key, to.owner);
    return true;
}

void directory::endForward(const service_id& service, const ownership::attempt_id& attempt)
{
    const std::unique_lock guard(m_lock);
    m_services[service].forwarded.end(attempt);
}

void directory::abandonForward(
    instant now, const service_id& service, const ownership::attempt_id& attempt)
{
    const std::unique_lock guard(m_lock);
    m_services[service].forwarded.giveUp(attempt, now + m_cancelLimit);
}

void directory::describe(wire_versions& versions) const
{
    const std::shared_lock guard(m_lock);
    for (const auto& [service, known] : m_services) {
        const auto version = known.routes.version();
        auto* message = versions.Add();
        message->set_service(service.value());
        message->set_epoch(version.coordinator.value());
        message->set_sequence(version.assignment.value());
    }
}

std::optional<ownership::assignment> directory::assignmentOf(const service_id& service) const
{
    const std::shared_lock guard(m_lock);
    const auto found = m_services.find(service);
    const auto* current = found == m_services.end() ? nullptr : found->second.routes.current();
    return current ? std::optional(*current) : std::nullopt;
}

bool directory::lacks(const entry& known, instant now, token ofPeer)
{
    const auto* current = known.routes.current();
    if (!current)
        return false;
    if (ofPeer == token {})
        return true;
    const auto slices = static_cast<std::int64_t>(current->slices.size());
    const auto age = std::min(version_history::maxAge, publicationTimePerSliceMs * slices);
    return ofPeer < known.versions.knownFor(now, age);
}

void directory::addNewer(instant now, const wire::Digest& digest, wire::Update& update) const
{
    const std::shared_lock guard(m_lock);
    for (const auto& [service, known] : m_services) {
        const bool isLacking = lacks(known, now, versionIn(digest.assignments(), service));
        if (isLacking && update.assignments_size() < maxAssignmentsPerUpdate)
            *update.add_assignments() = toWire(*known.routes.current(), known.coordinator);
    }
}

} // namespace pimentomast::serve::detail
