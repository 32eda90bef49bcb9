#include "tables.h"

#include "helper/table-pages.h"
#include "pimentomast/routing.h"

#include <algorithm>
#include <atomic>
#include <criterion/criterion.h>
#include <mutex>

using namespace pimentomast;
using namespace pimentomast::platform::detail;
using namespace std::chrono_literals;

namespace {

/// Time for which a host still sends requests for a leaving target's keys to it.
constexpr std::chrono::milliseconds leavingGrace { 1000 };
const std::string targetId = "i-1@1790000000000";

class one_owner final : public routing::owner_lookup {
public:
    [[nodiscard]] routing::owner_answer find(instant, const service_id&, key_hash) const override
    {
        return routing::owned_by { target_id { targetId }, {} };
    }
};

/// A table and when it was put in force.
struct applied_table {
    instant at;
    std::shared_ptr<const table::table> rows;
};

/// Returns the tables up to the first one in which the target is leaving.
std::vector<applied_table> followUntilLeaving(const endpoint& store)
{
    row_client client(store, 500ms);
    table_feed feed(client, { 10ms, 20ms });
    std::mutex lock;
    std::vector<applied_table> tables;
    std::atomic<bool> leaves { false };
    feed.start([&](const auto& rows) {
        const std::lock_guard guard(lock);
        if (!leaves)
            tables.push_back({ monotonic_clock::now(), rows });
        leaves = leaves || rows->targets.at(0).state == table::mark::Leaving;
    });
    cr_assert(test::waitUntil([&] { return leaves.load(); }, test::waitTimeout));
    feed.stop();
    return tables;
}

/// Returns whether a host that puts these tables in force sends the target a request for a key of
/// its that comes just after.
bool sendsToTarget(const std::vector<applied_table>& tables)
{
    const one_owner owners;
    routing::options settings;
    settings.leavingGrace = leavingGrace;
    const auto host = routing::router::create(settings, owners).value();
    for (const auto& each : tables)
        (void)host->applyTable(each.at, *each.rows);
    (void)host->applyLiveHosts(tables.back().at, 1);
    routing::request arriving;
    arriving.number = routing::request_number { 1 };
    arriving.service = service_id { "weights" };
    arriving.arrival = tables.back().at + 1ms;
    arriving.deadline = arriving.arrival + 10s;
    arriving.key = key_hash { 1 };
    const auto actions = host->arrive(arriving.arrival, arriving);
    return std::any_of(actions.begin(), actions.end(),
        [](const auto& each) { return std::holds_alternative<routing::dispatch>(each); });
}

/// Answers reads of the configuration; registrations are answered by answerTargets, which is told
/// whether the read is one of the feed.
test::scripted_server::handler serveTables(
    std::function<void(Poco::Net::StreamSocket&, bool)> answerTargets)
{
    return [answerTargets = std::move(answerTargets)](auto& socket, int) {
        for (auto request = test::readRequest(socket); !request.empty();
             request = test::readRequest(socket)) {
            const bool isFeed = request.starts_with("GET /rows-feed");
            if (request.find("table=servers&") != std::string::npos)
                answerTargets(socket, isFeed);
            else
                test::write(socket,
                    test::answer(isFeed ? R"({"ver":1,"rows":[]})"
                                        : test::page(1, "config", test::keyedConfiguration)));
        }
    };
}

void writeRegistration(Poco::Net::StreamSocket& socket, int version, const std::string& state)
{
    test::write(socket, test::answer(test::page(version, "i-1", test::registrationText(state))));
}

} // namespace

Test(platform_leaving, host_that_starts_sends_nothing_to_a_target_that_may_have_left_long_ago)
{
    test::scripted_server store(
        serveTables([](auto& socket, bool) { writeRegistration(socket, 2, "draining"); }));
    const auto tables = followUntilLeaving(store.address());
    cr_assert_eq(tables.size(), 1);
    cr_assert_not(sendsToTarget(tables));
}

Test(platform_leaving, host_that_learns_late_of_a_leaving_gives_no_grace_from_then_on)
{
    const auto readableFrom = monotonic_clock::now() + leavingGrace + 300ms;
    test::scripted_server store(serveTables([&](auto& socket, bool isFeed) {
        if (!isFeed)
            writeRegistration(socket, 2, "ready");
        else if (monotonic_clock::now() < readableFrom)
            test::write(socket, "HTTP/1.1 503 Unavailable\r\nContent-Length: 0\r\n\r\n");
        else
            writeRegistration(socket, 3, "draining");
    }));
    const auto tables = followUntilLeaving(store.address());
    cr_assert_eq(tables.size(), 2);
    cr_assert_not(sendsToTarget(tables));
}

Test(platform_leaving, host_that_learns_at_once_sends_to_the_owner_for_the_grace)
{
    test::scripted_server store(serveTables([](auto& socket, bool isFeed) {
        writeRegistration(socket, isFeed ? 3 : 2, isFeed ? "draining" : "ready");
    }));
    cr_assert(sendsToTarget(followUntilLeaving(store.address())));
}
