#include "pimentomast/settings.h"

#include "keys.h"

#include <Poco/AutoPtr.h>
#include <Poco/String.h>
#include <Poco/Util/IniFileConfiguration.h>
#include <algorithm>
#include <fstream>
#include <set>
#include <sstream>

namespace pimentomast::settings {
namespace {

using problems = std::vector<problem>;
using ini = Poco::Util::IniFileConfiguration;

bool isKnownSection(const std::string& section)
{
    const auto& rules = detail::keyRules();
    return std::any_of(rules.begin(), rules.end(),
        [&](const auto& rule) { return rule.description.section == section; });
}

bool isKnownKey(const std::string& section, const std::string& key)
{
    const auto& rules = detail::keyRules();
    return std::any_of(rules.begin(), rules.end(), [&](const auto& rule) {
        return rule.description.section == section && rule.description.key == key;
    });
}

/// Finds problems that POCO's INI parser does not report: duplicate sections and keys, unknown
/// empty sections, and malformed lines. POCO compares names case-insensitively.
class line_checker {
public:
    problems run(const std::string& text)
    {
        std::istringstream lines(text);
        std::string line;
        while (std::getline(lines, line))
            checkLine(Poco::trim(line));
        return std::move(m_found);
    }

private:
    void checkLine(const std::string& line)
    {
        if (line.empty() || line.front() == ';')
            return;
        if (line.front() == '[')
            checkSection(line);
        else
            checkKey(line);
    }

    void checkSection(const std::string& line)
    {
        const auto end = line.find(']');
        m_section = Poco::trim(line.substr(1, end == std::string::npos ? end : end - 1));
        if (end != line.size() - 1)
            m_found.push_back({ m_section, "", "the section's line does not end with ']'" });
        if (!isKnownSection(m_section))
            m_found.push_back({ m_section, "", "unknown section" });
        if (!m_sections.insert(Poco::toLower(m_section)).second)
            m_found.push_back({ m_section, "", "duplicate section" });
    }

    void checkKey(const std::string& line)
    {
        const auto equals = line.find('=');
        const auto key = Poco::trim(line.substr(0, equals));
        const bool known = isKnownKey(m_section, key);
        // A line without a known key may contain a mistyped secret, so it is not shown.
        if (equals == std::string::npos && !known) {
            m_found.push_back({ m_section, "", "a line is not of the form key = value" });
            return;
        }
        if (!known && isKnownSection(m_section))
            m_found.push_back({ m_section, key, "unknown key" });
        if (!known && m_section.empty())
            m_found.push_back({ m_section, key, "key outside of any section" });
        if (!m_keys.insert(Poco::toLower(m_section + "." + key)).second)
            m_found.push_back({ m_section, key, "duplicate key" });
    }

    problems m_found;
    std::string m_section;
    std::set<std::string> m_sections;
    std::set<std::string> m_keys;
};

void readKey(const ini& file, const detail::key_rule& rule, settings& out, problems& found)
{
    const auto& description = rule.description;
    const auto fullKey = description.section + "." + description.key;
    if (!file.hasProperty(fullKey)) {
        if (description.required)
            found.push_back({ description.section, description.key, "missing" });
        return;
    }
    if (const auto reason = rule.read(out, file.getRawString(fullKey)))
        found.push_back({ description.section, description.key, *reason });
}

void require(problems& found, bool condition, const problem& violation)
{
    if (!condition)
        found.push_back(violation);
}

void findContradictions(const settings& all, problems& found)
{
    const auto& times = all.ownership;
    require(found, times.renewMs * 3 <= times.targetLeaseMs,
        { "ownership", "renew_ms", "must be at most a third of target_lease_ms" });
    require(found, times.authorityRenewMs * 2 <= times.authorityMs,
        { "ownership", "authority_renew_ms", "must be at most half of authority_ms" });
    require(found, times.authorityMs < times.targetLeaseMs,
        { "ownership", "authority_ms", "must be less than target_lease_ms" });
    require(found, times.authorityMs < times.outageLimitMs,
        { "ownership", "outage_limit_ms", "must be more than authority_ms" });
    // With the platform interface, operators do not call hosts directly, so no token is needed.
    const bool needsToken = all.store.interface == store_interface::Own;
    const bool tokenFaulty = std::any_of(found.begin(), found.end(),
        [](const problem& each) { return each.section == "admin" && each.key == "token"; });
    if (needsToken && all.admin.token.empty() && !tokenFaulty)
        found.push_back({ "admin", "token", "missing" });
    if (all.log.sink == log_sink::File && all.log.file.empty())
        found.push_back({ "log", "file", "missing; required by sink = file" });
    if (all.log.sink == log_sink::Console && !all.log.file.empty())
        found.push_back({ "log", "file", "contradicts sink = console" });
}

constexpr std::string_view anyAddress = "0.0.0.0";

bool overlap(const endpoint& one, const endpoint& other)
{
    const bool sameIp = one.ip == other.ip || one.ip == anyAddress || other.ip == anyAddress;
    return one.port != 0 && one.port == other.port && sameIp;
}

void findAddressConflicts(const host_settings& host, problems& found)
{
    if (overlap(host.peers, host.callers))
        found.push_back({ "host", "peers", "is the same address as callers" });
    if (overlap(host.admin, host.callers) || overlap(host.admin, host.peers))
        found.push_back({ "host", "admin", "is the same address as callers or peers" });
    if (host.advertise.ip == anyAddress)
        found.push_back(
            { "host", "advertise", "must name one address, since peers listens on all" });
}

} // namespace

std::string problem::text() const
{
    const auto location = "[" + section + "]" + (key.empty() ? "" : " " + key);
    return location + ": " + reason;
}

check_result check(const std::string& text)
{
    auto found = line_checker().run(text);
    std::istringstream stream(text);
    const Poco::AutoPtr<ini> file(new ini(stream));
    settings values;
    for (const auto& rule : detail::keyRules())
        readKey(*file, rule, values, found);
    if (!file->hasProperty("host.advertise"))
        values.host.advertise = values.host.peers;
    findAddressConflicts(values.host, found);
    findContradictions(values, found);
    if (!found.empty())
        return found;
    return values;
}

result<settings> parse(const std::string& text)
{
    auto outcome = check(text);
    if (auto* values = std::get_if<settings>(&outcome))
        return std::move(*values);
    std::string reasons;
    for (const auto& each : std::get<problems>(outcome))
        reasons += (reasons.empty() ? "" : "\n") + each.text();
    return error { "check settings", "", reasons };
}

result<settings> load(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    if (!file || !(text << file.rdbuf()))
        return error { "read settings", path, "the file cannot be read or is empty" };
    auto values = parse(text.str());
    if (!values)
        return error { values.error().step, path, values.error().reason };
    return values;
}

std::vector<key_description> describeKeys()
{
    std::vector<key_description> keys;
    for (const auto& rule : detail::keyRules())
        keys.push_back(rule.description);
    return keys;
}

std::string shown_value::name() const
{
    auto text = section;
    text += ".";
    return text += key;
}

std::vector<shown_value> show(const settings& values)
{
    std::vector<shown_value> all;
    for (const auto& rule : detail::keyRules()) {
        const auto& [section, key, required, secret] = rule.description;
        const auto value = rule.write(values);
        if (!value.empty())
            all.push_back({ section, key, secret ? "(set)" : value });
    }
    return all;
}

std::string describe(const settings& values)
{
    std::string text;
    std::string section;
    for (const auto& shown : show(values)) {
        if (shown.section != section)
            text += (text.empty() ? "[" : "\n[") + shown.section + "]\n";
        section = shown.section;
        text += shown.key + " = " + shown.value + "\n";
    }
    return text;
}

} // namespace pimentomast::settings
