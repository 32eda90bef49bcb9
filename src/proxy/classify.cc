#include "classify.h"

#include <Poco/Exception.h>
#include <Poco/URI.h>
#include <algorithm>

namespace pimentomast::proxy::detail {
namespace {

std::string decodedText(std::string_view text)
{
    std::string plain;
    Poco::URI::decode(std::string(text), plain);
    return plain;
}

std::string_view pathOf(std::string_view target) { return target.substr(0, target.find('?')); }

const table::service_row* findService(const table::table& rows, std::string_view target)
{
    const std::string path = decodedText(pathOf(target));
    const table::service_row* best = nullptr;
    for (const table::service_row& row : rows.services) {
        const bool longer = best == nullptr || row.pathPrefix.size() > best->pathPrefix.size();
        if (longer && path.starts_with(row.pathPrefix))
            best = &row;
    }
    return best;
}

/// Reads the value of one source; empty if it is missing, empty or ambiguous.
struct source_reader {
    const checked_head& head;

    std::optional<std::string> operator()(const table::no_source&) const { return std::nullopt; }

    std::optional<std::string> operator()(const table::path_segment& source) const
    {
        std::string_view rest = pathOf(head.target);
        for (unsigned skipped = 0; skipped <= source.index; ++skipped) {
            const std::size_t slash = rest.find('/');
            if (slash == std::string_view::npos)
                return std::nullopt;
            rest.remove_prefix(slash + 1);
        }
        return nonEmpty(decodedText(rest.substr(0, rest.find('/'))));
    }

    std::optional<std::string> operator()(const table::query_parameter& source) const
    {
        const Poco::URI uri(head.target);
        std::optional<std::string> value;
        for (const auto& [parameter, text] : uri.getQueryParameters()) {
            if (parameter != source.name)
                continue;
            if (value)
                return std::nullopt;
            value = text;
        }
        return nonEmpty(value.value_or(std::string()));
    }

    std::optional<std::string> operator()(const table::header_field& source) const
    {
        const auto& fields = head.parser->get();
        if (fields.count(source.name) != 1)
            return std::nullopt;
        const auto value = fields[source.name];
        return nonEmpty(std::string(value.data(), value.size()));
    }

    static std::optional<std::string> nonEmpty(std::string text)
    {
        return text.empty() ? std::nullopt : std::optional(std::move(text));
    }
};

} // namespace

classified classify(const table::table& rows, const checked_head& head, const std::string& peerIp)
{
    classification found;
    found.service = findService(rows, head.target);
    if (found.service == nullptr)
        return reason::NoService;
    const source_reader reader { head };
    found.key = std::visit(reader, found.service->key);
    if (found.service->keyed() && !found.key)
        return reason::NoKey;
    const auto caller = std::visit(reader, found.service->caller);
    if (!caller && !std::holds_alternative<table::no_source>(found.service->caller))
        return reason::NoCaller;
    found.caller = caller_id { caller.value_or(peerIp) };
    const auto method = head.parser->get().method_string();
    found.repeatable = found.service->repeatable.contains(std::string(method.data(), method.size()));
    return found;
}

std::uint64_t fingerprint(const checked_head& head, const classification& found)
{
    const auto method = head.parser->get().method_string();
    std::string text(method.data(), method.size());
    text += " " + head.target + " " + found.caller.value();
    return hashKey(text).value();
}

} // namespace pimentomast::proxy::detail
