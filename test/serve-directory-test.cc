#include "serve/directory.h"

#include <criterion/criterion.h>

using namespace pimentomast;
using namespace std::chrono_literals;

namespace {

const service_id service { "weights" };
const host_id coordinator { "h1" };
const instant start { 100s };

/// An assignment of equal slices to as many targets.
ownership::assignment assignmentOf(std::uint64_t number, unsigned slices)
{
    const std::uint64_t width = ~std::uint64_t { 0 } / slices;
    ownership::assignment value { service, epoch { 1 }, sequence { number }, {} };
    for (unsigned i = 0; i < slices; ++i) {
        const auto first = i * width;
        const auto last = i + 1 == slices ? ~std::uint64_t { 0 } : first + width - 1;
        value.slices.push_back({ { key_hash { first }, key_hash { last } },
            target_id { "t" + std::to_string(i) }, { epoch { 1 }, sequence { number } }, {} });
    }
    return value;
}

/// Whether a peer that has this version gets the newest one with the answer to its digest.
bool sendsNewest(const serve::detail::directory& routes, instant now, std::uint64_t peerNumber)
{
    serve::detail::wire::Digest digest;
    auto* known = digest.add_assignments();
    known->set_service(service.value());
    known->set_epoch(peerNumber == 0 ? 0 : 1);
    known->set_sequence(peerNumber);
    serve::detail::wire::Update update;
    routes.addNewer(now, digest, update);
    return update.assignments_size() > 0;
}

} // namespace

// A large assignment that changes often would otherwise be sent whole in most exchanges, while the
// changes are on their way.
Test(serve_directory, large_assignment_is_sent_only_to_peers_that_missed_its_publication)
{
    serve::detail::directory routes(incarnation { 1 }, 1s);
    auto now = start;
    for (std::uint64_t number = 1; number <= 10; ++number, now += 300ms)
        cr_assert(routes.putAssignment(now, assignmentOf(number, 1000), coordinator));
    now -= 300ms;
    cr_expect_not(sendsNewest(routes, now, 10));
    cr_expect_not(sendsNewest(routes, now, 9));
    cr_expect_not(sendsNewest(routes, now, 7));
    cr_expect(sendsNewest(routes, now, 5));
    cr_expect(sendsNewest(routes, now, 0), "a host that has just started has none");
    cr_expect(sendsNewest(routes, now + 1s, 9));
}

Test(serve_directory, small_assignment_is_sent_soon)
{
    serve::detail::directory routes(incarnation { 1 }, 1s);
    cr_assert(routes.putAssignment(start, assignmentOf(1, 24), coordinator));
    cr_assert(routes.putAssignment(start + 1s, assignmentOf(2, 24), coordinator));
    cr_expect(sendsNewest(routes, start + 1s + 24ms, 1));
}

Test(serve_directory, older_assignment_does_not_replace_a_newer_one)
{
    serve::detail::directory routes(incarnation { 1 }, 1s);
    cr_assert(routes.putAssignment(start, assignmentOf(2, 24), coordinator));
    cr_assert(!routes.putAssignment(start, assignmentOf(1, 24), coordinator));
    cr_assert_eq(routes.version(service).assignment.value(), 2);
}
