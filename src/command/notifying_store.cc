#include "notifying_store.h"

#include "pimentomast/edits.h"
#include "pimentomast/peers.h"

#include <condition_variable>
#include <mutex>

namespace pimentomast::command::detail {
namespace {

constexpr std::chrono::milliseconds noticeTimeoutMs { 500 };

/// Sender name of notices from the command line; not the id of a host.
const std::string senderName = "command-line";

/// Number of notices sent whose responses are still pending.
struct pending_notices {
    std::mutex mutex;
    std::condition_variable changed;
    std::size_t pending = 0;
};

/// Clients are never destroyed: gRPC 1.51 may abort if a client is destroyed while its connection
/// attempts are failing.
std::vector<std::shared_ptr<peers::client>>& clients()
{
    static auto& instance = *new std::vector<std::shared_ptr<peers::client>>;
    return instance;
}

class notifying_store final : public store::services {
public:
    explicit notifying_store(std::unique_ptr<store::services> store)
        : m_store(std::move(store))
    {
    }

    result<std::optional<store::row>> read(const std::string& key) override
    {
        auto found = m_store->read(key);
        if (found && found.value() && key == table::configRow)
            notify(found.value()->version, found.value()->value);
        return found;
    }

    store::write_outcome write(const std::string& key, row_version expected,
        const std::string& value, const store::write_id& id) override
    {
        if (key == table::configRow)
            connectToHosts();
        auto outcome = m_store->write(key, expected, value, id);
        const auto* accepted = std::get_if<store::write_accepted>(&outcome);
        if (accepted && key == table::configRow)
            notify(accepted->version, value);
        return outcome;
    }

    result<void> putObject(const std::string& name, const std::string& bytes) override
    {
        return m_store->putObject(name, bytes);
    }

    result<std::optional<std::string>> getObject(const std::string& name) override
    {
        return m_store->getObject(name);
    }

    result<std::vector<store::listed_host>> hosts() override { return m_store->hosts(); }

private:
    /// Creates clients for the listed hosts. Before the first call, notify() has no recipients.
    void connectToHosts()
    {
        const auto listed = m_store->hosts();
        if (!listed)
            return;
        clients().reserve(clients().size() + listed.value().size());
        for (const auto& host : listed.value())
            clients().push_back(peers::client::create(host.peers));
    }

    void notify(row_version version, const std::string& value)
    {
        peers::wire::Notice notice;
        notice.set_host(senderName);
        notice.mutable_table()->set_version(version.value());
        notice.mutable_table()->set_value(value);
        const auto state = std::make_shared<pending_notices>();
        state->pending = clients().size();
        for (const auto& client : clients())
            client->publish(notice, noticeTimeoutMs, [state](const auto&) {
                const std::lock_guard lock(state->mutex);
                --state->pending;
                state->changed.notify_all();
            });
        std::unique_lock lock(state->mutex);
        state->changed.wait_for(lock, 2 * noticeTimeoutMs, [&] { return state->pending == 0; });
    }

    std::unique_ptr<store::services> m_store;
};

} // namespace

std::unique_ptr<store::services> notifyHosts(std::unique_ptr<store::services> store)
{
    return std::make_unique<notifying_store>(std::move(store));
}

} // namespace pimentomast::command::detail
