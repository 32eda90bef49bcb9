#include "grants.h"
#include "helper/scripted-server.h"
#include "helper/scripted-target.h"
#include "serve/range_grants.h"

#include <criterion/criterion.h>

using namespace pimentomast;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t numberKeyWidth = table::keyWidth(table::key_form::Number);
const slice keys { key_hash { 16 * numberKeyWidth }, key_hash { 32 * numberKeyWidth - 1 } };
constexpr std::chrono::milliseconds deliveryDelay { 100 };
const token fence { epoch { 2 }, sequence { 14 } };

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

serve::range_recipient recipient(const test::scripted_target& target)
{
    return { service_id { "s" }, target.destination().address, "i-1" };
}

/// Accepts every call and records the process that it addresses.
struct recording_range_client final : serve::range_client {
    std::vector<std::string> instances;

    ranges::call_result grant(
        const serve::range_recipient& to, const ranges::grant_range&, duration) override
    {
        instances.push_back(to.instance);
        return ranges::accepted {};
    }
    ranges::call_result release(
        const serve::range_recipient& to, const ranges::release_range&) override
    {
        instances.push_back(to.instance);
        return ranges::accepted {};
    }
    [[nodiscard]] duration maxDeliveryDelay() const override { return deliveryDelay; }
};

} // namespace

namespace {

ownership::send_grant makeSendGrant(std::uint64_t number, const std::vector<slice>& ranges)
{
    ownership::send_grant sendGrant;
    sendGrant.target = target_id { "i-1@7" };
    sendGrant.instance = "i-1";
    sendGrant.message.service = service_id { "s" };
    sendGrant.message.coordinator = epoch { 1 };
    sendGrant.message.number = sequence { number };
    sendGrant.message.run = incarnation { 7 };
    sendGrant.message.lease = 2500ms;
    sendGrant.message.echoUs
        = static_cast<std::uint64_t>(monotonic_clock::now().time_since_epoch().count());
    for (const auto& each : ranges)
        sendGrant.message.slices.push_back({ each, fence });
    return sendGrant;
}

} // namespace

// A new process may reuse the address of one that has ended; it must not be granted the keys of the
// old one.
Test(platform_grants, calls_name_the_addressed_process)
{
    const std::string misdirected = "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n";
    test::scripted_target target(
        { { "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n" }, { misdirected }, { misdirected } });
    platform::detail::target_calls calls(platform::options {});
    const ranges::grant_range wanted { keys, fence, ranges::handover { "warm" } };
    const auto taken = calls.grant(recipient(target), wanted, 1500ms);
    cr_assert(std::holds_alternative<ranges::accepted>(taken));
    const auto other = calls.grant(recipient(target), wanted, 1500ms);
    cr_assert(std::holds_alternative<ranges::not_sent>(other));
    const auto head = target.heads().front();
    cr_assert(contains(head, "POST /grant "), "%s", head.c_str());
    cr_assert(contains(head, "X-Expect-Instance: i-1"), "%s", head.c_str());
}

Test(platform_grants, release_returns_the_handover_state)
{
    test::scripted_target target(
        { { "HTTP/1.1 200 OK\r\nX-Handover: warm\r\nContent-Length: 0\r\n\r\n" } });
    platform::detail::target_calls calls(platform::options {});
    const auto outcome = calls.release(recipient(target), { keys, fence });
    cr_assert(std::get<ranges::accepted>(outcome).state == ranges::handover { "warm" });
}

Test(platform_grants, call_without_an_answer_may_have_taken_effect)
{
    test::scripted_target target({ { "", test::scripted_response::ending::Close } });
    platform::detail::target_calls calls(platform::options {});
    const auto outcome = calls.grant(recipient(target), { keys, fence, {} }, 1500ms);
    cr_assert(std::holds_alternative<ranges::unanswered>(outcome));
}

Test(platform_grants, grant_message_reaches_the_process_named_in_the_table)
{
    recording_range_client calls;
    serve::detail::range_grants grants(calls);
    const auto sendGrant = makeSendGrant(1, { keys });
    const auto answer = grants.send(sendGrant);
    const auto& taken = std::get<ownership::target_acknowledged>(answer);
    cr_assert(taken.reply.held.size() == 1 && taken.reply.target == incarnation { 7 });
    cr_assert(calls.instances == std::vector<std::string> { "i-1" });
}

// Messages are queued for a thread, so an older one may be processed after a newer one.
Test(platform_grants, late_message_does_not_grant_ranges_that_a_newer_one_released)
{
    recording_range_client calls;
    serve::detail::range_grants grants(calls);
    (void)grants.send(makeSendGrant(1, { keys }));
    const auto newer = grants.send(makeSendGrant(3, {}));
    cr_assert(std::get<ownership::target_acknowledged>(newer).reply.held.empty());
    const auto made = calls.instances.size();
    const auto late = grants.send(makeSendGrant(2, { keys }));
    cr_assert(std::holds_alternative<ownership::target_failed>(late));
    cr_assert(calls.instances.size() == made);
}

// A lease below a millisecond is "0ms" on the wire, which no target can take.
Test(platform_grants, grant_below_the_unit_of_the_hold_time_is_not_sent)
{
    test::scripted_target target({ { "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n" } });
    platform::detail::target_calls calls(platform::options {});
    const auto outcome = calls.grant(recipient(target), { keys, fence, {} }, 999us);
    cr_assert(std::holds_alternative<ranges::not_sent>(outcome));
    cr_assert(target.heads().empty());
}

Test(platform_grants, grant_whose_lease_is_too_short_to_be_of_use_is_not_sent)
{
    recording_range_client calls;
    serve::detail::range_grants grants(calls);
    auto late = makeSendGrant(1, { keys });
    late.message.lease = deliveryDelay + 9ms;
    const auto answer = grants.send(late);
    cr_assert(std::holds_alternative<ownership::target_failed>(answer));
    cr_assert(calls.instances.empty());
}

namespace {

const std::string accepted = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

/// Returns false if the caller closed the connection.
bool readCall(Poco::Net::StreamSocket& socket) { return !test::readRequest(socket).empty(); }

} // namespace

Test(platform_grants, late_extra_refusal_is_not_taken_for_that_of_a_newer_grant)
{
    test::scripted_server target([](auto& socket, int number) {
        readCall(socket);
        test::write(socket, accepted);
        if (number > 0 || !readCall(socket))
            return;
        test::write(socket, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
        test::write(socket, accepted);
    });
    platform::detail::target_calls calls(platform::options {});
    const serve::range_recipient to { service_id { "s" }, target.address(), "i-1" };
    const ranges::grant_range wanted { keys, fence, {} };
    cr_assert(std::holds_alternative<ranges::accepted>(calls.grant(to, wanted, 1500ms)));
    cr_assert(std::holds_alternative<ranges::accepted>(calls.grant(to, wanted, 1500ms)));
}

Test(platform_grants, late_extra_answer_does_not_end_a_release)
{
    test::scripted_server target([](auto& socket, int number) {
        const auto answer = "HTTP/1.1 200 OK\r\nX-Handover: work-" + std::to_string(number)
            + "\r\nContent-Length: 0\r\n\r\n";
        while (readCall(socket))
            test::write(socket, answer);
    });
    platform::detail::target_calls calls(platform::options {});
    const serve::range_recipient to { service_id { "s" }, target.address(), "i-1" };
    for (const auto* state : { "work-0", "work-1" }) {
        const auto outcome = calls.release(to, { keys, fence });
        cr_assert(std::get<ranges::accepted>(outcome).state == ranges::handover { state });
    }
}
