#include "grant_codec.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/NumberFormatter.h>
#include <Poco/NumberParser.h>
#include <sstream>

namespace pimentomast::serve::detail {
namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;

constexpr int hashDigits = 16;

std::string hex(key_hash hash)
{
    return Poco::NumberFormatter::formatHex(static_cast<Poco::UInt64>(hash.value()), hashDigits);
}

key_hash parseHash(const Object& object, const std::string& name)
{
    return key_hash { Poco::NumberParser::parseHex64(object.getValue<std::string>(name)) };
}

template <class Number>
Number numberOrZero(const Object& object, const std::string& name)
{
    return object.has(name) ? object.getValue<Number>(name) : Number {};
}

Object::Ptr formatSlice(const ownership::granted_slice& granted)
{
    Object::Ptr object = new Object;
    object->set("first", hex(granted.range.first));
    object->set("last", hex(granted.range.last));
    object->set("epoch", granted.grant.coordinator.value());
    object->set("sequence", granted.grant.assignment.value());
    return object;
}

Array::Ptr formatSlices(const std::vector<ownership::granted_slice>& slices)
{
    Array::Ptr array = new Array;
    for (const auto& granted : slices)
        array->add(formatSlice(granted));
    return array;
}

ownership::held_slice parseHeld(const Object& object)
{
    ownership::held_slice held;
    held.range = { parseHash(object, "first"), parseHash(object, "last") };
    held.grant.coordinator = epoch { object.getValue<Poco::UInt64>("epoch") };
    held.grant.assignment = sequence { object.getValue<Poco::UInt64>("sequence") };
    held.draining = object.optValue<bool>("draining", false);
    return held;
}

ownership::target_load parseLoad(const Object& object)
{
    ownership::target_load load;
    load.running = numberOrZero<unsigned>(object, "running");
    load.queued = numberOrZero<unsigned>(object, "queued");
    load.slots = numberOrZero<unsigned>(object, "slots");
    return load;
}

ownership::grant_reply parseReply(const Object& object)
{
    ownership::grant_reply reply;
    reply.target = incarnation { numberOrZero<Poco::UInt64>(object, "incarnation") };
    reply.clockUs = numberOrZero<Poco::UInt64>(object, "clock_us");
    reply.highest = epoch { numberOrZero<Poco::UInt64>(object, "epoch") };
    reply.repeats = sequence { numberOrZero<Poco::UInt64>(object, "repeats") };
    if (const Array::Ptr held = object.getArray("held")) {
        for (std::size_t i = 0; i < held->size(); ++i)
            reply.held.push_back(parseHeld(*held->getObject(static_cast<unsigned>(i))));
    }
    if (const Object::Ptr load = object.getObject("load"))
        reply.load = parseLoad(*load);
    return reply;
}

} // namespace

std::string format(const ownership::grant_message& message)
{
    Object object;
    object.set("service", message.service.value());
    object.set("host", message.host.value());
    object.set("epoch", message.coordinator.value());
    object.set("sequence", message.number.value());
    object.set("incarnation", message.target.value());
    object.set("echo_us", message.echoUs);
    object.set("lease_ms", static_cast<Poco::Int64>(message.lease.count()));
    object.set("adopt", message.adopt);
    if (message.repeats != sequence {})
        object.set("repeats", message.repeats.value());
    else
        object.set("slices", formatSlices(message.slices));
    std::ostringstream text;
    object.stringify(text);
    return text.str();
}

result<ownership::grant_reply> parseGrantReply(const std::string& text)
{
    try {
        Poco::JSON::Parser parser;
        const auto parsed = parser.parse(text);
        return parseReply(*parsed.extract<Object::Ptr>());
    } catch (const Poco::Exception& caught) {
        return error { "parse grant reply", "", caught.displayText() };
    }
}

} // namespace pimentomast::serve::detail
