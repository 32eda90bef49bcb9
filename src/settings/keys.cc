#include "keys.h"

#include <Poco/Exception.h>
#include <Poco/Net/IPAddress.h>
#include <Poco/NumberParser.h>
#include <Poco/String.h>
#include <Poco/StringTokenizer.h>
#include <algorithm>

namespace pimentomast::settings::detail {
namespace {

struct range {
    std::uint64_t lowest;
    std::uint64_t highest;
};

template <class Section, class Value>
class member {
public:
    member(Section settings::*section, Value Section::*value)
        : m_section(section)
        , m_value(value)
    {
    }

    Value& of(settings& all) const { return all.*m_section.*m_value; }
    const Value& of(const settings& all) const { return all.*m_section.*m_value; }

private:
    Section settings::*m_section;
    Value Section::*m_value;
};

std::optional<std::string> readNumber(
    const std::string& text, const range& allowed, std::uint64_t& out)
{
    const bool digits = !text.empty() && std::all_of(text.begin(), text.end(), [](char letter) {
        return letter >= '0' && letter <= '9';
    });
    Poco::UInt64 number = 0;
    if (!digits || !Poco::NumberParser::tryParseUnsigned64(text, number))
        return "is not a whole number";
    if (number < allowed.lowest || number > allowed.highest)
        return "is out of range " + std::to_string(allowed.lowest) + ".."
            + std::to_string(allowed.highest);
    out = number;
    return std::nullopt;
}

std::optional<std::string> readEndpoint(const std::string& text, endpoint& out)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos)
        return "is not ip:port";
    const auto ip = text.substr(0, colon);
    Poco::Net::IPAddress address;
    const bool valid = Poco::Net::IPAddress::tryParse(ip, address)
        && address.family() == Poco::Net::IPAddress::IPv4 && address.toString() == ip;
    if (!valid)
        return "is not ip:port with an IPv4 number";
    std::uint64_t port = 0;
    if (const auto fault = readNumber(text.substr(colon + 1), { 1, 65535 }, port))
        return "has a port that " + *fault;
    out = endpoint { ip, static_cast<std::uint16_t>(port) };
    return std::nullopt;
}

bool isName(const std::string& text)
{
    return !text.empty() && text.size() <= 64
        && std::all_of(text.begin(), text.end(), [](unsigned char letter) {
               return std::isalnum(letter) || letter == '-' || letter == '_' || letter == '.';
           });
}

template <class Section, class Id>
key_rule name(std::string section, std::string key, member<Section, Id> place)
{
    return { { std::move(section), std::move(key), true, false },
        [place](settings& all, const std::string& text) -> std::optional<std::string> {
            if (!isName(text))
                return "must be 1 to 64 letters, digits, '-', '_' or '.'";
            place.of(all) = Id { text };
            return std::nullopt;
        },
        [place](const settings& all) { return place.of(all).value(); } };
}

template <class Section>
key_rule address(
    std::string section, std::string key, bool required, member<Section, endpoint> place)
{
    return { { std::move(section), std::move(key), required, false },
        [place](
            settings& all, const std::string& text) { return readEndpoint(text, place.of(all)); },
        [place](const settings& all) { return place.of(all).text(); } };
}

template <class Section>
key_rule count(std::string section, std::string key, range allowed, member<Section, unsigned> place)
{
    return { { std::move(section), std::move(key), false, false },
        [place, allowed](settings& all, const std::string& text) {
            std::uint64_t number = place.of(all);
            auto fault = readNumber(text, allowed, number);
            place.of(all) = static_cast<unsigned>(number);
            return fault;
        },
        [place](const settings& all) { return std::to_string(place.of(all)); } };
}

template <class Section>
key_rule time(
    std::string section, std::string key, range allowed, member<Section, milliseconds> place)
{
    return { { std::move(section), std::move(key), false, false },
        [place, allowed](settings& all, const std::string& text) {
            auto number = static_cast<std::uint64_t>(place.of(all).count());
            auto fault = readNumber(text, allowed, number);
            place.of(all) = milliseconds(number);
            return fault;
        },
        [place](const settings& all) { return std::to_string(place.of(all).count()); } };
}

template <class Value>
struct choice {
    std::string name;
    Value value;
};

template <class Section, class Value>
key_rule oneOf(std::string section, std::string key, std::vector<choice<Value>> choices,
    member<Section, Value> place)
{
    return { { std::move(section), std::move(key), false, false },
        [place, choices](settings& all, const std::string& text) -> std::optional<std::string> {
            std::string names;
            for (const auto& each : choices) {
                if (each.name == text) {
                    place.of(all) = each.value;
                    return std::nullopt;
                }
                names += (names.empty() ? "" : ", ") + each.name;
            }
            return "must be one of " + names;
        },
        [place, choices](const settings& all) {
            const auto found = std::find_if(choices.begin(), choices.end(),
                [&](const auto& each) { return each.value == place.of(all); });
            return found->name;
        } };
}

std::optional<std::string> readSeeds(settings& all, const std::string& text)
{
    std::vector<endpoint> seeds;
    const Poco::StringTokenizer parts(text, ",", Poco::StringTokenizer::TOK_TRIM);
    for (const auto& part : parts) {
        endpoint seed;
        if (auto fault = readEndpoint(part, seed))
            return fault;
        seeds.push_back(seed);
    }
    all.host.seeds = std::move(seeds);
    return std::nullopt;
}

std::string showSeeds(const settings& all)
{
    std::string text;
    for (const auto& seed : all.host.seeds)
        text += (text.empty() ? "" : ", ") + seed.text();
    return text;
}

key_rule seedsRule() { return { { "host", "seeds", false, false }, &readSeeds, &showSeeds }; }

key_rule tokenRule()
{
    return { { "admin", "token", false, true },
        [](settings& all, const std::string& text) -> std::optional<std::string> {
            const bool visible
                = std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c <= '~'; });
            if (text.size() < 16 || text.size() > 256 || !visible)
                return "must be 16 to 256 visible ASCII characters";
            all.admin.token = text;
            return std::nullopt;
        },
        [](const settings& all) { return all.admin.token; } };
}

key_rule logFileRule()
{
    return { { "log", "file", false, false },
        [](settings& all, const std::string& text) -> std::optional<std::string> {
            if (text.empty())
                return "is empty";
            all.log.file = text;
            return std::nullopt;
        },
        [](const settings& all) { return all.log.file; } };
}

using levels = std::vector<choice<log_level>>;
using sinks = std::vector<choice<log_sink>>;
using interfaces = std::vector<choice<store_interface>>;
using switches = std::vector<choice<bool>>;
using formats = std::vector<choice<log_format>>;

std::vector<key_rule> makeRules()
{
    using s = settings;
    return {
        name("host", "id", member { &s::host, &host_settings::id }),
        name("host", "domain", member { &s::host, &host_settings::domain }),
        address("host", "callers", true, member { &s::host, &host_settings::callers }),
        address("host", "peers", true, member { &s::host, &host_settings::peers }),
        address("host", "admin", true, member { &s::host, &host_settings::admin }),
        address("host", "advertise", false, member { &s::host, &host_settings::advertise }),
        seedsRule(),
        address("store", "address", true, member { &s::store, &store_settings::address }),
        oneOf("store", "interface",
            interfaces {
                { "own", store_interface::Own }, { "platform", store_interface::Platform } },
            member { &s::store, &store_settings::interface }),
        time(
            "store", "timeout_ms", { 10, 60000 }, member { &s::store, &store_settings::timeoutMs }),
        time("store", "poll_ms", { 500, 60000 }, member { &s::store, &store_settings::pollMs }),
        tokenRule(),
        count("limits", "workers", { 1, 1024 }, member { &s::limits, &limit_settings::workers }),
        count("limits", "connections", { 1, 1000000 },
            member { &s::limits, &limit_settings::connections }),
        count("limits", "head_bytes", { 1024, 1048576 },
            member { &s::limits, &limit_settings::headBytes }),
        time("limits", "head_timeout_ms", { 10, 600000 },
            member { &s::limits, &limit_settings::headTimeoutMs }),
        time("limits", "body_timeout_ms", { 10, 600000 },
            member { &s::limits, &limit_settings::bodyTimeoutMs }),
        time("limits", "idle_timeout_ms", { 10, 3600000 },
            member { &s::limits, &limit_settings::idleTimeoutMs }),
        time("limits", "connect_timeout_ms", { 10, 60000 },
            member { &s::limits, &limit_settings::connectTimeoutMs }),
        time("limits", "pooled_idle_ms", { 10, 3600000 },
            member { &s::limits, &limit_settings::pooledIdleMs }),
        count("retries", "percent", { 0, 1000 }, member { &s::retries, &retry_settings::percent }),
        count("retries", "burst", { 0, 1000 }, member { &s::retries, &retry_settings::burst }),
        oneOf("retries", "wait", switches { { "yes", true }, { "no", false } },
            member { &s::retries, &retry_settings::wait }),
        oneOf("retries", "count_shed", switches { { "yes", true }, { "no", false } },
            member { &s::retries, &retry_settings::countShed }),
        oneOf("targets", "report_load", switches { { "yes", true }, { "no", false } },
            member { &s::targets, &target_settings::reportLoad }),
        time("targets", "leaving_grace_ms", { 0, 86400000 },
            member { &s::targets, &target_settings::leavingGraceMs }),
        time("probes", "background_ms", { 100, 86400000 },
            member { &s::probes, &probe_settings::backgroundMs }),
        time("ownership", "target_lease_ms", { 100, 60000 },
            member { &s::ownership, &ownership_settings::targetLeaseMs }),
        time("ownership", "renew_ms", { 10, 30000 },
            member { &s::ownership, &ownership_settings::renewMs }),
        time("ownership", "authority_ms", { 100, 60000 },
            member { &s::ownership, &ownership_settings::authorityMs }),
        time("ownership", "authority_renew_ms", { 10, 30000 },
            member { &s::ownership, &ownership_settings::authorityRenewMs }),
        time("ownership", "route_lease_ms", { 100, 60000 },
            member { &s::ownership, &ownership_settings::routeLeaseMs }),
        time("ownership", "poll_ms", { 10, 60000 },
            member { &s::ownership, &ownership_settings::pollMs }),
        time("ownership", "outage_limit_ms", { 1000, 86400000 },
            member { &s::ownership, &ownership_settings::outageLimitMs }),
        time("placement", "interval_ms", { 50, 60000 },
            member { &s::placement, &placement_settings::intervalMs }),
        count("placement", "moves_per_round", { 1, 1000 },
            member { &s::placement, &placement_settings::movesPerRound }),
        time("placement", "minimum_stay_ms", { 0, 3600000 },
            member { &s::placement, &placement_settings::minimumStayMs }),
        count("placement", "tolerance_percent", { 0, 1000 },
            member { &s::placement, &placement_settings::tolerancePercent }),
        time("placement", "report_ms", { 50, 10000 },
            member { &s::placement, &placement_settings::reportMs }),
        oneOf("log", "level",
            levels { { "debug", log_level::Debug }, { "info", log_level::Info },
                { "warning", log_level::Warning }, { "error", log_level::Error } },
            member { &s::log, &log_settings::level }),
        oneOf("log", "sink", sinks { { "console", log_sink::Console }, { "file", log_sink::File } },
            member { &s::log, &log_settings::sink }),
        logFileRule(),
        oneOf("log", "format",
            formats { { "text", log_format::Text }, { "json", log_format::Json } },
            member { &s::log, &log_settings::format }),
        count(
            "log", "request_lines", { 0, 100000 }, member { &s::log, &log_settings::requestLines }),
        time("drain", "accept_ms", { 0, 600000 }, member { &s::drain, &drain_settings::acceptMs }),
        time("drain", "idle_ms", { 0, 600000 }, member { &s::drain, &drain_settings::idleMs }),
    };
}

} // namespace

const std::vector<key_rule>& keyRules()
{
    static const std::vector<key_rule> rules = makeRules();
    return rules;
}

} // namespace pimentomast::settings::detail
