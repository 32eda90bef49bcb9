#include "pimentomast/edits.h"

#include <criterion/criterion.h>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

using namespace pimentomast;
using table::applied;

namespace {

/// In-memory table service that simulates outages, lost replies and concurrent writes. The hook
/// runs before each write.
class fake_store : public store::services {
public:
    std::function<void(const std::string&)> beforeWrite;
    bool unavailable = false;
    /// The next write takes effect but its reply is lost.
    bool dropNextReply = false;
    /// The service is unavailable after a lost reply.
    bool unavailableAfterDroppedReply = false;

    result<std::optional<store::row>> read(const std::string& key) override
    {
        const std::lock_guard guard(m_lock);
        if (unavailable)
            return error { "read row", "platform", "service unavailable" };
        const auto found = m_rows.find(key);
        if (found == m_rows.end())
            return std::optional<store::row> {};
        return std::optional { found->second };
    }

    store::write_outcome write(const std::string& key, row_version expected,
        const std::string& value, const store::write_id& id) override
    {
        if (beforeWrite)
            beforeWrite(key);
        const std::lock_guard guard(m_lock);
        if (unavailable)
            return store::write_refused { { "write row", "platform", "service unavailable" } };
        auto& row = m_rows[key];
        if (row.version != expected)
            return store::write_conflict { row };
        row = { key, value, row_version { expected.value() + 1 }, id };
        if (!std::exchange(dropNextReply, false))
            return store::write_accepted { row.version };
        unavailable = unavailableAfterDroppedReply;
        return store::write_unknown { { "write row", "platform", "no reply" } };
    }

    result<void> putObject(const std::string&, const std::string&) override
    {
        return error { "put object", "platform", "not supported by fake_store" };
    }
    result<std::optional<std::string>> getObject(const std::string&) override
    {
        return error { "get object", "platform", "not supported by fake_store" };
    }
    result<std::vector<store::listed_host>> hosts() override
    {
        return std::vector<store::listed_host> {};
    }

    [[nodiscard]] std::size_t size() const { return m_rows.size(); }

private:
    std::mutex m_lock;
    std::map<std::string, store::row> m_rows;
};

const std::string header = "kind,id,service,prefix,address,domain,weight,state\n";

std::string rowsWith(const std::string& weight1, const std::string& weight2)
{
    return header + "service,w,,/w,,,,\ntarget,w1,w,,10.0.0.1:1,k," + weight1
        + ",\ntarget,w2,w,,10.0.0.1:2,k," + weight2 + ",\n";
}

table::apply_outcome apply(
    fake_store& store, const std::string& editor, std::uint64_t base, const std::string& csv)
{
    return table::apply(store, table::edit { editor, config_version { base }, csv, "2026-12-04" });
}

double weightOf(fake_store& store, const std::string& target)
{
    const auto current = table::readCurrent(store).value();
    return current->target(target_id { target })->weight;
}

struct store_with_table {
    store_with_table() { (void)std::get<applied>(apply(store, "hari", 0, rowsWith("1", "1"))); }

    fake_store store;
};

} // namespace

Test(table_store, first_table_is_version_1)
{
    fake_store store;
    cr_assert(!table::readCurrent(store).value());
    const auto done = std::get<applied>(apply(store, "hari", 0, rowsWith("1", "1")));
    cr_assert(done.version == config_version { 1 });
    cr_assert(done.changes.size() == 3);
    cr_assert(table::readCurrent(store).value()->editor == "hari");
}

Test(table_store, edits_of_different_rows_merge_and_report_it)
{
    store_with_table fixture;
    (void)std::get<applied>(apply(fixture.store, "hari", 1, rowsWith("2", "1")));
    const auto done = std::get<applied>(apply(fixture.store, "sita", 1, rowsWith("1", "3")));
    cr_assert(done.version == config_version { 3 });
    cr_assert(done.mergedWith.size() == 1);
    cr_assert(done.mergedWith.front().editor == "hari");
    cr_assert(done.mergedWith.front().what.text() == "target w1, weight: 1 -> 2");
    cr_assert(weightOf(fixture.store, "w1") == 2 && weightOf(fixture.store, "w2") == 3);
}

Test(table_store, edits_of_one_cell_conflict_and_change_nothing)
{
    store_with_table fixture;
    (void)std::get<applied>(apply(fixture.store, "hari", 1, rowsWith("2", "1")));
    const auto refused
        = std::get<table::conflict>(apply(fixture.store, "sita", 1, rowsWith("5", "3")));
    cr_assert(refused.theirEditor == "hari" && refused.myEditor == "sita");
    cr_assert(refused.cells.size() == 1);
    cr_assert(refused.cells.front().mine == "5" && refused.cells.front().theirs == "2");
    cr_assert(table::readCurrent(fixture.store).value()->version == config_version { 2 });
    cr_assert(weightOf(fixture.store, "w2") == 1);
}

Test(table_store, conflict_names_the_editor_who_set_each_value)
{
    store_with_table fixture;
    (void)std::get<applied>(apply(fixture.store, "hari", 1, rowsWith("2", "1")));
    (void)std::get<applied>(apply(fixture.store, "maya", 2, rowsWith("2", "4")));
    const auto refused
        = std::get<table::conflict>(apply(fixture.store, "sita", 1, rowsWith("5", "1")));
    cr_assert(refused.cells.size() == 1);
    cr_assert(refused.cells.front().theirEditor == "hari");
    cr_assert(refused.theirEditor == "maya");
    const auto csv = rowsWith("1", "1") + "host,h1,,,,,,leaving\n";
    const auto done = std::get<applied>(apply(fixture.store, "sita", 1, csv));
    cr_assert(done.mergedWith.size() == 2);
    cr_assert(done.mergedWith[0].editor == "hari" && done.mergedWith[1].editor == "maya");
}

Test(table_store, write_conflict_leads_to_another_merge)
{
    store_with_table fixture;
    fixture.store.beforeWrite = [&](const std::string& key) {
        if (key != table::configRow)
            return;
        fixture.store.beforeWrite = nullptr;
        (void)std::get<applied>(apply(fixture.store, "hari", 1, rowsWith("2", "1")));
    };
    const table::mark_edit leave { "sita", { table::row_kind::Target, "w1" }, table::mark::Leaving,
        "" };
    const auto done = std::get<applied>(table::apply(fixture.store, leave));
    cr_assert(done.version == config_version { 3 });
    cr_assert(done.mergedWith.size() == 1);
    const auto rows = *table::readCurrent(fixture.store).value();
    cr_assert(rows.target(target_id { "w1" })->state == table::mark::Leaving);
    cr_assert(rows.target(target_id { "w1" })->weight == 2);
}

Test(table_store, lost_reply_is_resolved_and_the_edit_written_once)
{
    store_with_table fixture;
    fixture.store.beforeWrite
        = [&](const std::string& key) { fixture.store.dropNextReply = key == table::configRow; };
    const auto done = std::get<applied>(apply(fixture.store, "sita", 1, rowsWith("2", "1")));
    cr_assert(done.version == config_version { 2 });
}

Test(table_store, outage_is_reported_as_not_applied_or_unknown)
{
    store_with_table fixture;
    fixture.store.unavailable = true;
    cr_assert(std::holds_alternative<table::not_applied>(
        apply(fixture.store, "sita", 1, rowsWith("2", "1"))));
    fixture.store.unavailable = false;
    fixture.store.unavailableAfterDroppedReply = true;
    fixture.store.beforeWrite
        = [&](const std::string& key) { fixture.store.dropNextReply = key == table::configRow; };
    cr_assert(std::holds_alternative<table::apply_unknown>(
        apply(fixture.store, "sita", 1, rowsWith("2", "1"))));
    fixture.store.beforeWrite = nullptr;
    fixture.store.unavailable = false;
    const auto again = std::get<applied>(apply(fixture.store, "sita", 1, rowsWith("2", "1")));
    cr_assert(again.version == config_version { 2 } && again.mergedWith.empty());
}

Test(table_store, concurrent_marks_are_all_kept)
{
    fake_store store;
    constexpr int hosts = 8;
    std::vector<std::thread> operators;
    operators.reserve(hosts);
    for (int number = 0; number < hosts; ++number) {
        operators.emplace_back([&, number] {
            const auto id = "h" + std::to_string(number);
            const table::mark_edit leave { "sita", { table::row_kind::Host, id },
                table::mark::Leaving, "" };
            (void)std::get<applied>(table::apply(store, leave));
        });
    }
    for (auto& thread : operators)
        thread.join();
    const auto rows = *table::readCurrent(store).value();
    cr_assert(rows.hosts.size() == hosts && rows.version == config_version { hosts });
}

Test(table_store, invalid_edits_change_nothing)
{
    store_with_table fixture;
    cr_assert(std::holds_alternative<table::invalid>(
        apply(fixture.store, "sita", 1, rowsWith("2", "x"))));
    cr_assert(
        std::holds_alternative<table::invalid>(apply(fixture.store, "", 1, rowsWith("2", "1"))));
    cr_assert(std::holds_alternative<table::not_applied>(
        apply(fixture.store, "sita", 9, rowsWith("2", "1"))));
    cr_assert(table::readCurrent(fixture.store).value()->version == config_version { 1 });
}

Test(table_store, corrupt_version_is_replaced_by_one_editor_and_the_other_one_merges)
{
    store_with_table fixture;
    (void)std::get<applied>(apply(fixture.store, "hari", 1, rowsWith("2", "1")));
    (void)fixture.store.write("config", row_version { 2 }, "{broken", store::newWriteId());
    const auto replaceBy = [&](const std::string& editor, const std::string& csv) {
        return table::apply(fixture.store, { editor, config_version { 1 }, csv, "", true });
    };
    fixture.store.beforeWrite = [&](const std::string& key) {
        if (key != table::configRow)
            return;
        fixture.store.beforeWrite = nullptr;
        const auto first = std::get<applied>(replaceBy("hari", rowsWith("4", "1")));
        cr_assert(first.version == config_version { 4 } && first.replaced->value == "{broken");
    };
    const auto second = std::get<applied>(replaceBy("sita", rowsWith("1", "3")));
    cr_assert(second.version == config_version { 5 } && !second.replaced);
    cr_assert(second.mergedWith.size() == 1);
    cr_assert(weightOf(fixture.store, "w1") == 4 && weightOf(fixture.store, "w2") == 3);
}

Test(table_store, marks_are_edits_of_one_cell)
{
    store_with_table fixture;
    table::mark_edit edit { "sita", { table::row_kind::Host, "h1" }, table::mark::Leaving, "" };
    (void)std::get<applied>(table::apply(fixture.store, edit));
    cr_assert(table::readCurrent(fixture.store).value()->host(host_id { "h1" }));
    edit.state = table::mark::Active;
    (void)std::get<applied>(table::apply(fixture.store, edit));
    cr_assert(!table::readCurrent(fixture.store).value()->host(host_id { "h1" }));
    edit.row = { table::row_kind::Target, "w9" };
    cr_assert(std::holds_alternative<table::not_applied>(table::apply(fixture.store, edit)));
}

Test(table_store, history_names_editors_rows_and_times_and_is_bounded)
{
    store_with_table fixture;
    const unsigned edits = table::historyLength + 10;
    for (unsigned version = 1; version <= edits; ++version) {
        const auto weight = std::to_string(version + 1);
        (void)std::get<applied>(apply(fixture.store, "sita", version, rowsWith(weight, "1")));
    }
    const auto entries = table::history(fixture.store, 1000).value();
    cr_assert(entries.size() == table::historyLength + 1, "%zu", entries.size());
    cr_assert(entries.front().editor == "sita" && entries.front().at == "2026-12-04");
    cr_assert(entries.front().changes.front().text()
        == "target w1, weight: " + std::to_string(edits) + " -> " + std::to_string(edits + 1));
    cr_assert(entries.back().oldest && !entries.front().oldest);
    cr_assert(fixture.store.size() == table::historyLength + 1);
    cr_assert(table::history(fixture.store, 2).value().size() == 2);
}

Test(table_store, edit_of_a_version_beyond_the_history_is_not_applied)
{
    store_with_table fixture;
    for (unsigned version = 1; version <= table::historyLength + 2; ++version)
        (void)apply(fixture.store, "sita", version, rowsWith(std::to_string(version + 1), "1"));
    const auto outcome = apply(fixture.store, "hari", 1, rowsWith("1", "2"));
    cr_assert(std::get<table::not_applied>(outcome).cause.reason.find("not in the history")
        != std::string::npos);
}
