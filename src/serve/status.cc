#include "node.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/NumberFormatter.h>
#include <sstream>

namespace pimentomast::serve::detail {
namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;

constexpr int fingerprintDigits = 16;

Object::Ptr describe(const coordination_status& service)
{
    Object::Ptr object = new Object;
    object->set("service", service.service.value());
    object->set("role", std::string(name(service.role)));
    object->set("epoch", service.number.value());
    object->set("slices", static_cast<unsigned>(service.slices));
    object->set("moves", static_cast<unsigned>(service.runningMoves));
    Array::Ptr unreachable = new Array;
    for (const auto& target : service.targets) {
        if (!target.reachable)
            unreachable->add(target.id.value());
    }
    object->set("unreachable_targets", unreachable);
    return object;
}

Object::Ptr describe(const routing::target_view& target)
{
    Object::Ptr object = new Object;
    object->set("target", target.target.value());
    object->set("service", target.service.value());
    object->set("outstanding", target.outstanding);
    object->set("queued", target.queued);
    object->set("window", target.window);
    object->set("ejected", target.ejected);
    object->set("cold", target.cold);
    object->set("speed_factor", target.speedFactor);
    return object;
}

Object::Ptr describe(const routing::crash& crash, instant now)
{
    Object::Ptr object = new Object(Poco::JSON_PRESERVE_KEY_ORDER);
    object->set("target", crash.target.value());
    object->set("incarnation", std::to_string(crash.run.value()));
    const auto age = std::chrono::duration_cast<std::chrono::seconds>(now - crash.at);
    object->set("seconds_ago", static_cast<Poco::Int64>(age.count()));
    return object;
}

Object::Ptr describe(const routing::suspect& request, instant now)
{
    Object::Ptr object = new Object(Poco::JSON_PRESERVE_KEY_ORDER);
    object->set("fingerprint",
        Poco::NumberFormatter::formatHex(
            static_cast<Poco::UInt64>(request.requestFingerprint.value()), fingerprintDigits));
    object->set("refused", request.refused);
    Array::Ptr crashes = new Array;
    for (const auto& crash : request.crashes)
        crashes->add(describe(crash, now));
    object->set("crashes", crashes);
    return object;
}

} // namespace

std::string node::crashesJson() const
{
    const auto now = monotonic_clock::now();
    Array::Ptr requests = new Array;
    for (const auto& each : m_dispatch->suspects())
        requests->add(describe(each, now));
    Object all;
    all.set("requests", requests);
    std::ostringstream text;
    all.stringify(text);
    return text.str();
}

std::string node::statusJson() const
{
    const auto now = monotonic_clock::now();
    const auto healthy = currentHealth();
    Object status;
    status.set("host", m_values.host.id.value());
    status.set("domain", m_values.host.domain.value());
    status.set("incarnation", std::to_string(m_incarnation.value()));
    status.set("accepting", healthy.accepting);
    status.set("reason", healthy.reason);
    status.set("table_version", m_gossip->version().value());
    Array::Ptr hosts = new Array;
    for (const auto& member : m_peerRegistry->live(now))
        hosts->add(member.id.value());
    status.set("live_hosts", hosts);
    Array::Ptr services = new Array;
    for (const auto& service : m_coordinators->status())
        services->add(describe(service));
    status.set("services", services);
    Array::Ptr targets = new Array;
    for (const auto& target : m_dispatch->targets())
        targets->add(describe(target));
    status.set("targets", targets);
    std::ostringstream text;
    status.stringify(text, 2);
    return text.str();
}

} // namespace pimentomast::serve::detail
