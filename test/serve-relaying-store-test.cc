#include "serve/relaying_store.h"

#include <criterion/criterion.h>
#include <map>
#include <mutex>

using namespace pimentomast;
using serve::detail::relaying_store;

namespace {

namespace wire = peers::wire;

/// Rows that all hosts share.
struct shared_rows {
    std::mutex lock;
    std::map<std::string, store::row> rows;
};

/// A host's own way to the store.
class own_store final : public store::services {
public:
    enum class mode { Answers, Refuses, LosesReplies };

    explicit own_store(shared_rows& shared)
        : m_shared(shared)
    {
    }

    mode state = mode::Answers;
    unsigned calls = 0;

    result<std::optional<store::row>> read(const std::string& key) override
    {
        ++calls;
        if (state != mode::Answers)
            return error { "read row", "store", "status 503" };
        const std::lock_guard guard(m_shared.lock);
        const auto found = m_shared.rows.find(key);
        return found == m_shared.rows.end() ? std::nullopt : std::optional(found->second);
    }
    store::write_outcome write(const std::string& key, row_version expected,
        const std::string& value, const store::write_id& id) override
    {
        ++calls;
        if (state == mode::Refuses)
            return store::write_refused { { "write row", "store", "status 503" } };
        const std::lock_guard guard(m_shared.lock);
        const auto found = m_shared.rows.find(key);
        const bool exists = found != m_shared.rows.end();
        const auto version = exists ? found->second.version : row_version {};
        if (version != expected)
            return exists ? store::write_conflict { found->second } : store::write_conflict {};
        const row_version next { version.value() + 1 };
        m_shared.rows[key] = { key, value, next, id };
        if (state == mode::LosesReplies)
            return store::write_unknown { { "write row", "store", "timeout" } };
        return store::write_accepted { next };
    }
    result<void> putObject(const std::string&, const std::string&) override
    {
        return boost::outcome_v2::success();
    }
    result<std::optional<std::string>> getObject(const std::string&) override
    {
        return std::optional<std::string>();
    }
    result<std::vector<store::listed_host>> hosts() override
    {
        return std::vector<store::listed_host>();
    }

private:
    shared_rows& m_shared;
};

/// Two hosts, of which the first relays to the second.
struct two_hosts {
    shared_rows rows;
    own_store firstOwn { rows };
    own_store secondOwn { rows };
    relaying_store second { secondOwn, {} };
    bool losesReplies = false;
    relaying_store first { firstOwn, [this](const auto& request) -> result<wire::RowReply> {
                              auto reply = second.answer(request);
                              if (losesReplies)
                                  return error { "relay row", "second", "timeout" };
                              return reply;
                          } };
};

const store::write_id writer { "w1" };

std::uint64_t acceptedVersion(const store::write_outcome& outcome)
{
    const auto* done = std::get_if<store::write_accepted>(&outcome);
    return done ? done->version.value() : 0;
}

} // namespace

Test(serve_relaying_store, nothing_is_relayed_while_the_store_answers)
{
    two_hosts hosts;
    cr_assert_eq(acceptedVersion(hosts.first.write("k", {}, "v", writer)), 1);
    cr_assert(hosts.first.read("k").value()->value == "v");
    cr_assert_eq(hosts.secondOwn.calls, 0);
    cr_assert_eq(hosts.first.relayedCalls(), 0);
}

// A coordinator that the store turns away kept its authority through its witnesses but could move
// no key, for as long as the store turned it away.
Test(serve_relaying_store, rows_are_read_and_written_through_another_host)
{
    two_hosts hosts;
    hosts.firstOwn.state = own_store::mode::Refuses;
    cr_assert_eq(acceptedVersion(hosts.first.write("k", {}, "v", writer)), 1);
    const auto found = hosts.first.read("k");
    cr_assert(found && found.value()->value == "v" && found.value()->writer == writer);
    cr_assert_not(hosts.first.read("missing").value().has_value());
    const auto late = hosts.first.write("k", {}, "other", store::write_id { "w2" });
    const auto* conflict = std::get_if<store::write_conflict>(&late);
    cr_assert(conflict && conflict->current && conflict->current->writer == writer);
    // Only the first call waited for the store's own refusal.
    cr_assert_eq(hosts.firstOwn.calls, 1);
}

Test(serve_relaying_store, lost_reply_of_the_other_host_leaves_the_outcome_unknown)
{
    two_hosts hosts;
    hosts.firstOwn.state = own_store::mode::Refuses;
    hosts.losesReplies = true;
    const auto outcome = hosts.first.write("k", {}, "v", writer);
    cr_assert(std::holds_alternative<store::write_unknown>(outcome));
    cr_assert(hosts.rows.rows.contains("k"));
}

// A write without an answer may still take effect; relaying it would let another write come
// between.
Test(serve_relaying_store, write_of_unknown_outcome_is_not_relayed)
{
    two_hosts hosts;
    hosts.firstOwn.state = own_store::mode::LosesReplies;
    const auto outcome = hosts.first.write("k", {}, "v", writer);
    cr_assert(std::holds_alternative<store::write_unknown>(outcome));
    cr_assert_eq(hosts.secondOwn.calls, 0);
    // It is settled by a read, which the other host can make.
    cr_assert(hosts.first.read("k").value()->writer == writer);
    cr_assert_eq(hosts.secondOwn.calls, 1);
}

// An outage of the whole store must not double the calls to it, nor be relayed in a circle.
Test(serve_relaying_store, outage_of_the_whole_store_is_a_refusal)
{
    two_hosts hosts;
    hosts.firstOwn.state = own_store::mode::Refuses;
    hosts.secondOwn.state = own_store::mode::Refuses;
    for (int i = 0; i < 20; ++i) {
        const auto outcome = hosts.first.write("k", {}, "v", writer);
        cr_assert(std::holds_alternative<store::write_refused>(outcome));
        cr_assert(hosts.first.read("k").has_error());
    }
    cr_assert_leq(hosts.secondOwn.calls, 2);
    cr_assert(hosts.rows.rows.empty());
}

Test(serve_relaying_store, host_without_a_relay_fails_as_the_store_does)
{
    shared_rows rows;
    own_store own(rows);
    own.state = own_store::mode::Refuses;
    relaying_store alone(own, {});
    cr_assert(alone.read("k").has_error());
    cr_assert(std::holds_alternative<store::write_refused>(alone.write("k", {}, "v", writer)));
}
