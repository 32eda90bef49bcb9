#include "pimentomast/store.h"

#include "helper.h"

#include <criterion/criterion.h>

using namespace pimentomast;
using namespace pimentomast::store;

namespace {

struct fixture {
    endpoint address = test::freeAddress();
    test::process server = start();
    std::unique_ptr<services> client
        = connect({ address, std::chrono::milliseconds(2000) }).value();

    fixture()
    {
        cr_assert(test::waitUntil([this] { return client->hosts().has_value(); }));
    }

    test::process start() const
    {
        return test::process::start(
            "stand-in-store", { "--address", address.text() }, test::scratchFolder() + "/log");
    }
    void control(const std::string& json) const { test::put(address, "/control", json); }
};

template <class T>
bool is(const write_outcome& outcome)
{
    return std::holds_alternative<T>(outcome);
}

const row_version absent { 0 };

} // namespace

Test(store, writes_compare_versions)
{
    fixture f;
    cr_assert(!f.client->read("a/b %").value());
    cr_assert(is<write_accepted>(f.client->write("a/b %", absent, "\"x\"\n", write_id { "w1" })));
    const auto outcome = f.client->write("a/b %", absent, "y", write_id { "w2" });
    cr_assert(is<write_conflict>(outcome));
    cr_assert(std::get<write_conflict>(outcome).current->writer == write_id { "w1" });
    const auto stored = f.client->read("a/b %").value();
    cr_assert(stored->value == "\"x\"\n" && stored->version == row_version { 1 });
}

Test(store, objects_and_hosts_come_back)
{
    fixture f;
    const std::string bytes("\0\xff map", 6);
    cr_assert(f.client->putObject("map/1", bytes).has_value());
    cr_assert(f.client->putObject("map/1", bytes).has_value());
    cr_assert(*f.client->getObject("map/1").value() == bytes);
    cr_assert(!f.client->getObject("map/2").value());
    test::put(f.address, "/control/hosts",
        R"({"hosts":[{"id":"h1","domain":"d1","peers":"127.0.0.1:7","state":"leaving"}]})");
    const auto hosts = f.client->hosts().value();
    cr_assert(hosts.size() == 1 && hosts[0].state == host_state::Leaving);
    cr_assert((hosts[0].peers == endpoint { "127.0.0.1", 7 }));
}

Test(store, write_counts_as_refused_only_if_it_had_no_effect)
{
    fixture f;
    f.control(R"({"outage":"refuse"})");
    cr_assert(is<write_refused>(f.client->write("k", absent, "v", newWriteId())));
    f.control(R"({"outage":"silent"})");
    cr_assert(is<write_unknown>(f.client->write("k", absent, "v", newWriteId())));
    f.control(R"({"outage":"none","lose_replies":1})");
    cr_assert(is<write_unknown>(f.client->write("k", absent, "v", newWriteId())));
    f.server.kill();
    const auto outcome = f.client->write("k", absent, "v", newWriteId());
    cr_assert(is<write_refused>(outcome) || is<write_unknown>(outcome));
    cr_assert(is<write_refused>(f.client->write("k", absent, "v", newWriteId())));
}

Test(store, lost_reply_is_settled_by_reading_back)
{
    fixture f;
    f.control(R"({"lose_replies":1})");
    cr_assert(is<write_accepted>(writeSettled(*f.client, "k", absent, "v", newWriteId())));
    f.control(R"({"lose_replies":1})");
    cr_assert(is<write_conflict>(writeSettled(*f.client, "k", absent, "w", newWriteId())));
    const auto stored = f.client->read("k").value();
    cr_assert(stored->value == "v" && stored->version == row_version { 1 });
}

Test(store, unsettled_write_is_never_reported_as_refused)
{
    fixture f;
    f.control(R"({"outage":"silent"})");
    cr_assert(is<write_unknown>(writeSettled(*f.client, "k", absent, "v", newWriteId())));
}

namespace {

/// Table service whose first write times out, arrives during the next read and is followed by
/// `laterWrites` writes of another client.
class delayed_service final : public services {
public:
    explicit delayed_service(int laterWrites)
        : m_laterWrites(laterWrites)
    {
    }

    result<std::optional<row>> read(const std::string&) override
    {
        const auto before = m_row;
        applyDelayedWrite();
        return before;
    }
    write_outcome write(const std::string& key, row_version expected, const std::string& value,
        const write_id& id) override
    {
        if (!std::exchange(m_delayed, true)) {
            m_delayedRow = row { key, value, row_version { expected.value() + 1 }, id };
            return write_unknown { { "write", "stub", "timeout" } };
        }
        const auto version = m_row ? m_row->version : row_version { 0 };
        if (version != expected)
            return write_conflict { m_row };
        m_row = row { key, value, row_version { expected.value() + 1 }, id };
        return write_accepted { m_row->version };
    }
    result<void> putObject(const std::string&, const std::string&) override { return unused(); }
    result<std::optional<std::string>> getObject(const std::string&) override { return unused(); }
    result<std::vector<listed_host>> hosts() override { return unused(); }

private:
    static error unused() { return { "call", "stub", "unused" }; }

    void applyDelayedWrite()
    {
        if (!m_delayedRow)
            return;
        m_row = std::exchange(m_delayedRow, std::nullopt);
        for (int i = 0; i < m_laterWrites; ++i)
            m_row = row { m_row->key, "other", row_version { m_row->version.value() + 1 },
                write_id { "other" } };
    }

    int m_laterWrites;
    bool m_delayed = false;
    std::optional<row> m_delayedRow;
    std::optional<row> m_row;
};

} // namespace

Test(store, write_that_arrives_after_the_read_back_is_recognized)
{
    delayed_service late(0);
    cr_assert(is<write_accepted>(writeSettled(late, "k", absent, "v", write_id { "mine" })));
}

Test(store, write_that_was_overwritten_since_stays_unknown)
{
    delayed_service late(1);
    cr_assert(is<write_unknown>(writeSettled(late, "k", absent, "v", write_id { "mine" })));
}
