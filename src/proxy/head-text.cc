#include "head.h"

#include <Poco/Ascii.h>
#include <algorithm>
#include <array>

namespace pimentomast::proxy::detail {
namespace {

constexpr std::string_view reservedPrefix = "pimentomast-";
constexpr std::string_view reservedPath = "/pimentomast";
constexpr std::string_view absolutePrefix = "http://";

int hexValue(char digit)
{
    if (digit >= '0' && digit <= '9')
        return digit - '0';
    const int lower = Poco::Ascii::toLower(digit);
    return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

/// Percent-decodes the text; nothing if an escape is invalid or encodes a control character.
std::optional<std::string> decoded(std::string_view text)
{
    std::string plain;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] != '%') {
            plain += text[i];
            continue;
        }
        if (i + 2 >= text.size())
            return std::nullopt;
        const int high = hexValue(text[i + 1]);
        const int low = hexValue(text[i + 2]);
        if (high < 0 || low < 0 || high * 16 + low < 0x20 || high * 16 + low == 0x7f)
            return std::nullopt;
        plain += static_cast<char>(high * 16 + low);
        i += 2;
    }
    return plain;
}

std::string_view pathOf(std::string_view target) { return target.substr(0, target.find('?')); }

std::string_view trimmed(std::string_view text)
{
    const std::size_t first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

bool isDotSegment(std::string_view segment) { return segment == "." || segment == ".."; }

} // namespace

std::string originForm(std::string_view target, std::string& host)
{
    if (target.starts_with('/'))
        return std::string(target);
    if (!equalNames(target.substr(0, absolutePrefix.size()), absolutePrefix))
        return {};
    target.remove_prefix(absolutePrefix.size());
    const std::size_t end = std::min(target.find_first_of("/?"), target.size());
    host = target.substr(0, end);
    target.remove_prefix(end);
    if (host.empty())
        return {};
    return target.starts_with('/') ? std::string(target) : "/" + std::string(target);
}

bool hasInvalidPath(std::string_view target)
{
    if (target.find_first_of("#\\") != std::string_view::npos)
        return true;
    const auto query = target.find('?');
    if (query != std::string_view::npos && !decoded(target.substr(query)))
        return true;
    const auto path = decoded(pathOf(target));
    if (!path || path->find('\\') != std::string::npos)
        return true;
    std::string_view rest = *path;
    while (!rest.empty()) {
        const std::size_t end = std::min(rest.find('/'), rest.size());
        if (isDotSegment(rest.substr(0, end)))
            return true;
        rest.remove_prefix(std::min(end + 1, rest.size()));
    }
    return false;
}

bool isReservedPath(std::string_view target)
{
    const auto path = decoded(pathOf(target));
    if (!path)
        return false;
    std::string plain = lowerCase(*path);
    plain.erase(std::unique(plain.begin(), plain.end(),
                    [](char left, char right) { return left == '/' && right == '/'; }),
        plain.end());
    return plain == reservedPath || plain.starts_with(std::string(reservedPath) + "/");
}

bool isReservedField(std::string_view name)
{
    std::string plain = lowerCase(name);
    std::replace(plain.begin(), plain.end(), '_', '-');
    return plain.starts_with(reservedPrefix);
}

bool isHopByHop(std::string_view name)
{
    static constexpr std::array<std::string_view, 9> names { "connection", "keep-alive",
        "proxy-connection", "proxy-authenticate", "proxy-authorization", "te", "trailer",
        "transfer-encoding", "upgrade" };
    return std::any_of(names.begin(), names.end(),
        [name](std::string_view listed) { return equalNames(listed, name); });
}

bool equalNames(std::string_view left, std::string_view right)
{
    return left.size() == right.size()
        && std::equal(left.begin(), left.end(), right.begin(),
            [](char a, char b) { return Poco::Ascii::toLower(a) == Poco::Ascii::toLower(b); });
}

std::string lowerCase(std::string_view text)
{
    std::string lower(text);
    for (char& letter : lower)
        letter = static_cast<char>(Poco::Ascii::toLower(letter));
    return lower;
}

std::vector<std::string_view> listElements(std::string_view list)
{
    std::vector<std::string_view> elements;
    while (!list.empty()) {
        const std::size_t end = std::min(list.find(','), list.size());
        const std::string_view element = trimmed(list.substr(0, end));
        if (!element.empty())
            elements.push_back(element);
        list.remove_prefix(std::min(end + 1, list.size()));
    }
    return elements;
}

} // namespace pimentomast::proxy::detail
