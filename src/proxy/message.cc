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

bool isNamed(const std::vector<std::string>& names, std::string_view field)
{
    return std::any_of(names.begin(), names.end(),
        [field](const std::string& own) { return equalNames(own, field); });
}

bool expectsBody(http::verb method)
{
    return method == http::verb::post || method == http::verb::put || method == http::verb::patch;
}

/// Says that there is no body, which some servers would otherwise wait for.
void appendMissingLength(std::string& head, const exchange& request)
{
    if (request.head.parser->get().count(http::field::content_length) == 0)
        appendField(head, "Content-Length", "0");
}

void appendOwnFields(std::string& head, const exchange& request, const destination& to)
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

void appendContract(std::string& head, const exchange& request, const destination& to,
    const contract& fields, const std::string& id, instant now)
{
    if (fields.ownFields)
        appendOwnFields(head, request, to);
    const auto left
        = std::chrono::duration_cast<std::chrono::milliseconds>(request.facts.deadline - now);
    appendField(head, fields.deadline, std::to_string(std::max<long>(left.count(), 1)));
    if (!fields.instance.empty() && !to.instance.empty())
        appendField(head, fields.instance, to.instance);
    if (!fields.callersChooseId)
        appendField(head, fields.id, id);
}

/// Fields that the host itself writes, so that those of callers are not passed on.
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

std::vector<std::string> connectionNames(const response_parser& answer)
{
    std::vector<std::string> names;
    const auto fields = answer.get().equal_range(http::field::connection);
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

void appendAnswerFields(std::string& head, const response_parser& answer)
{
    const std::vector<std::string> named = connectionNames(answer);
    for (const auto& field : answer.get()) {
        const std::string_view fieldName = view(field.name_string());
        if (isHopByHop(fieldName) || isReservedField(fieldName) || isNamed(named, fieldName))
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
            || isNamed(request.head.connectionNames, fieldName) || isWrittenByHost(fieldName, names)
            || (field.name() == http::field::expect && request.continueSent);
        if (!dropped)
            appendField(head, fieldName, view(field.value()));
    }
    if (request.head.parser->chunked())
        appendField(head, "Transfer-Encoding", "chunked");
    else if (!request.head.hasBody && expectsBody(fields.method()))
        appendMissingLength(head, request);
    if (request.rest) {
        appendField(head, "Range", "bytes=" + std::to_string(request.rest->delivered) + "-");
        appendField(head, "If-Range", request.rest->tag);
    }
    appendField(head, "Via", "1.1 pimentomast");
    appendContract(head, request, to, names, requestId, now);
    return head + "\r\n";
}

framing answerFraming(const response_parser& answer, const checked_head& request)
{
    const unsigned status = answer.get().result_int();
    const bool bodiless
        = request.parser->get().method() == http::verb::head || status == 204 || status == 304;
    if (bodiless)
        return framing::None;
    if (!answer.chunked() && !answer.need_eof())
        return framing::Length;
    return request.http10 ? framing::Close : framing::Chunked;
}

std::string answerHead(
    const response_parser& answer, const checked_head& request, framing body, bool closes)
{
    std::string head
        = statusLine(static_cast<int>(answer.get().result_int()), view(answer.get().reason()));
    appendAnswerFields(head, answer);
    if (body == framing::Chunked)
        appendField(head, "Transfer-Encoding", "chunked");
    if (closes || body == framing::Close)
        appendField(head, "Connection", "close");
    else if (request.http10)
        appendField(head, "Connection", "keep-alive");
    return head + "\r\n";
}

std::string interimHead(const response_parser& answer)
{
    std::string head
        = statusLine(static_cast<int>(answer.get().result_int()), view(answer.get().reason()));
    appendAnswerFields(head, answer);
    return head + "\r\n";
}

bool isStray(const response_parser& answer, const exchange& request, const contract& fields)
{
    if (!fields.callersChooseId || answer.get().count(fields.id) == 0)
        return false;
    const auto asked = view(request.head.parser->get()[fields.id]);
    return view(answer.get()[fields.id]) != asked;
}

namespace {

bool refusedBeforeRunning(const response_parser& answer, const contract& fields)
{
    if (fields.notRun.empty())
        return view(answer.get()["Pimentomast-Outcome"]) == "not-run";
    return answer.get().count(fields.notRun) > 0 || answer.get().result_int() == 421;
}

} // namespace

std::optional<reason> notRunReason(const response_parser& answer, const contract& fields)
{
    if (!refusedBeforeRunning(answer, fields))
        return std::nullopt;
    switch (answer.get().result_int()) {
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

std::optional<duration> retryAfter(const response_parser& answer)
{
    constexpr double longestS = 86400;
    const std::string text(view(answer.get()[http::field::retry_after]));
    double wantedS = 0;
    if (!Poco::NumberParser::tryParseFloat(text, wantedS) || !(wantedS >= 0))
        return std::nullopt;
    const std::chrono::duration<double> wanted(std::min(wantedS, longestS));
    return std::chrono::duration_cast<duration>(wanted);
}

std::string continuationTag(const response_parser& answer, const exchange& request)
{
    const auto& asked = request.head.parser->get();
    const bool plainGet = asked.method() == http::verb::get && !request.head.hasBody
        && asked.count(http::field::range) == 0;
    if (!plainGet || !request.facts.repeatable || answer.get().result_int() != 200)
        return {};
    const std::string tag(view(answer.get()[http::field::etag]));
    return tag.starts_with('"') ? tag : std::string();
}

std::optional<std::uint64_t> restTotal(const response_parser& answer, const continuation& rest)
{
    const auto& fields = answer.get();
    if (fields.result_int() != 206 || view(fields[http::field::etag]) != rest.tag)
        return std::nullopt;
    const std::string_view range = view(fields[http::field::content_range]);
    const std::size_t slash = range.rfind('/');
    Poco::UInt64 total = 0;
    if (slash == std::string_view::npos
        || !Poco::NumberParser::tryParseUnsigned64(std::string(range.substr(slash + 1)), total))
        return std::nullopt;
    const std::string wanted = "bytes " + std::to_string(rest.delivered) + "-"
        + std::to_string(total - 1) + "/" + std::to_string(total);
    if (range != wanted || rest.total.value_or(total) != total)
        return std::nullopt;
    return total;
}

std::string ownAnswer(const own_answer& answer)
{
    const std::string outcome = answer.outcome == request_outcome::NotRun ? "not-run" : "unknown";
    const std::string body = "{\"outcome\":\"" + outcome
        + "\",\"reason\":" + Poco::toJSON(answer.reason) + ",\"step\":" + Poco::toJSON(answer.step)
        + ",\"peer\":" + Poco::toJSON(answer.peer) + "}\n";
    std::string text = statusLine(answer.status,
        Poco::Net::HTTPResponse::getReasonForStatus(
            static_cast<Poco::Net::HTTPResponse::HTTPStatus>(answer.status)));
    appendField(text, "Content-Type", "application/json");
    appendField(text, "Content-Length", std::to_string(body.size()));
    appendField(text, "Pimentomast-Outcome", outcome);
    if (answer.retryAfter > duration::zero())
        appendField(
            text, "Retry-After", secondsText(answer.retryAfter, answer.fractionalRetryAfter));
    if (answer.closes)
        appendField(text, "Connection", "close");
    text += "\r\n";
    return answer.withBody ? text + body : text;
}

std::string callersId(const checked_head& head, const contract& fields)
{
    if (!fields.callersChooseId)
        return {};
    const auto found = head.parser->get().find(fields.id);
    return found == head.parser->get().end() ? std::string() : std::string(view(found->value()));
}

std::string idOf(const exchange& request, const options& settings)
{
    auto given = callersId(request.head, settings.contract);
    if (!given.empty())
        return given;
    return settings.requestPrefix + std::to_string(request.facts.id.value());
}

} // namespace pimentomast::proxy::detail
