#pragma once

#include "pimentomast/peers.h"
#include "pimentomast/store.h"

#include <atomic>
#include <functional>

namespace pimentomast::serve::detail {

/// Store services that reach rows through another host while the store does not answer this one: it
/// may turn single hosts away and serve the others. Objects and the list of hosts are not relayed.
/// Thread-safe.
class relaying_store final : public store::services {
public:
    /// Sends a request to another host and waits for its reply. Fails if none came; the other host
    /// may have carried the request out then.
    using relay_call = std::function<result<peers::wire::RowReply>(const peers::wire::RowRequest&)>;

    /// own must outlive the object. Without a relay, calls fail as those of own do.
    relaying_store(store::services& own, relay_call relay)
        : m_own(own)
        , m_relay(std::move(relay))
    {
    }

    result<std::optional<store::row>> read(const std::string& key) override;
    store::write_outcome write(const std::string& key, row_version expected,
        const std::string& value, const store::write_id& id) override;
    result<void> putObject(const std::string& name, const std::string& bytes) override
    {
        return m_own.putObject(name, bytes);
    }
    result<std::optional<std::string>> getObject(const std::string& name) override
    {
        return m_own.getObject(name);
    }
    result<std::vector<store::listed_host>> hosts() override { return m_own.hosts(); }
    [[nodiscard]] store::era_state era() const override { return m_own.era(); }

    /// Carries out another host's request, which is not relayed further.
    [[nodiscard]] peers::wire::RowReply answer(const peers::wire::RowRequest& request);
    /// Returns how many calls other hosts have carried out for this one.
    [[nodiscard]] std::uint64_t relayedCalls() const noexcept { return m_relayedCalls; }

private:
    /// A time until which calls are avoided, since the last one failed.
    class pause {
    public:
        [[nodiscard]] bool holds() const { return monotonic_clock::now() < m_until.load(); }
        void begin(duration length) { m_until = monotonic_clock::now() + length; }
        void end() { m_until = instant {}; }

    private:
        std::atomic<instant> m_until { instant {} };
    };

    result<std::optional<store::row>> readOwn(const std::string& key);
    store::write_outcome writeOwn(const std::string& key, row_version expected,
        const std::string& value, const store::write_id& id);
    void recordOwn(const error* failure);
    /// Returns nothing if no other host has reached the store.
    std::optional<peers::wire::RowReply> relay(const peers::wire::RowRequest& request);
    /// Fails if the reply was lost.
    result<std::optional<peers::wire::RowReply>> tryRelay(const peers::wire::RowRequest& request);
    std::optional<std::optional<store::row>> relayRead(const std::string& key);
    std::optional<store::write_outcome> relayWrite(const peers::wire::RowRequest& request);

    store::services& m_own;
    relay_call m_relay;
    pause m_ownPause;
    pause m_relayPause;
    std::atomic<bool> m_ownFails { false };
    std::atomic<std::uint64_t> m_relayedCalls { 0 };
};

} // namespace pimentomast::serve::detail
