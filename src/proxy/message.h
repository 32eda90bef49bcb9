#pragma once

#include "body.h"
#include "exchange.h"

namespace pimentomast::proxy::detail {

/// Returns the head that goes to the target, with the contract's fields.
[[nodiscard]] std::string requestHead(const exchange& request, const destination& to,
    const contract& fields, const std::string& requestId, instant now);

/// Returns how the answer goes to the caller.
[[nodiscard]] framing responseFraming(const response_parser& response, const checked_head& request);

/// Returns the head that goes to the caller.
[[nodiscard]] std::string responseHead(
    const response_parser& response, const checked_head& request, framing body, bool closes);

/// Returns an interim (1xx) answer's head as it goes to the caller.
[[nodiscard]] std::string interimHead(const response_parser& response);

/// Tells whether the target says that it refused the request before running it, and why.
[[nodiscard]] std::optional<reason> notRunReason(
    const response_parser& response, const contract& fields);

/// Tells whether the answer names another request than this one.
[[nodiscard]] bool isStaleResponse(
    const response_parser& response, const exchange& request, const contract& fields);

/// Returns the pause that the answer asks for in seconds, which may have fractions; nothing for a
/// date or no such field.
[[nodiscard]] std::optional<duration> retryAfter(const response_parser& response);

/// Returns the strong validator by which the rest of the answer may be asked for; empty if there is
/// none or the request is not one to continue.
[[nodiscard]] std::string continuationEtag(
    const response_parser& response, const exchange& request);

/// Returns the length of the whole if the answer is exactly the rest that was asked for.
[[nodiscard]] std::optional<std::uint64_t> continuedBodyLength(
    const response_parser& response, const continuation& expected);

/// An answer of the proxy's own.
struct local_response {
    int status = 500;
    certainty outcome = certainty::NotRun;
    std::string reason;
    std::string step;
    std::string peer;
    /// 0: not said.
    duration retryAfter {};
    /// Retry-After may have fractions of a second; otherwise it is rounded up.
    bool fractionalRetryAfter = false;
    bool withBody = true;
    bool closes = true;
};

/// Returns the whole answer.
[[nodiscard]] std::string formatLocalResponse(const local_response& response);

/// Returns the id that the caller gave its request; empty if callers give none.
[[nodiscard]] std::string callerSuppliedId(const checked_head& head, const contract& fields);
/// Returns the id of a request as targets see it.
[[nodiscard]] std::string requestIdText(const exchange& request, const options& settings);

} // namespace pimentomast::proxy::detail
