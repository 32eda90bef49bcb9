#include "../assignment/json.h"
#include "pimentomast/ownership.h"

namespace pimentomast::ownership {

namespace {
Poco::JSON::Object::Ptr toJson(const host_run& value)
{
    auto object = Poco::makeShared<Poco::JSON::Object>();
    object->set("host", value.host.value());
    object->set("incarnation", value.run.value());
    return object;
}

host_run toHostRun(const Poco::JSON::Object::Ptr& object)
{
    if (!object)
        throw Poco::InvalidArgumentException("host is not an object");
    host_run value;
    value.host = host_id { object->getValue<std::string>("host") };
    value.run = incarnation { object->getValue<Poco::UInt64>("incarnation") };
    return value;
}

std::vector<host_run> toHostRuns(const Poco::JSON::Array::Ptr& array)
{
    if (!array)
        throw Poco::InvalidArgumentException("hosts are not an array");
    std::vector<host_run> value;
    for (const auto& entry : *array)
        value.push_back(toHostRun(entry.extract<Poco::JSON::Object::Ptr>()));
    return value;
}

Poco::JSON::Array::Ptr toJson(const std::vector<host_run>& value)
{
    auto array = Poco::makeShared<Poco::JSON::Array>();
    for (const auto& each : value)
        array->add(toJson(each));
    return array;
}

coordinator_row toRow(const Poco::JSON::Object& object)
{
    coordinator_row value;
    value.service = service_id { object.getValue<std::string>("service") };
    value.number = epoch { object.getValue<Poco::UInt64>("epoch") };
    value.holder = toHostRun(object.getObject("holder"));
    value.renewals = object.getValue<Poco::UInt64>("renewals");
    value.released = object.getValue<bool>("released");
    value.witnesses = toHostRuns(object.getArray("witnesses"));
    for (const auto& entry : *detail::arrayOf(object, "earlier"))
        value.earlier.push_back(toHostRuns(entry.extract<Poco::JSON::Array::Ptr>()));
    value.lostEpochs = object.optValue<bool>("lostEpochs", false);
    return value;
}
} // namespace

std::string format(const coordinator_row& value)
{
    Poco::JSON::Array earlier;
    for (const auto& each : value.earlier)
        earlier.add(toJson(each));
    Poco::JSON::Object object;
    object.set("service", value.service.value());
    object.set("epoch", value.number.value());
    object.set("holder", toJson(value.holder));
    object.set("renewals", value.renewals);
    object.set("released", value.released);
    object.set("witnesses", toJson(value.witnesses));
    object.set("earlier", earlier);
    if (value.lostEpochs)
        object.set("lostEpochs", true);
    return detail::text(object);
}

result<coordinator_row> parseCoordinatorRow(const std::string& text)
{
    return detail::parseObject<coordinator_row>("parse coordinator row", text, toRow);
}

std::string coordinatorKey(const service_id& service) { return "coordinator/" + service.value(); }

} // namespace pimentomast::ownership
