#pragma once

#include "record.h"

#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <algorithm>
#include <functional>
#include <memory>
#include <sstream>
#include <thread>
#include <vector>

/// Stand-ins for upstreams that hold keys, by the users' protocol page.
namespace review {

constexpr unsigned keyCount = 65536;
constexpr std::chrono::milliseconds workTime { 20 };

/// A range of keys that an upstream was granted.
struct granted_range {
    unsigned first = 0;
    unsigned last = 0;
    unsigned long fence = 0;
    long holdMs = 0;
};

/// One upstream: the keys that it holds and until when. Thread-safe.
class upstream {
public:
    /// Called for each grant that was accepted.
    using listener = std::function<void(const upstream& from, const granted_range& range)>;

    upstream(std::string id, record& log, listener onGrant)
        : m_id(std::move(id))
        , m_log(log)
        , m_onGrant(std::move(onGrant))
        , m_keys(keyCount)
    {
    }

    [[nodiscard]] const std::string& id() const { return m_id; }

    /// Returns the status of the answer.
    int grant(const granted_range& range)
    {
        const std::lock_guard guard(m_lock);
        for (unsigned key = range.first; key <= range.last; ++key) {
            if (m_keys[key].fence > range.fence) {
                m_log.add(m_id + " refuses " + textOf(range) + ": it has seen a higher fence");
                return 409;
            }
        }
        const auto until = steady::now() + std::chrono::milliseconds(range.holdMs);
        for (unsigned key = range.first; key <= range.last; ++key)
            m_keys[key] = { range.fence, until };
        m_log.add(m_id + " takes " + textOf(range));
        m_onGrant(*this, range);
        return 200;
    }

    void release(unsigned first, unsigned last)
    {
        const std::lock_guard guard(m_lock);
        for (unsigned key = first; key <= last; ++key)
            m_keys[key].until = {};
        m_log.add(m_id + " releases keys " + std::to_string(first) + " to " + std::to_string(last));
    }

    [[nodiscard]] bool holds(unsigned key)
    {
        const std::lock_guard guard(m_lock);
        return key < keyCount && steady::now() < m_keys[key].until;
    }

    [[nodiscard]] unsigned heldKeys()
    {
        const std::lock_guard guard(m_lock);
        const auto now = steady::now();
        return static_cast<unsigned>(std::count_if(
            m_keys.begin(), m_keys.end(), [now](const auto& each) { return now < each.until; }));
    }

    void note(const std::string& line) { m_log.add(m_id + " " + line); }

private:
    struct held_key {
        unsigned long fence = 0;
        steady::time_point until;
    };

    static std::string textOf(const granted_range& range)
    {
        return "keys " + std::to_string(range.first) + " to " + std::to_string(range.last)
            + ", fence " + std::to_string(range.fence) + ", for " + std::to_string(range.holdMs)
            + " ms";
    }

    const std::string m_id;
    record& m_log;
    const listener m_onGrant;
    std::mutex m_lock;
    std::vector<held_key> m_keys;
};

/// Answers the calls and requests that reach an upstream.
class upstream_handler : public Poco::Net::HTTPRequestHandler {
public:
    explicit upstream_handler(upstream& self)
        : m_self(self)
    {
    }

    void handleRequest(
        Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response) override
    {
        std::ostringstream body;
        body << request.stream().rdbuf();
        response.set("X-Instance-Id", m_self.id());
        if (request.get("X-Expect-Instance", m_self.id()) != m_self.id())
            return reject(response, request, 421);
        if (request.getURI() == "/healthz")
            return answer(response, 200, "");
        if (request.getURI() == "/grant")
            return grant(response, body.str());
        if (request.getURI() == "/release")
            return release(response, body.str());
        run(request, response);
    }

private:
    static void answer(Poco::Net::HTTPServerResponse& response, int status, const std::string& text)
    {
        response.setStatus(std::to_string(status));
        response.sendBuffer(text.data(), text.size());
    }

    static void reject(Poco::Net::HTTPServerResponse& response,
        const Poco::Net::HTTPServerRequest& request, int status)
    {
        response.set("X-Not-Executed", "1");
        response.set("X-Request-Id", request.get("X-Request-Id", ""));
        answer(response, status, "");
    }

    void grant(Poco::Net::HTTPServerResponse& response, const std::string& text)
    {
        const auto body = Poco::JSON::Parser().parse(text).extract<Poco::JSON::Object::Ptr>();
        const auto hold = body->getValue<std::string>("hold_time");
        const granted_range range { body->getValue<unsigned>("from"),
            body->getValue<unsigned>("to"), body->getValue<unsigned long>("fence"),
            std::stol(hold) };
        answer(response, m_self.grant(range), "{}");
    }

    void release(Poco::Net::HTTPServerResponse& response, const std::string& text)
    {
        const auto body = Poco::JSON::Parser().parse(text).extract<Poco::JSON::Object::Ptr>();
        m_self.release(body->getValue<unsigned>("from"), body->getValue<unsigned>("to"));
        // Work on the keys takes no longer than this.
        std::this_thread::sleep_for(workTime);
        response.set("X-Handover", "5c0e7a21d94b36f8");
        answer(response, 200, "{}");
    }

    void run(const Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response)
    {
        const auto id = request.get("X-Request-Id", "");
        const auto key = static_cast<unsigned>(std::stoul(request.get("X-Shard-Key", "0")));
        if (!m_self.holds(key)) {
            m_self.note("turns away request " + id + ", key " + std::to_string(key));
            return reject(response, request, 421);
        }
        m_self.note("runs request " + id + ", key " + std::to_string(key));
        std::this_thread::sleep_for(workTime);
        response.set("X-Request-Id", id);
        response.set("X-Response-Signature", "3e1b.07.5a2.600.0.c9f2a4d1");
        answer(response, 200, "of " + m_self.id());
    }

    upstream& m_self;
};

/// Makes a handler for each request.
template <class Handler, class State>
class handler_factory : public Poco::Net::HTTPRequestHandlerFactory {
public:
    explicit handler_factory(State& state)
        : m_state(state)
    {
    }
    Poco::Net::HTTPRequestHandler* createRequestHandler(
        const Poco::Net::HTTPServerRequest&) override
    {
        return new Handler(m_state);
    }

private:
    State& m_state;
};

} // namespace review
