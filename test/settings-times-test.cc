#include "pimentomast/ownership.h"
#include "pimentomast/settings.h"

#include <criterion/criterion.h>

using namespace pimentomast;

Test(settings_times, default_times_match_the_ownership_library)
{
    const settings::ownership_settings configured;
    const ownership::timings defaults;
    cr_assert(configured.targetLeaseMs == defaults.targetLease);
    cr_assert(configured.renewMs == defaults.targetRenewal);
    cr_assert(configured.authorityMs == defaults.authority);
    cr_assert(configured.authorityRenewMs == defaults.authorityRenewal);
    cr_assert(configured.routeLeaseMs == defaults.routeLease);
    cr_assert(configured.outageLimitMs == defaults.maxOutage);
}
