#include "pimentomast/core.h"

#include <criterion/criterion.h>

using namespace pimentomast;

Test(core, error_text_names_step_and_peer)
{
    const error cause { "read row", "127.0.0.1:80", "timed out" };
    cr_assert(cause.text() == "read row (127.0.0.1:80): timed out");
}

Test(core, result_without_value_throws_its_error)
{
    const result<int> failed = error { "parse", "", "not a number" };
    bool thrown = false;
    try {
        (void)failed.value();
    } catch (const failure& caught) {
        thrown = caught.cause().reason == "not a number";
    }
    cr_assert(thrown);
}
