#pragma once

#include "target-state.h"

#include <Poco/JSON/Array.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/NumberParser.h>

/// HTTP handlers for grants, health, control and record.
namespace stand_in {

namespace net = Poco::Net;

inline void sendText(
    net::HTTPServerResponse& response, int status, const std::string& type, const std::string& text)
{
    response.setStatusAndReason(static_cast<net::HTTPResponse::HTTPStatus>(status));
    response.setContentType(type);
    response.setContentLength64(static_cast<Poco::Int64>(text.size()));
    // sendBuffer() would send only once the handler has returned.
    response.send() << text << std::flush;
}

inline grant_message readGrant(std::istream& in)
{
    const auto object = Poco::JSON::Parser().parse(in).extract<Poco::JSON::Object::Ptr>();
    grant_message message;
    message.epoch = object->getValue<Poco::UInt64>("epoch");
    message.sequence = object->getValue<Poco::UInt64>("sequence");
    message.incarnation = object->optValue<Poco::UInt64>("incarnation", 0);
    message.echoUs = object->optValue<Poco::Int64>("echo_us", 0);
    message.leaseMs = object->optValue<Poco::Int64>("lease_ms", 0);
    message.adopt = object->optValue("adopt", false);
    message.repeats = object->optValue<Poco::UInt64>("repeats", 0);
    const auto slices = object->getArray("slices");
    for (std::size_t i = 0; slices && i < slices->size(); ++i) {
        const auto entry = slices->getObject(static_cast<unsigned>(i));
        granted_slice slice;
        slice.range.first = pm::key_hash { Poco::NumberParser::parseHex64(
            entry->getValue<std::string>("first")) };
        slice.range.last
            = pm::key_hash { Poco::NumberParser::parseHex64(entry->getValue<std::string>("last")) };
        slice.grant.coordinator = pm::epoch { entry->getValue<Poco::UInt64>("epoch") };
        slice.grant.assignment = pm::sequence { entry->getValue<Poco::UInt64>("sequence") };
        message.slices.push_back(slice);
    }
    return message;
}

inline Poco::JSON::Object reportedLoad(target_state& state)
{
    const behaviour now = state.controls.get();
    Poco::JSON::Object load;
    load.set(
        "running", now.wrongRunning >= 0 ? now.wrongRunning : static_cast<int>(state.running()));
    load.set("queued", std::max(now.wrongQueued, 0));
    load.set("slots", now.slots);
    return load;
}

inline Poco::JSON::Array heldSlices(const grant_state& grants)
{
    Poco::JSON::Array held;
    for (const held_slice& slice : grants.held()) {
        Poco::JSON::Object entry;
        entry.set("first", hex16(slice.slice.range.first.value()));
        entry.set("last", hex16(slice.slice.range.last.value()));
        entry.set("epoch", slice.slice.grant.coordinator.value());
        entry.set("sequence", slice.slice.grant.assignment.value());
        entry.set("draining", slice.draining);
        held.add(entry);
    }
    return held;
}

/// Lists the held slices unless they are exactly those that the message repeats.
inline std::string grantAnswer(
    target_state& state, const grant_message& message, std::int64_t receivedUs)
{
    const grant_state grants = state.grants();
    Poco::JSON::Object answer;
    answer.set("incarnation", grants.incarnation());
    answer.set("clock_us", receivedUs);
    answer.set("epoch", grants.epoch());
    if (grants.holdsRepeatedList(message))
        answer.set("repeats", message.repeats);
    else
        answer.set("held", heldSlices(grants));
    answer.set("load", reportedLoad(state));
    return toJsonLine(answer);
}

class grant_handler : public net::HTTPRequestHandler {
public:
    explicit grant_handler(target_state& state)
        : m_state(state)
    {
    }

    void handleRequest(net::HTTPServerRequest& request, net::HTTPServerResponse& response) override
    {
        if (m_state.controls.get().ignoreGrants)
            return;
        m_state.waitWhileFrozen();
        const std::int64_t receivedUs = nowUs();
        const grant_message message = readGrant(request.stream());
        const grant_answer answer = m_state.receive(message, receivedUs);
        if (answer == grant_answer::OldEpoch) {
            const std::string highest
                = "{\"epoch\":" + std::to_string(m_state.grants().epoch()) + "}\n";
            return sendText(response, 409, "application/json", highest);
        }
        const int status = answer == grant_answer::Accepted ? 200 : 409;
        sendText(response, status, "application/json", grantAnswer(m_state, message, receivedUs));
    }

private:
    target_state& m_state;
};

class health_handler : public net::HTTPRequestHandler {
public:
    explicit health_handler(target_state& state)
        : m_state(state)
    {
    }

    void handleRequest(net::HTTPServerRequest&, net::HTTPServerResponse& response) override
    {
        m_state.waitWhileFrozen();
        Poco::JSON::Object answer;
        answer.set("incarnation", m_state.grants().incarnation());
        answer.set("load", reportedLoad(m_state));
        sendText(response, 200, "application/json", toJsonLine(answer));
    }

private:
    target_state& m_state;
};

class control_handler : public net::HTTPRequestHandler {
public:
    explicit control_handler(target_state& state)
        : m_state(state)
    {
    }

    void handleRequest(net::HTTPServerRequest& request, net::HTTPServerResponse& response) override
    {
        m_state.controls.change(request.stream());
        sendText(response, 200, "application/json", "{}\n");
    }

private:
    target_state& m_state;
};

class record_handler : public net::HTTPRequestHandler {
public:
    explicit record_handler(target_state& state)
        : m_state(state)
    {
    }

    void handleRequest(net::HTTPServerRequest&, net::HTTPServerResponse& response) override
    {
        const grant_state grants = m_state.grants();
        std::string text = m_state.runs.requests();
        for (const held_interval& interval : grants.intervals())
            text += toJsonLine(m_state.settings.id, grants.incarnation(), interval);
        sendText(response, 200, "application/x-ndjson", text);
    }

private:
    target_state& m_state;
};

} // namespace stand_in
