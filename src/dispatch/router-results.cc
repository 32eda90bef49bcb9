#include "router-results.h"

namespace pimentomast::proxy::detail {
namespace {

/// A promise to callers that the request did not run.
constexpr int notRunStatus = 503;
constexpr int unknownStatus = 502;

routing::attempt_result notRunResult(const attempt_not_run& refused)
{
    switch (refused.why) {
    case reason::TargetShed:
        return routing::shed { refused.retryAfter };
    case reason::TargetNotOwner:
        return routing::token_refused {};
    case reason::TargetDraining:
        return routing::draining {};
    default:
        return routing::connect_failed {};
    }
}

routing::attempt_result unknownResult(const attempt& finished, reason why)
{
    if (why == reason::RefusalUnproved)
        return routing::refusal_unproved { { notRunStatus, finished.firstByte, finished.total } };
    if (why == reason::Deadline || why == reason::TargetTimeout)
        return routing::timed_out {};
    return routing::broken { why == reason::TargetSilent };
}

int usualStatusOf(routing::refusal_reason why) noexcept
{
    using routing::refusal_reason;
    switch (why) {
    case refusal_reason::UnknownService:
        return 404;
    case refusal_reason::DeadlineAfterDispatch:
    case refusal_reason::ConnectionSilent:
        return 504;
    case refusal_reason::ConnectionBroken:
        return 502;
    case refusal_reason::Quarantined:
        return 422;
    default:
        return notRunStatus;
    }
}

} // namespace

int statusOf(routing::refusal_reason why, routing::outcome known) noexcept
{
    const int usual = usualStatusOf(why);
    return usual == notRunStatus && known == routing::outcome::Unknown ? unknownStatus : usual;
}

routing::attempt_result routerResult(const attempt& finished)
{
    const overloaded convert {
        [&](const attempt_answered& answer) -> routing::attempt_result {
            return routing::answered { answer.status, finished.firstByte, finished.total };
        },
        [](const attempt_not_run& refused) { return notRunResult(refused); },
        [&](const attempt_unknown& lost) { return unknownResult(finished, lost.why); },
        [](const attempt_broken&) -> routing::attempt_result { return routing::broken {}; },
        [](const attempt_cancelled&) -> routing::attempt_result { return routing::cancelled {}; },
    };
    return std::visit(convert, finished.result);
}

} // namespace pimentomast::proxy::detail
