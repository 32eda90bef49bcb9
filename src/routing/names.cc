#include "pimentomast/routing.h"

namespace pimentomast::routing {

namespace {

constexpr std::array<std::string_view, refusalReasonCount> refusalNames { "unknown-service",
    "no-target", "no-owner", "queue-full", "deadline-before-dispatch", "deadline-unreachable",
    "deadline-after-dispatch", "target-shed", "token-refused", "target-draining", "connect-failed",
    "retry-budget", "connection-broken", "connection-silent", "quarantined", "host-stopping",
    "table-unconfirmed", "wait-too-long", "target-warming", "refusal-unproved" };

constexpr std::array<std::string_view, retryReasonCount> retryNames { "target-shed",
    "token-refused", "target-draining", "connect-failed", "connection-broken", "connection-silent",
    "attempt-timed-out" };

} // namespace

std::string_view name(outcome value) noexcept
{
    return value == outcome::NotRun ? "not-run" : "unknown";
}

std::string_view name(refusal_reason value) noexcept
{
    return refusalNames.at(static_cast<std::size_t>(value));
}

std::string_view name(retry_reason value) noexcept
{
    return retryNames.at(static_cast<std::size_t>(value));
}

} // namespace pimentomast::routing
