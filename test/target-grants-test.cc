#include "stand-ins/grants.h"

#include <criterion/criterion.h>

using namespace pimentomast;
using namespace stand_in;

namespace {

constexpr std::uint64_t ownIncarnation = 77;

granted_slice half(bool upper, std::uint64_t epochNumber, std::uint64_t sequenceNumber)
{
    constexpr std::uint64_t middle = 1ULL << 63U;
    granted_slice slice;
    slice.range.first = key_hash { upper ? middle : 0 };
    slice.range.last = key_hash { upper ? ~0ULL : middle - 1 };
    slice.grant = { epoch { epochNumber }, sequence { sequenceNumber } };
    return slice;
}

grant_message message(
    std::uint64_t epochNumber, std::uint64_t sequenceNumber, std::vector<granted_slice> slices)
{
    grant_message sent;
    sent.epoch = epochNumber;
    sent.sequence = sequenceNumber;
    sent.incarnation = ownIncarnation;
    sent.leaseMs = 1500;
    sent.slices = std::move(slices);
    return sent;
}

const key_hash low { 5 };
const key_hash high { ~0ULL };
const token grant { epoch { 1 }, sequence { 1 } };

} // namespace

Test(target_grants, lease_counts_from_the_echoed_reading_not_from_receipt)
{
    grant_state grants(ownIncarnation);
    auto late = message(1, 1, { half(false, 1, 1) });
    late.echoUs = 1000;
    cr_assert(grants.receive(late, 1400000) == grant_answer::Accepted);
    cr_assert(grants.begin(low, grant, 1500999));
    cr_assert_not(grants.begin(low, grant, 1501000));
    auto expired = message(1, 2, { half(false, 1, 1) });
    cr_assert(grants.receive(expired, 1600000) == grant_answer::Accepted);
    cr_assert_not(grants.begin(low, grant, 1600001));
}

Test(target_grants, old_epochs_sequences_and_other_incarnations_change_nothing)
{
    grant_state grants(ownIncarnation);
    cr_assert(grants.receive(message(2, 5, { half(false, 1, 1) }), 0) == grant_answer::Accepted);
    cr_assert(grants.receive(message(1, 9, {}), 1) == grant_answer::OldEpoch);
    cr_assert(grants.receive(message(2, 5, {}), 1) == grant_answer::OldSequence);
    auto otherRun = message(3, 1, {});
    otherRun.incarnation = ownIncarnation + 1;
    cr_assert(grants.receive(otherRun, 1) == grant_answer::OtherIncarnation);
    cr_assert(grants.begin(low, grant, 2));
    cr_assert_eq(grants.epoch(), 2);
}

Test(target_grants, adoption_keeps_slices_and_their_lease)
{
    grant_state grants(ownIncarnation);
    grants.receive(message(1, 1, { half(false, 1, 1) }), 0);
    auto adoption = message(2, 1, {});
    adoption.adopt = true;
    adoption.echoUs = 1000000;
    cr_assert(grants.receive(adoption, 1000000) == grant_answer::Accepted);
    cr_assert(grants.begin(low, grant, 1499999));
    cr_assert_not(grants.begin(low, grant, 1500000));
}

Test(target_grants, slice_no_longer_listed_drains_and_accepts_no_new_requests)
{
    grant_state grants(ownIncarnation);
    grants.receive(message(1, 1, { half(false, 1, 1), half(true, 1, 1) }), 0);
    const auto running = grants.begin(low, grant, 1);
    cr_assert(running);
    grants.receive(message(1, 2, { half(true, 1, 1) }), 10);
    cr_assert_not(grants.begin(low, grant, 11));
    cr_assert(grants.begin(high, grant, 11));
    cr_assert(grants.isDraining(low));
    grants.end(*running, 12);
    cr_assert_not(grants.isDraining(low));
    cr_assert_eq(grants.intervals()[0].toUs, 10);
}

Test(target_grants, request_with_another_token_is_refused)
{
    grant_state grants(ownIncarnation);
    grants.receive(message(1, 3, { half(false, 1, 3) }), 0);
    cr_assert_not(grants.begin(low, grant, 1));
    cr_assert_not(grants.begin(high, token { epoch { 1 }, sequence { 3 } }, 1));
    cr_assert(grants.begin(low, token { epoch { 1 }, sequence { 3 } }, 1));
}

namespace {

grant_message repeat(std::uint64_t epochNumber, std::uint64_t sequenceNumber, std::uint64_t list,
    std::int64_t echoUs)
{
    auto sent = message(epochNumber, sequenceNumber, {});
    sent.repeats = list;
    sent.echoUs = echoUs;
    return sent;
}

} // namespace

Test(target_grants, repeated_list_renews_its_leases)
{
    grant_state grants(ownIncarnation);
    cr_assert(grants.receive(message(1, 1, { half(false, 1, 1) }), 0) == grant_answer::Accepted);
    cr_assert(grants.receive(repeat(1, 2, 1, 1000000), 1100000) == grant_answer::Accepted);
    cr_assert(grants.holdsRepeatedList(repeat(1, 2, 1, 0)));
    cr_assert(grants.begin(low, grant, 2499999));
    cr_assert_not(grants.begin(low, grant, 2500000));
}

Test(target_grants, lapsed_or_other_list_is_not_renewed)
{
    grant_state grants(ownIncarnation);
    cr_assert(grants.receive(message(1, 1, { half(false, 1, 1) }), 0) == grant_answer::Accepted);
    cr_assert(grants.receive(repeat(1, 2, 7, 1000), 1000) == grant_answer::UnknownList);
    cr_assert(grants.receive(repeat(2, 1, 1, 1000), 1000) == grant_answer::UnknownList);
    cr_assert(grants.receive(repeat(1, 3, 1, 1500000), 1600000) == grant_answer::UnknownList);
    cr_assert_not(grants.begin(low, grant, 1600001));
}
