#include "head.h"

#include <Poco/Ascii.h>
#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>

namespace pimentomast::proxy::detail {
namespace {

constexpr std::string_view headEnd = "\r\n\r\n";
constexpr std::size_t maxLengthDigits = 18;

std::string_view view(boost::beast::string_view text) { return { text.data(), text.size() }; }

bool isKnownMethod(std::string_view method)
{
    static constexpr std::array<std::string_view, 7> known { "GET", "HEAD", "POST", "PUT", "DELETE",
        "PATCH", "OPTIONS" };
    return std::find(known.begin(), known.end(), method) != known.end();
}

bool isValidHost(std::string_view host)
{
    return std::all_of(host.begin(), host.end(), [](char letter) {
        return Poco::Ascii::isAlphaNumeric(letter)
            || std::string_view("-._~:[]%!$&'()*+,;=").find(letter) != std::string_view::npos;
    });
}

/// Checks a single line as delimited by findHead().
std::optional<reason> lineFault(std::string_view line, bool first)
{
    if (!first && (line.starts_with(' ') || line.starts_with('\t')))
        return reason::FoldedField;
    const bool control = std::any_of(line.begin(), line.end(), [](char letter) {
        const auto code = static_cast<unsigned char>(letter);
        return (code < 0x20 && letter != '\t') || code == 0x7f;
    });
    if (control)
        return reason::MalformedHead;
    return std::nullopt;
}

std::optional<reason> linesFault(std::string_view head, const head_limits& limits)
{
    std::size_t lines = 0;
    while (!head.empty()) {
        const std::size_t end = head.find("\r\n");
        const std::string_view line = head.substr(0, end);
        if (line.size() > limits.lineBytes)
            return reason::LineTooLong;
        if (const auto fault = lineFault(line, lines == 0))
            return fault;
        ++lines;
        head.remove_prefix(std::min(end + 2, head.size()));
    }
    return lines > limits.fields + 2 ? std::optional(reason::TooManyFields) : std::nullopt;
}

/// Checks the syntax of the request line; the reason selects status 400, 501 or 505.
std::optional<reason> requestLineFault(std::string_view head)
{
    const std::string_view line = head.substr(0, head.find("\r\n"));
    const std::size_t first = line.find(' ');
    const std::size_t last = line.rfind(' ');
    if (first == std::string_view::npos || first == last || first == 0)
        return reason::MalformedHead;
    const std::string_view target = line.substr(first + 1, last - first - 1);
    if (target.empty() || target.find_first_of(" \t") != std::string_view::npos)
        return reason::BadTarget;
    const std::string_view version = line.substr(last + 1);
    if (version.starts_with("HTTP/") && version != "HTTP/1.1" && version != "HTTP/1.0")
        return reason::BadVersion;
    return isKnownMethod(line.substr(0, first)) ? std::nullopt
                                                : std::optional(reason::UnknownMethod);
}

/// Values of the fields that control framing, routing and connection handling.
struct framing_fields {
    std::vector<std::string_view> lengths;
    std::vector<std::string_view> encodings;
    std::vector<std::string_view> hosts;
    std::vector<std::string_view> expectations;
    std::vector<std::string_view> connections;
};

framing_fields framingFields(std::string_view head)
{
    framing_fields found;
    std::size_t start = head.find("\r\n") + 2;
    while (start < head.size()) {
        const std::size_t end = head.find("\r\n", start);
        const std::string_view line = head.substr(start, end - start);
        start = end + 2;
        const std::size_t colon = line.find(':');
        if (colon == std::string_view::npos)
            continue;
        const std::string_view fieldName = line.substr(0, colon);
        std::string_view value = line.substr(colon + 1);
        while (!value.empty() && (value.front() == ' ' || value.front() == '\t'))
            value.remove_prefix(1);
        while (!value.empty() && (value.back() == ' ' || value.back() == '\t'))
            value.remove_suffix(1);
        if (equalNames(fieldName, "Content-Length"))
            found.lengths.push_back(value);
        else if (equalNames(fieldName, "Transfer-Encoding"))
            found.encodings.push_back(value);
        else if (equalNames(fieldName, "Host"))
            found.hosts.push_back(value);
        else if (equalNames(fieldName, "Expect"))
            found.expectations.push_back(value);
        else if (equalNames(fieldName, "Connection"))
            found.connections.push_back(value);
    }
    return found;
}

bool isLength(std::string_view text)
{
    return !text.empty() && text.size() <= maxLengthDigits
        && std::all_of(
            text.begin(), text.end(), [](char digit) { return digit >= '0' && digit <= '9'; });
}

std::optional<reason> framingFault(const framing_fields& fields, bool http10)
{
    if (!fields.lengths.empty() && !fields.encodings.empty())
        return reason::LengthAndEncoding;
    if (fields.lengths.size() > 1)
        return reason::RepeatedLength;
    if (!fields.lengths.empty() && fields.lengths[0].find(',') != std::string_view::npos)
        return reason::RepeatedLength;
    if (!fields.lengths.empty() && !isLength(fields.lengths[0]))
        return reason::BadLength;
    if (fields.encodings.size() > 1)
        return reason::UnsupportedEncoding;
    if (!fields.encodings.empty() && (http10 || !equalNames(fields.encodings[0], "chunked")))
        return reason::UnsupportedEncoding;
    return std::nullopt;
}

std::optional<reason> hostFault(const framing_fields& fields, bool http10)
{
    if (fields.hosts.size() > 1 || (fields.hosts.empty() && !http10))
        return reason::BadHost;
    if (!fields.hosts.empty() && !isValidHost(fields.hosts[0]))
        return reason::BadHost;
    return std::nullopt;
}

/// Returns false for end-to-end fields; removing them as hop-by-hop would change the request.
bool mayBeNamedByConnection(std::string_view option)
{
    static constexpr std::array<std::string_view, 9> endToEnd { "host", "content-length", "expect",
        "content-type", "content-encoding", "authorization", "range", "if-range", "cookie" };
    return std::none_of(endToEnd.begin(), endToEnd.end(),
        [option](std::string_view listed) { return equalNames(listed, option); });
}

std::optional<reason> readConnection(const framing_fields& fields, checked_head& head)
{
    head.keepAlive = !head.http10;
    bool closes = false;
    for (const std::string_view list : fields.connections) {
        for (const std::string_view option : listElements(list)) {
            if (!mayBeNamedByConnection(option) || isReservedField(option))
                return reason::BadConnectionField;
            closes = closes || equalNames(option, "close");
            head.keepAlive = head.keepAlive || equalNames(option, "keep-alive");
            head.connectionOptions.push_back(lowerCase(option));
        }
    }
    head.keepAlive = head.keepAlive && !closes;
    return std::nullopt;
}

std::optional<reason> readExpectation(const framing_fields& fields, checked_head& head)
{
    for (const std::string_view list : fields.expectations) {
        if (!equalNames(list, "100-continue"))
            return reason::UnsupportedExpectation;
        head.expectsContinue = !head.http10;
    }
    return std::nullopt;
}

std::optional<reason> readTarget(const framing_fields& fields, checked_head& head)
{
    head.host = fields.hosts.empty() ? std::string() : std::string(fields.hosts[0]);
    head.target = originForm(view(head.parser->get().target()), head.host);
    if (head.target.empty() || hasInvalidPath(head.target))
        return reason::BadTarget;
    if (!isValidHost(head.host))
        return reason::BadHost;
    return std::nullopt;
}

std::optional<reason> parse(std::string_view text, checked_head& head, const head_limits& limits)
{
    head.parser = std::make_unique<request_parser>();
    head.parser->header_limit(static_cast<std::uint32_t>(limits.headBytes + 1));
    head.parser->body_limit(unlimitedBody);
    boost::beast::error_code fault;
    head.parser->put(boost::asio::buffer(text.data(), text.size()), fault);
    if (fault || !head.parser->is_header_done())
        return reason::MalformedHead;
    for (const auto& field : head.parser->get()) {
        if (isReservedField(view(field.name_string())))
            return reason::ReservedField;
    }
    return std::nullopt;
}

std::optional<reason> headFault(
    std::string_view text, checked_head& head, const head_limits& limits)
{
    if (const auto fault = linesFault(text, limits))
        return fault;
    if (const auto fault = requestLineFault(text))
        return fault;
    const framing_fields fields = framingFields(text);
    head.http10 = text.substr(0, text.find("\r\n")).ends_with("HTTP/1.0");
    if (const auto fault = framingFault(fields, head.http10))
        return fault;
    if (const auto fault = hostFault(fields, head.http10))
        return fault;
    if (const auto fault = parse(text, head, limits))
        return fault;
    if (const auto fault = readTarget(fields, head))
        return fault;
    if (const auto fault = readConnection(fields, head))
        return fault;
    if (const auto fault = readExpectation(fields, head))
        return fault;
    head.hasBody = !head.parser->is_done();
    return std::nullopt;
}

} // namespace

head_extent findHead(std::string_view input, std::size_t scanned, const head_limits& limits)
{
    std::size_t begin = input.starts_with("\r\n") ? 2 : 0;
    const std::size_t end = input.find(headEnd, std::max(begin, scanned > 3 ? scanned - 3 : 0));
    const std::size_t checked = std::min(end, input.size());
    for (std::size_t i = scanned; i < checked; ++i) {
        if (input[i] == '\n' && (i == 0 || input[i - 1] != '\r'))
            return reason::BareLineEnding;
        if (input[i] == '\r' && i + 1 < input.size() && input[i + 1] != '\n')
            return reason::BareLineEnding;
    }
    if (end != std::string_view::npos && end + headEnd.size() <= limits.headBytes)
        return head_complete { end + headEnd.size() };
    if (input.size() > limits.headBytes)
        return reason::HeadTooLarge;
    return head_partial { input.empty() ? 0 : input.size() - 1 };
}

head_check checkHead(std::string_view text, const head_limits& limits)
{
    if (text.starts_with("\r\n"))
        text.remove_prefix(2);
    checked_head head;
    if (const auto fault = headFault(text, head, limits))
        return *fault;
    return head;
}

} // namespace pimentomast::proxy::detail
