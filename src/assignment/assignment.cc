#include "json.h"

#include <algorithm>
#include <limits>

namespace pimentomast::ownership {

namespace {
constexpr std::uint64_t highestHash = std::numeric_limits<std::uint64_t>::max();

error invalid(const assignment& value, const std::string& reason)
{
    return { "check assignment", value.service.value(), reason };
}

Poco::JSON::Object::Ptr toJson(const owned_slice& value)
{
    auto object = Poco::makeShared<Poco::JSON::Object>();
    object->set("first", detail::hexText(value.range.first.value()));
    object->set("last", detail::hexText(value.range.last.value()));
    object->set("owner", value.owner.value());
    object->set("epoch", value.grant.coordinator.value());
    object->set("sequence", value.grant.assignment.value());
    if (value.standby)
        object->set("standby", value.standby->value());
    return object;
}

owned_slice toSlice(const Poco::JSON::Object& object)
{
    owned_slice value;
    value.range.first = key_hash { detail::hexNumber(object.getValue<std::string>("first")) };
    value.range.last = key_hash { detail::hexNumber(object.getValue<std::string>("last")) };
    value.owner = target_id { object.getValue<std::string>("owner") };
    value.grant.coordinator = epoch { object.getValue<Poco::UInt64>("epoch") };
    value.grant.assignment = sequence { object.getValue<Poco::UInt64>("sequence") };
    if (object.has("standby"))
        value.standby = target_id { object.getValue<std::string>("standby") };
    return value;
}

assignment toAssignment(const Poco::JSON::Object& object)
{
    assignment value;
    value.service = service_id { object.getValue<std::string>("service") };
    value.coordinator = epoch { object.getValue<Poco::UInt64>("epoch") };
    value.number = sequence { object.getValue<Poco::UInt64>("sequence") };
    for (const auto& entry : *detail::arrayOf(object, "slices"))
        value.slices.push_back(toSlice(*entry.extract<Poco::JSON::Object::Ptr>()));
    return value;
}
} // namespace

const owned_slice* assignment::find(key_hash hash) const noexcept
{
    const auto after = std::upper_bound(slices.begin(), slices.end(), hash,
        [](key_hash left, const owned_slice& right) { return left < right.range.first; });
    if (after == slices.begin())
        return nullptr;
    const auto& candidate = *std::prev(after);
    return candidate.range.contains(hash) ? &candidate : nullptr;
}

result<void> check(const assignment& value)
{
    if (value.slices.empty())
        return invalid(value, "no slices");
    std::uint64_t next = 0;
    for (const auto& each : value.slices) {
        if (each.range.first.value() != next || each.range.last < each.range.first)
            return invalid(value, "gap or overlap at " + detail::hexText(next));
        if (each.owner.value().empty())
            return invalid(value, "no owner at " + detail::hexText(next));
        if (value.version() < each.grant)
            return invalid(value, "token above the version at " + detail::hexText(next));
        const bool isLast = &each == &value.slices.back();
        if (isLast != (each.range.last.value() == highestHash))
            return invalid(value, "the hash space is not covered to its end");
        next = each.range.last.value() + 1;
    }
    return boost::outcome_v2::success();
}

std::string format(const assignment& value)
{
    Poco::JSON::Array slices;
    for (const auto& each : value.slices)
        slices.add(toJson(each));
    Poco::JSON::Object object;
    object.set("service", value.service.value());
    object.set("epoch", value.coordinator.value());
    object.set("sequence", value.number.value());
    object.set("slices", slices);
    return detail::text(object);
}

result<assignment> parseAssignment(const std::string& text)
{
    auto parsed = detail::parseObject<assignment>("parse assignment", text, toAssignment);
    if (!parsed)
        return parsed;
    const auto checked = check(parsed.value());
    if (!checked)
        return checked.error();
    return parsed;
}

std::string assignmentKey(const service_id& service) { return "assignment/" + service.value(); }

} // namespace pimentomast::ownership
