#include "classify.h"

#include <Poco/NumberParser.h>
#include <Poco/URI.h>

namespace pimentomast::proxy::detail {
namespace {

std::string decodedText(std::string_view text)
{
    std::string plain;
    Poco::URI::decode(std::string(text), plain);
    return plain;
}

std::vector<std::string> segmentsOf(std::string_view path)
{
    std::vector<std::string> segments;
    while (!path.empty()) {
        path.remove_prefix(1);
        const std::size_t end = std::min(path.find('/'), path.size());
        segments.push_back(decodedText(path.substr(0, end)));
        path.remove_prefix(end);
    }
    return segments;
}

std::vector<table::query_value> queryOf(const std::string& target)
{
    std::vector<table::query_value> values;
    if (target.find('?') == std::string::npos)
        return values;
    for (const auto& [parameter, value] : Poco::URI(target).getQueryParameters())
        values.push_back({ parameter, value });
    return values;
}

std::vector<std::string> valuesOf(const checked_head& head, const std::string& field)
{
    std::vector<std::string> values;
    const auto range = head.parser->get().equal_range(field);
    for (auto found = range.first; found != range.second; ++found)
        values.emplace_back(found->value().data(), found->value().size());
    return values;
}

std::string methodOf(const checked_head& head)
{
    const auto method = head.parser->get().method_string();
    return { method.data(), method.size() };
}

reason reasonOf(table::classify_error why)
{
    switch (why) {
    case table::classify_error::NoService:
        return reason::NoService;
    case table::classify_error::NoKey:
        return reason::NoKey;
    case table::classify_error::Ambiguous:
        return reason::Ambiguous;
    case table::classify_error::BadKey:
        return reason::BadKey;
    }
    return reason::Internal;
}

} // namespace

classify_result classify(
    const table::table& rows, const checked_head& head, const part_chooser& choosePart)
{
    table::request_head request;
    request.method = methodOf(head);
    request.host = head.host;
    request.path = head.target.substr(0, head.target.find('?'));
    request.choosePart = choosePart;
    request.segments = segmentsOf(request.path);
    request.query = queryOf(head.target);
    request.header = [&head](const std::string& field) { return valuesOf(head, field); };
    const auto found = table::classify(rows, request);
    if (const auto* why = std::get_if<table::classify_error>(&found))
        return reasonOf(*why);
    return std::get<table::classified_request>(found);
}

std::optional<duration> callerTimeout(const checked_head& head, const std::string& field)
{
    const auto values = valuesOf(head, field);
    unsigned timeoutMs = 0;
    if (values.size() != 1 || !Poco::NumberParser::tryParseUnsigned(values.front(), timeoutMs))
        return std::nullopt;
    return std::chrono::milliseconds(timeoutMs);
}

} // namespace pimentomast::proxy::detail
