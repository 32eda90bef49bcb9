#include "pimentomast/ownership.h"
#include "pimentomast/settings.h"

#include <criterion/criterion.h>

using namespace pimentomast;

Test(settings_times, standard_times_are_those_of_the_ownership_library)
{
    const settings::ownership_settings shown;
    const ownership::timings used;
    cr_assert(shown.targetLeaseMs == used.targetLease);
    cr_assert(shown.renewMs == used.targetRenewal);
    cr_assert(shown.authorityMs == used.authority);
    cr_assert(shown.authorityRenewMs == used.authorityRenewal);
    cr_assert(shown.routeLeaseMs == used.routeLease);
    cr_assert(shown.outageLimitMs == used.maxOutage);
}
