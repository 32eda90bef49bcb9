#pragma once

#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <atomic>
#include <cstdint>
#include <istream>
#include <mutex>
#include <string>

/// Behaviour of a target that a test can change at run time, by PUT /control with any of these
/// members.
namespace stand_in {

struct behaviour {
    unsigned slots = 4;
    /// Time that each request takes.
    unsigned serviceMs = 0;
    /// Extra time of the first request for a key.
    unsigned coldMs = 0;
    bool shed = false;
    /// Keep running after the caller has closed its connection.
    bool ignoreCancel = false;
    /// Answer before reading the request's body.
    bool earlyAnswer = false;
    /// Close the connection after each answer, without a reset and without announcing it.
    bool closeSilently = false;
    /// Send the answer without its length; it ends with the connection.
    bool unframed = false;
    /// Exit on a request whose path contains this text.
    std::string crashPath;
    /// "none", "before" running, "during" the answer, "after" running without an answer, or
    /// "upload": within the request's body.
    std::string reset = "none";
    /// Number of requests that are still to be reset.
    unsigned resetCount = 0;
    /// Load to report instead of the real one; negative: report the real one.
    int wrongRunning = -1;
    int wrongQueued = -1;
    /// Do not answer grant messages.
    bool ignoreGrants = false;
};

/// Thread-safe.
class control {
public:
    explicit control(const behaviour& initial)
        : m_behaviour(initial)
    {
    }

    [[nodiscard]] behaviour get() const
    {
        const std::lock_guard lock(m_mutex);
        return m_behaviour;
    }

    void change(std::istream& json)
    {
        const auto object = Poco::JSON::Parser().parse(json).extract<Poco::JSON::Object::Ptr>();
        const std::lock_guard lock(m_mutex);
        behaviour& now = m_behaviour;
        now.slots = object->optValue("slots", now.slots);
        now.serviceMs = object->optValue("service_ms", now.serviceMs);
        now.coldMs = object->optValue("cold_ms", now.coldMs);
        now.shed = object->optValue("shed", now.shed);
        now.ignoreCancel = object->optValue("ignore_cancel", now.ignoreCancel);
        now.earlyAnswer = object->optValue("early_answer", now.earlyAnswer);
        now.closeSilently = object->optValue("close_silently", now.closeSilently);
        now.unframed = object->optValue("unframed", now.unframed);
        now.crashPath = object->optValue("crash_path", now.crashPath);
        now.reset = object->optValue("reset", now.reset);
        now.resetCount = object->optValue("reset_count", now.resetCount);
        now.wrongRunning = object->optValue("wrong_running", now.wrongRunning);
        now.wrongQueued = object->optValue("wrong_queued", now.wrongQueued);
        now.ignoreGrants = object->optValue("deaf_to_grants", now.ignoreGrants);
        m_freezeMs = object->optValue("freeze_ms", 0U);
    }

    /// Returns the time for which the process is to freeze, and clears it.
    unsigned takeFreezeMs() { return m_freezeMs.exchange(0); }

    /// Returns true if this request is to be reset in the given way, and counts it.
    bool takeReset(const std::string& kind)
    {
        const std::lock_guard lock(m_mutex);
        if (m_behaviour.reset != kind || m_behaviour.resetCount == 0)
            return false;
        --m_behaviour.resetCount;
        return true;
    }

private:
    mutable std::mutex m_mutex;
    behaviour m_behaviour;
    std::atomic<unsigned> m_freezeMs { 0 };
};

} // namespace stand_in
