#pragma once

#include "control.h"
#include "grants.h"
#include "record.h"

#include <atomic>
#include <set>
#include <shared_mutex>
#include <thread>

/// State of a stand-in target that its handlers share.
namespace stand_in {

inline std::int64_t nowUs() { return pm::monotonic_clock::now().time_since_epoch().count(); }

struct target_settings {
    std::string id = "target";
    std::string recordFile;
    bool checksTokens = true;
    /// Refuse requests without a key.
    bool keyed = false;
    behaviour initial;
};

/// Whether a request is run, or why not.
enum class admission {
    Admitted,
    Shed,
    NotOwner,
    Draining,
};

/// Thread-safe.
class target_state {
public:
    explicit target_state(const target_settings& initial)
        : settings(initial)
        , controls(initial.initial)
        , runs(initial.id, initial.recordFile)
        , m_grants(static_cast<std::uint64_t>(nowUs()))
    {
    }

    const target_settings settings;
    control controls;
    record runs;

    grant_answer receive(const grant_message& message, std::int64_t atUs)
    {
        const std::lock_guard lock(m_mutex);
        const grant_answer answer = m_grants.receive(message, atUs);
        runs.writeIntervals(m_grants.incarnation(), m_grants.intervals());
        return answer;
    }

    /// Reserves a slot and, if there is a key, enters the key's slice.
    admission admit(const std::optional<pm::key_hash>& key,
        const std::optional<pm::token>& presented, std::optional<std::uint64_t>& sliceId)
    {
        const behaviour now = controls.get();
        const std::lock_guard lock(m_mutex);
        if (!key && settings.keyed)
            return admission::NotOwner;
        if (now.shed || m_running >= now.slots)
            return admission::Shed;
        if (key && (settings.checksTokens || presented)) {
            if (settings.checksTokens && !presented)
                return admission::NotOwner;
            sliceId
                = m_grants.begin(*key, settings.checksTokens ? presented : std::nullopt, nowUs());
            if (!sliceId && settings.checksTokens)
                return m_grants.isDraining(*key) ? admission::Draining : admission::NotOwner;
        }
        ++m_running;
        return admission::Admitted;
    }

    void finishRequest(const std::optional<std::uint64_t>& sliceId)
    {
        const std::lock_guard lock(m_mutex);
        --m_running;
        if (sliceId)
            m_grants.end(*sliceId, nowUs());
        runs.writeIntervals(m_grants.incarnation(), m_grants.intervals());
    }

    /// Records that the key is served; returns true if it was not served before.
    bool recordFirstRequest(pm::key_hash key)
    {
        const std::lock_guard lock(m_mutex);
        return m_servedKeys.insert(key).second;
    }

    grant_state grants()
    {
        const std::lock_guard lock(m_mutex);
        m_grants.expire(nowUs());
        return m_grants;
    }

    unsigned running()
    {
        const std::lock_guard lock(m_mutex);
        return m_running;
    }

    /// Starts a freeze that was requested, and waits until the freeze ends.
    void waitWhileFrozen()
    {
        if (const unsigned freezeMs = controls.takeFreezeMs(); freezeMs > 0)
            m_frozenUntilUs = nowUs() + std::int64_t { freezeMs } * 1000;
        while (nowUs() < m_frozenUntilUs)
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }

private:
    std::mutex m_mutex;
    grant_state m_grants;
    unsigned m_running = 0;
    std::set<pm::key_hash> m_servedKeys;
    std::atomic<std::int64_t> m_frozenUntilUs { 0 };
};

} // namespace stand_in
