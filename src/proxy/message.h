#pragma once

#include "body.h"
#include "exchange.h"

namespace pimentomast::proxy::detail {

/// Returns the request head to send to the target, including the contract's fields.
[[nodiscard]] std::string requestHead(const exchange& request, const destination& to,
    const contract& fields, const std::string& requestId, instant now);

/// Returns the body framing to use towards the caller.
[[nodiscard]] framing responseFraming(const response_parser& response, const checked_head& request);

/// Returns the response head to send to the caller.
[[nodiscard]] std::string responseHead(
    const response_parser& response, const checked_head& request, framing body, bool closes);

/// Returns the head of an interim (1xx) response to send to the caller.
[[nodiscard]] std::string interimHead(const response_parser& response);

/// Returns whether the response is a refusal without a request id, which may belong to an earlier
/// request on the connection.
[[nodiscard]] bool isNamelessRefusal(const response_parser& response, const contract& fields);

/// Returns the reason if the response states that the target refused the request before running
/// it.
[[nodiscard]] std::optional<reason> notRunReason(
    const response_parser& response, const contract& fields);

/// Returns whether the status promises callers that the request has not run and never will,
/// although the response does not state that the target refused it.
[[nodiscard]] bool isUnprovedRefusal(const response_parser& response, const contract& fields);

/// Returns whether the status code is one of HTTP's (RFC 9110, section 15) and is expected here: no
/// request asks to switch protocols.
[[nodiscard]] bool isValidStatus(unsigned status) noexcept;

/// A response's load field.
struct load_field {
    /// Empty if the field is missing or malformed.
    std::optional<routing::load_report> report;
    bool isMalformed = false;
};

/// Returns the load that a target reports with a response.
[[nodiscard]] load_field loadField(const response_parser& response, const contract& fields);

/// Returns whether the response carries the id of another request.
[[nodiscard]] bool isStaleResponse(
    const response_parser& response, const exchange& request, const contract& fields);

/// Returns the delay of the Retry-After field, whose seconds may have fractions, capped at one
/// day; nothing if the field is missing, negative or a date.
[[nodiscard]] std::optional<duration> retryAfter(const response_parser& response);

/// Returns the strong ETag with which the remaining bytes of the response may be requested. Empty
/// if there is none or the response must not be continued: only a plain, repeatable GET with a 200
/// response can be.
[[nodiscard]] std::string continuationEtag(
    const response_parser& response, const exchange& request);

/// Returns the length of the complete representation if the response is exactly the range that was
/// requested.
[[nodiscard]] std::optional<std::uint64_t> continuedBodyLength(
    const response_parser& response, const continuation& expected);

/// A response that the proxy generates itself.
struct local_response {
    int status = 500;
    request_outcome outcome = request_outcome::NotRun;
    std::string reason;
    std::string step;
    std::string peer;
    /// 0 omits the Retry-After field.
    duration retryAfter {};
    /// Retry-After may have fractions of a second; otherwise it is rounded up.
    bool fractionalRetryAfter = false;
    bool withBody = true;
    bool closes = true;
};

/// Returns the response's head and body as text.
[[nodiscard]] std::string formatLocalResponse(const local_response& response);

/// Returns the request id sent by the caller; empty if there is none or callers do not choose it.
[[nodiscard]] std::string callerSuppliedId(const checked_head& head, const contract& fields);
/// Returns the request id as sent to targets.
[[nodiscard]] std::string requestIdText(const exchange& request, const options& settings);

} // namespace pimentomast::proxy::detail
