#include "pimentomast/ownership.h"

#include <criterion/criterion.h>

using namespace pimentomast;
using namespace pimentomast::ownership;

namespace {

const key_hash lowKey { 1 };
const key_hash highKey { ~std::uint64_t { 0 } };
const target_id first { "t1" };
const target_id second { "t2" };

/// Assigns the lower half of the keys to the given owner and the upper half to the first one.
assignment assignmentOf(std::uint64_t number, const target_id& owner)
{
    const key_hash middle { std::uint64_t { 1 } << 63U };
    const token grant { epoch { 1 }, sequence { 1 } };
    return { service_id { "weights" }, epoch { 1 }, sequence { number },
        { { { key_hash { 0 }, key_hash { middle.value() - 1 } }, owner, grant, {} },
            { { middle, highKey }, first, grant, {} } } };
}

token versionOf(std::uint64_t number) { return { epoch { 1 }, sequence { number } }; }

instant at(int milliseconds) { return instant { std::chrono::milliseconds(milliseconds) }; }

} // namespace

Test(ownership_forwarded, confirms_a_move_once_no_request_runs_at_the_older_owner)
{
    forwarded_requests requests;
    cr_assert(requests.confirm(at(0), assignmentOf(1, first)) == versionOf(1));
    requests.begin({ 1, 1 }, lowKey, first);
    requests.begin({ 2, 1 }, highKey, first);
    cr_assert(requests.confirm(at(1), assignmentOf(2, second)) == versionOf(1));
    requests.end({ 1, 1 });
    cr_assert(requests.confirm(at(2), assignmentOf(2, second)) == versionOf(2));
}

Test(ownership_forwarded, counts_a_given_up_attempt_for_a_time_also_after_the_next_one_began)
{
    forwarded_requests requests;
    cr_assert(requests.confirm(at(0), assignmentOf(1, first)) == versionOf(1));
    requests.begin({ 1, 1 }, lowKey, first);
    requests.giveUp({ 1, 1 }, at(1500));
    requests.begin({ 1, 2 }, highKey, first);
    cr_assert(requests.confirm(at(1499), assignmentOf(2, second)) == versionOf(1));
    cr_assert(requests.confirm(at(1500), assignmentOf(2, second)) == versionOf(2));
}

Test(ownership_forwarded, confirms_a_key_that_came_back_to_the_owner_of_its_request)
{
    forwarded_requests requests;
    requests.begin({ 1, 1 }, lowKey, first);
    cr_assert(requests.confirm(at(0), assignmentOf(1, second)) == token {});
    cr_assert(requests.confirm(at(1), assignmentOf(2, first)) == versionOf(2));
}
