#include "message.h"

#include <Poco/JSONString.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/NumberFormatter.h>
#include <Poco/NumberParser.h>
#include <algorithm>

namespace pimentomast::proxy::detail {
namespace {

std::string_view view(boost::beast::string_view text) { return { text.data(), text.size() }; }

void appendField(std::string& head, std::string_view field, std::string_view value)
{
    head += field;
    head += ": ";
    head += value;
    head += "\r\n";
}

bool containsName(const std::vector<std::string>& names, std::string_view field)
{
    return std::any_of(names.begin(), names.end(),
        [field](const std::string& listed) { return equalNames(listed, field); });
}

bool expectsBody(http::verb method)
{
    return method == http::verb::post || method == http::verb::put || method == http::verb::patch;
}

/// Adds "Content-Length: 0" if the caller sent no length; some servers would wait for a body.
void appendZeroLength(std::string& head, const exchange& request)
{
    if (request.head.parser->get().count(http::field::content_length) == 0)
        appendField(head, "Content-Length", "0");
}

void appendPimentomastFields(std::string& head, const exchange& request, const destination& to)
{
    if (to.grant) {
        const std::string text = std::to_string(to.grant->coordinator.value()) + "."
            + std::to_string(to.grant->assignment.value());
        appendField(head, "Pimentomast-Token", text);
    }
    if (request.facts.key)
        appendField(head, "Pimentomast-Key-Hash",
            Poco::NumberFormatter::formatHex(
                static_cast<Poco::UInt64>(request.facts.key->value()), 16));
    appendField(head, "Pimentomast-Caller", request.facts.caller.value());
}

void appendContractFields(std::string& head, const exchange& request, const destination& to,
    const contract& fields, const std::string& id, instant now)
{
    if (fields.sendPimentomastFields)
        appendPimentomastFields(head, request, to);
    const auto left
        = std::chrono::duration_cast<std::chrono::milliseconds>(request.facts.deadline - now);
    appendField(head, fields.deadline, std::to_string(std::max<long>(left.count(), 1)));
    if (!fields.instance.empty() && !to.instance.empty())
        appendField(head, fields.instance, to.instance);
    if (!fields.callersChooseId)
        appendField(head, fields.id, id);
}

/// Fields that the host sets itself; those sent by callers are dropped.
bool isWrittenByHost(std::string_view field, const contract& fields)
{
    return equalNames(field, fields.deadline) || equalNames(field, fields.instance)
        || (!fields.callersChooseId && equalNames(field, fields.id));
}

std::string secondsText(duration wait, bool fractional)
{
    constexpr int millisecondDigits = 3;
    if (!fractional)
        return std::to_string(std::chrono::ceil<std::chrono::seconds>(wait).count());
    return Poco::NumberFormatter::format(
        std::chrono::duration<double>(wait).count(), millisecondDigits);
}

std::vector<std::string> connectionOptions(const response_parser& response)
{
    std::vector<std::string> names;
    const auto fields = response.get().equal_range(http::field::connection);
    for (auto field = fields.first; field != fields.second; ++field) {
        for (const std::string_view option : listElements(view(field->value())))
            names.emplace_back(option);
    }
    return names;
}

std::string statusLine(int status, std::string_view phrase)
{
    std::string line = "HTTP/1.1 " + std::to_string(status) + " ";
    line += phrase;
    return line + "\r\n";
}

void appendEndToEndFields(std::string& head, const response_parser& response)
{
    const std::vector<std::string> named = connectionOptions(response);
    for (const auto& field : response.get()) {
        const std::string_view fieldName = view(field.name_string());
        if (isHopByHop(fieldName) || isReservedField(fieldName) || containsName(named, fieldName))
            continue;
        appendField(head, fieldName, view(field.value()));
    }
}

} // namespace

std::string requestHead(const exchange& request, const destination& to, const contract& names,
    const std::string& requestId, instant now)
{
    const auto& fields = request.head.parser->get();
    std::string head(view(fields.method_string()));
    head += " " + request.head.target + " HTTP/1.1\r\n";
    appendField(head, "Host", request.head.host.empty() ? to.address.text() : request.head.host);
    for (const auto& field : fields) {
        const std::string_view fieldName = view(field.name_string());
        const bool dropped = field.name() == http::field::host || isHopByHop(fieldName)
            || containsName(request.head.connectionOptions, fieldName)
            || isWrittenByHost(fieldName, names)
            || (field.name() == http::field::expect && request.continueSent);
        if (!dropped)
            appendField(head, fieldName, view(field.value()));
    }
    if (request.head.parser->chunked())
        appendField(head, "Transfer-Encoding", "chunked");
    else if (!request.head.hasBody && expectsBody(fields.method()))
        appendZeroLength(head, request);
    if (request.pendingContinuation) {
        appendField(
            head, "Range", "bytes=" + std::to_string(request.pendingContinuation->delivered) + "-");
        appendField(head, "If-Range", request.pendingContinuation->strongEtag);
    }
    appendField(head, "Via", "1.1 pimentomast");
    appendContractFields(head, request, to, names, requestId, now);
    return head + "\r\n";
}

framing responseFraming(const response_parser& response, const checked_head& request)
{
    const unsigned status = response.get().result_int();
    const bool bodiless
        = request.parser->get().method() == http::verb::head || status == 204 || status == 304;
    if (bodiless)
        return framing::None;
    if (!response.chunked() && !response.need_eof())
        return framing::Length;
    return request.http10 ? framing::Close : framing::Chunked;
}

std::string responseHead(
    const response_parser& response, const checked_head& request, framing body, bool closes)
{
    std::string head
        = statusLine(static_cast<int>(response.get().result_int()), view(response.get().reason()));
    appendEndToEndFields(head, response);
    if (body == framing::Chunked)
        appendField(head, "Transfer-Encoding", "chunked");
    if (closes || body == framing::Close)
        appendField(head, "Connection", "close");
    else if (request.http10)
        appendField(head, "Connection", "keep-alive");
    return head + "\r\n";
}

std::string interimHead(const response_parser& response)
{
    std::string head
        = statusLine(static_cast<int>(response.get().result_int()), view(response.get().reason()));
    appendEndToEndFields(head, response);
    return head + "\r\n";
}

bool isValidStatus(unsigned status) noexcept
{
    constexpr unsigned first = 100;
    constexpr unsigned last = 599;
    constexpr unsigned switchingProtocols = 101;
    return status >= first && status <= last && status != switchingProtocols;
}

load_field loadField(const response_parser& response, const contract& fields)
{
    if (fields.load.empty())
        return {};
    const auto found = response.get().find(fields.load);
    if (found == response.get().end())
        return {};
    const auto report = fields.decodeLoad(view(found->value()));
    return { report, !report };
}

bool isStaleResponse(
    const response_parser& response, const exchange& request, const contract& fields)
{
    if (!fields.callersChooseId || response.get().count(fields.id) == 0)
        return false;
    const auto requested = view(request.head.parser->get()[fields.id]);
    return view(response.get()[fields.id]) != requested;
}

namespace {

bool refusedBeforeRunning(const response_parser& response, const contract& fields)
{
    if (fields.notRun.empty())
        return view(response.get()["Pimentomast-Outcome"]) == "not-run";
    return response.get().count(fields.notRun) > 0 || response.get().result_int() == 421;
}

} // namespace

bool isNamelessRefusal(const response_parser& response, const contract& fields)
{
    const bool isNamed = !fields.callersChooseId || response.get().count(fields.id) > 0;
    return !isNamed && refusedBeforeRunning(response, fields);
}

std::optional<reason> notRunReason(const response_parser& response, const contract& fields)
{
    if (!refusedBeforeRunning(response, fields))
        return std::nullopt;
    switch (response.get().result_int()) {
    case 429:
    case 503:
        return reason::TargetShed;
    case 421:
        return reason::TargetNotOwner;
    case 425:
        return reason::TargetDraining;
    default:
        return std::nullopt;
    }
}

bool isUnprovedRefusal(const response_parser& response, const contract& fields)
{
    switch (response.get().result_int()) {
    case 408:
    case 421:
    case 429:
    case 503:
        return !refusedBeforeRunning(response, fields);
    default:
        return false;
    }
}

std::optional<duration> retryAfter(const response_parser& response)
{
    constexpr double maxSeconds = 86400;
    const std::string text(view(response.get()[http::field::retry_after]));
    double requestedSeconds = 0;
    if (!Poco::NumberParser::tryParseFloat(text, requestedSeconds) || !(requestedSeconds >= 0))
        return std::nullopt;
    const std::chrono::duration<double> delay(std::min(requestedSeconds, maxSeconds));
    return std::chrono::duration_cast<duration>(delay);
}

std::string continuationEtag(const response_parser& response, const exchange& request)
{
    const auto& requested = request.head.parser->get();
    const bool plainGet = requested.method() == http::verb::get && !request.head.hasBody
        && requested.count(http::field::range) == 0;
    if (!plainGet || !request.facts.repeatable || response.get().result_int() != 200)
        return {};
    const std::string strongEtag(view(response.get()[http::field::etag]));
    return strongEtag.starts_with('"') ? strongEtag : std::string();
}

std::optional<std::uint64_t> continuedBodyLength(
    const response_parser& response, const continuation& expected)
{
    const auto& fields = response.get();
    if (fields.result_int() != 206 || view(fields[http::field::etag]) != expected.strongEtag)
        return std::nullopt;
    const std::string_view range = view(fields[http::field::content_range]);
    const std::size_t slash = range.rfind('/');
    Poco::UInt64 total = 0;
    if (slash == std::string_view::npos
        || !Poco::NumberParser::tryParseUnsigned64(std::string(range.substr(slash + 1)), total))
        return std::nullopt;
    const std::string expectedRange = "bytes " + std::to_string(expected.delivered) + "-"
        + std::to_string(total - 1) + "/" + std::to_string(total);
    if (range != expectedRange || expected.total.value_or(total) != total)
        return std::nullopt;
    return total;
}

std::string formatLocalResponse(const local_response& response)
{
    const std::string outcome = response.outcome == request_outcome::NotRun ? "not-run" : "unknown";
    const std::string body = "{\"outcome\":\"" + outcome + "\",\"reason\":"
        + Poco::toJSON(response.reason) + ",\"step\":" + Poco::toJSON(response.step)
        + ",\"peer\":" + Poco::toJSON(response.peer) + "}\n";
    std::string text = statusLine(response.status,
        Poco::Net::HTTPResponse::getReasonForStatus(
            static_cast<Poco::Net::HTTPResponse::HTTPStatus>(response.status)));
    appendField(text, "Content-Type", "application/json");
    appendField(text, "Content-Length", std::to_string(body.size()));
    appendField(text, "Pimentomast-Outcome", outcome);
    if (response.retryAfter > duration::zero())
        appendField(
            text, "Retry-After", secondsText(response.retryAfter, response.fractionalRetryAfter));
    if (response.closes)
        appendField(text, "Connection", "close");
    text += "\r\n";
    return response.withBody ? text + body : text;
}

std::string callerSuppliedId(const checked_head& head, const contract& fields)
{
    if (!fields.callersChooseId)
        return {};
    const auto found = head.parser->get().find(fields.id);
    return found == head.parser->get().end() ? std::string() : std::string(view(found->value()));
}

std::string requestIdText(const exchange& request, const options& settings)
{
    auto given = callerSuppliedId(request.head, settings.contract);
    if (!given.empty())
        return given;
    return settings.requestIdPrefix + std::to_string(request.facts.id.value());
}

} // namespace pimentomast::proxy::detail
