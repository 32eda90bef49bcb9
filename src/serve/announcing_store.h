#pragma once

#include "pimentomast/edits.h"
#include "pimentomast/store.h"

#include <functional>

namespace pimentomast::serve::detail {

/// Store services for the administration API. Announces each accepted table to all hosts at once,
/// so that it takes effect even if a store outage follows. A table that is read is announced too,
/// since a write whose reply was lost is resolved by reading the row back. Thread-safe.
class announcing_store : public store::services {
public:
    using announce_handler = std::function<void(config_version, const std::string&)>;

    announcing_store(store::services& store, announce_handler announce)
        : m_store(store)
        , m_announce(std::move(announce))
    {
    }

    result<std::optional<store::row>> read(const std::string& key) override
    {
        auto found = m_store.read(key);
        if (found && found.value() && key == table::configRow)
            announce(found.value()->version, found.value()->value);
        return found;
    }

    store::write_outcome write(const std::string& key, row_version expected,
        const std::string& value, const store::write_id& id) override
    {
        auto outcome = m_store.write(key, expected, value, id);
        const auto* accepted = std::get_if<store::write_accepted>(&outcome);
        if (accepted && key == table::configRow)
            announce(accepted->version, value);
        return outcome;
    }

    result<void> putObject(const std::string& name, const std::string& bytes) override
    {
        return m_store.putObject(name, bytes);
    }

    result<std::optional<std::string>> getObject(const std::string& name) override
    {
        return m_store.getObject(name);
    }

    result<std::vector<store::listed_host>> hosts() override { return m_store.hosts(); }
    [[nodiscard]] store::era_state era() const override { return m_store.era(); }

private:
    void announce(row_version version, const std::string& value) const
    {
        m_announce(config_version { version.value() }, value);
    }

    store::services& m_store;
    announce_handler m_announce;
};

} // namespace pimentomast::serve::detail
