#include "keys.h"

#include <Poco/Exception.h>
#include <Poco/Net/IPAddress.h>
#include <Poco/NumberFormatter.h>
#include <Poco/NumberParser.h>
#include <Poco/String.h>
#include <Poco/StringTokenizer.h>
#include <algorithm>
#include <cmath>

namespace pimentomast::settings::detail {
namespace {

constexpr unsigned maxMillicores = 1'000'000;

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

    Value& get(settings& all) const { return all.*m_section.*m_value; }
    const Value& get(const settings& all) const { return all.*m_section.*m_value; }

private:
    Section settings::*m_section;
    Value Section::*m_value;
};

std::optional<std::string> readNumber(
    const std::string& text, const range& allowed, std::uint64_t& out)
{
    const bool digits = !text.empty() && std::all_of(text.begin(), text.end(), [](char character) {
        return character >= '0' && character <= '9';
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
    auto parsed = parseEndpoint(text);
    if (!parsed)
        return parsed.error().reason;
    out = std::move(parsed).value();
    return std::nullopt;
}

bool isValidName(const std::string& text)
{
    return !text.empty() && text.size() <= 64
        && std::all_of(text.begin(), text.end(), [](unsigned char character) {
               return std::isalnum(character) || character == '-' || character == '_'
                   || character == '.';
           });
}

template <class Section, class Id>
key_rule nameRule(std::string section, std::string key, member<Section, Id> field)
{
    return { { std::move(section), std::move(key), true, false },
        [field](settings& all, const std::string& text) -> std::optional<std::string> {
            if (!isValidName(text))
                return "must be 1 to 64 letters, digits, '-', '_' or '.'";
            field.get(all) = Id { text };
            return std::nullopt;
        },
        [field](const settings& all) { return field.get(all).value(); } };
}

template <class Section>
key_rule addressRule(
    std::string section, std::string key, bool required, member<Section, endpoint> field)
{
    return { { std::move(section), std::move(key), required, false },
        [field](
            settings& all, const std::string& text) { return readEndpoint(text, field.get(all)); },
        [field](const settings& all) { return field.get(all).text(); } };
}

template <class Section>
key_rule countRule(
    std::string section, std::string key, range allowed, member<Section, unsigned> field)
{
    return { { std::move(section), std::move(key), false, false },
        [field, allowed](settings& all, const std::string& text) {
            std::uint64_t number = field.get(all);
            auto reason = readNumber(text, allowed, number);
            field.get(all) = static_cast<unsigned>(number);
            return reason;
        },
        [field](const settings& all) { return std::to_string(field.get(all)); } };
}

template <class Section>
key_rule timeRule(
    std::string section, std::string key, range allowed, member<Section, milliseconds> field)
{
    return { { std::move(section), std::move(key), false, false },
        [field, allowed](settings& all, const std::string& text) {
            auto number = static_cast<std::uint64_t>(field.get(all).count());
            auto reason = readNumber(text, allowed, number);
            field.get(all) = milliseconds(number);
            return reason;
        },
        [field](const settings& all) { return std::to_string(field.get(all).count()); } };
}

template <class Value>
struct choice {
    std::string name;
    Value value;
};

template <class Section, class Value>
key_rule choiceRule(std::string section, std::string key, std::vector<choice<Value>> choices,
    member<Section, Value> field)
{
    return { { std::move(section), std::move(key), false, false },
        [field, choices](settings& all, const std::string& text) -> std::optional<std::string> {
            std::string names;
            for (const auto& each : choices) {
                if (each.name == text) {
                    field.get(all) = each.value;
                    return std::nullopt;
                }
                names += (names.empty() ? "" : ", ") + each.name;
            }
            return "must be one of " + names;
        },
        [field, choices](const settings& all) {
            const auto found = std::find_if(choices.begin(), choices.end(),
                [&](const auto& each) { return each.value == field.get(all); });
            return found->name;
        } };
}

std::optional<std::string> readSeeds(settings& all, const std::string& text)
{
    std::vector<endpoint> seeds;
    const Poco::StringTokenizer parts(text, ",", Poco::StringTokenizer::TOK_TRIM);
    for (const auto& part : parts) {
        endpoint seed;
        if (auto reason = readEndpoint(part, seed))
            return reason;
        seeds.push_back(seed);
    }
    all.host.seeds = std::move(seeds);
    return std::nullopt;
}

std::string formatSeeds(const settings& all)
{
    std::string text;
    for (const auto& seed : all.host.seeds)
        text += (text.empty() ? "" : ", ") + seed.text();
    return text;
}

key_rule seedsRule() { return { { "host", "seeds", false, false }, &readSeeds, &formatSeeds }; }

std::optional<std::string> readProcessors(settings& all, const std::string& text)
{
    double cores = 0;
    if (!Poco::NumberParser::tryParseFloat(text, cores) || !std::isfinite(cores))
        return "is not a number of cores";
    const double millicores = std::round(cores * 1000);
    if (millicores < 1 || millicores > maxMillicores)
        return "is out of range 0.001.." + std::to_string(maxMillicores / 1000);
    all.host.millicores = static_cast<unsigned>(millicores);
    return std::nullopt;
}

std::string formatProcessors(const settings& all)
{
    return Poco::NumberFormatter::format(all.host.millicores / 1000.0, 3);
}

key_rule processorsRule()
{
    return { { "host", "processors", false, false }, &readProcessors, &formatProcessors };
}

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

key_rule termsRule()
{
    return { { "store", "terms", false, false },
        [](settings& all, const std::string& text) -> std::optional<std::string> {
            all.store.terms = text;
            return std::nullopt;
        },
        [](const settings& all) { return all.store.terms; } };
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
using yes_no_choices = std::vector<choice<bool>>;
using formats = std::vector<choice<log_format>>;

std::vector<key_rule> makeRules()
{
    using s = settings;
    return {
        nameRule("host", "id", member { &s::host, &host_settings::id }),
        nameRule("host", "domain", member { &s::host, &host_settings::domain }),
        addressRule("host", "callers", true, member { &s::host, &host_settings::callers }),
        addressRule("host", "peers", true, member { &s::host, &host_settings::peers }),
        addressRule("host", "admin", true, member { &s::host, &host_settings::admin }),
        addressRule("host", "advertise", false, member { &s::host, &host_settings::advertise }),
        seedsRule(),
        processorsRule(),
        addressRule("store", "address", true, member { &s::store, &store_settings::address }),
        choiceRule("store", "interface",
            interfaces {
                { "own", store_interface::Own }, { "platform", store_interface::Platform } },
            member { &s::store, &store_settings::interface }),
        timeRule(
            "store", "timeout_ms", { 10, 60000 }, member { &s::store, &store_settings::timeoutMs }),
        timeRule("store", "poll_ms", { 500, 60000 }, member { &s::store, &store_settings::pollMs }),
        termsRule(),
        choiceRule("store", "relay", yes_no_choices { { "yes", true }, { "no", false } },
            member { &s::store, &store_settings::relay }),
        tokenRule(),
        countRule(
            "limits", "workers", { 1, 1024 }, member { &s::limits, &limit_settings::workers }),
        countRule("limits", "connections", { 1, 1000000 },
            member { &s::limits, &limit_settings::connections }),
        countRule("limits", "descriptors", { 0, 1000000 },
            member { &s::limits, &limit_settings::descriptors }),
        countRule("limits", "upload_prefetch_bytes", { 4096, 16777216 },
            member { &s::limits, &limit_settings::uploadPrefetchBytes }),
        countRule("limits", "body_memory_bytes", { 0, 2147483648 },
            member { &s::limits, &limit_settings::bodyMemoryBytes }),
        countRule("limits", "memory_mb", { 0, 1048576 },
            member { &s::limits, &limit_settings::memoryMb }),
        choiceRule("limits", "detect_memory", yes_no_choices { { "yes", true }, { "no", false } },
            member { &s::limits, &limit_settings::detectMemory }),
        countRule("limits", "head_bytes", { 1024, 1048576 },
            member { &s::limits, &limit_settings::headBytes }),
        timeRule("limits", "head_timeout_ms", { 10, 600000 },
            member { &s::limits, &limit_settings::headTimeoutMs }),
        timeRule("limits", "body_timeout_ms", { 10, 600000 },
            member { &s::limits, &limit_settings::bodyTimeoutMs }),
        timeRule("limits", "idle_timeout_ms", { 10, 3600000 },
            member { &s::limits, &limit_settings::idleTimeoutMs }),
        timeRule("limits", "connect_timeout_ms", { 10, 60000 },
            member { &s::limits, &limit_settings::connectTimeoutMs }),
        timeRule("limits", "pooled_idle_ms", { 10, 3600000 },
            member { &s::limits, &limit_settings::pooledIdleMs }),
        countRule(
            "retries", "percent", { 0, 1000 }, member { &s::retries, &retry_settings::percent }),
        countRule("retries", "burst", { 0, 1000 }, member { &s::retries, &retry_settings::burst }),
        choiceRule("retries", "wait", yes_no_choices { { "yes", true }, { "no", false } },
            member { &s::retries, &retry_settings::wait }),
        choiceRule("retries", "count_shed", yes_no_choices { { "yes", true }, { "no", false } },
            member { &s::retries, &retry_settings::countShed }),
        choiceRule("targets", "report_load", yes_no_choices { { "yes", true }, { "no", false } },
            member { &s::targets, &target_settings::reportLoad }),
        choiceRule("targets", "share_speed", yes_no_choices { { "yes", true }, { "no", false } },
            member { &s::targets, &target_settings::shareSpeed }),
        timeRule("targets", "leaving_grace_ms", { 0, 86400000 },
            member { &s::targets, &target_settings::leavingGraceMs }),
        timeRule("probes", "background_ms", { 100, 86400000 },
            member { &s::probes, &probe_settings::backgroundMs }),
        timeRule("ownership", "target_lease_ms", { 100, 60000 },
            member { &s::ownership, &ownership_settings::targetLeaseMs }),
        timeRule("ownership", "renew_ms", { 10, 30000 },
            member { &s::ownership, &ownership_settings::renewMs }),
        timeRule("ownership", "authority_ms", { 100, 60000 },
            member { &s::ownership, &ownership_settings::authorityMs }),
        timeRule("ownership", "authority_renew_ms", { 10, 30000 },
            member { &s::ownership, &ownership_settings::authorityRenewMs }),
        timeRule("ownership", "route_lease_ms", { 100, 60000 },
            member { &s::ownership, &ownership_settings::routeLeaseMs }),
        timeRule("ownership", "poll_ms", { 10, 60000 },
            member { &s::ownership, &ownership_settings::pollMs }),
        timeRule("ownership", "outage_limit_ms", { 1000, 86400000 },
            member { &s::ownership, &ownership_settings::outageLimitMs }),
        timeRule("placement", "interval_ms", { 50, 60000 },
            member { &s::placement, &placement_settings::intervalMs }),
        countRule("placement", "moves_per_round", { 1, 1000 },
            member { &s::placement, &placement_settings::movesPerRound }),
        timeRule("placement", "minimum_stay_ms", { 0, 3600000 },
            member { &s::placement, &placement_settings::minimumStayMs }),
        timeRule("placement", "slow_start_ms", { 0, 3600000 },
            member { &s::placement, &placement_settings::slowStartMs }),
        countRule("placement", "tolerance_percent", { 0, 1000 },
            member { &s::placement, &placement_settings::tolerancePercent }),
        timeRule("placement", "report_ms", { 50, 10000 },
            member { &s::placement, &placement_settings::reportMs }),
        choiceRule("log", "level",
            levels { { "debug", log_level::Debug }, { "info", log_level::Info },
                { "warning", log_level::Warning }, { "error", log_level::Error } },
            member { &s::log, &log_settings::level }),
        choiceRule("log", "sink",
            sinks { { "console", log_sink::Console }, { "file", log_sink::File } },
            member { &s::log, &log_settings::sink }),
        logFileRule(),
        choiceRule("log", "format",
            formats { { "text", log_format::Text }, { "json", log_format::Json } },
            member { &s::log, &log_settings::format }),
        countRule(
            "log", "request_lines", { 0, 100000 }, member { &s::log, &log_settings::requestLines }),
        countRule("log", "lines", { 1, 100000 }, member { &s::log, &log_settings::lines }),
        countRule("log", "bytes", { 1024, 1 << 30 }, member { &s::log, &log_settings::bytes }),
        timeRule(
            "drain", "accept_ms", { 0, 600000 }, member { &s::drain, &drain_settings::acceptMs }),
        timeRule("drain", "idle_ms", { 0, 600000 }, member { &s::drain, &drain_settings::idleMs }),
        timeRule(
            "drain", "grace_ms", { 0, 600000 }, member { &s::drain, &drain_settings::graceMs }),
    };
}

} // namespace

const std::vector<key_rule>& keyRules()
{
    static const std::vector<key_rule> rules = makeRules();
    return rules;
}

} // namespace pimentomast::settings::detail

namespace pimentomast::settings {

result<endpoint> parseEndpoint(const std::string& text)
{
    const auto fault = [](const std::string& reason) {
        return error { "parse address", "", reason };
    };
    const auto colon = text.rfind(':');
    if (colon == std::string::npos)
        return fault("is not ip:port");
    const auto ip = text.substr(0, colon);
    Poco::Net::IPAddress address;
    const bool valid = Poco::Net::IPAddress::tryParse(ip, address)
        && address.family() == Poco::Net::IPAddress::IPv4 && address.toString() == ip;
    if (!valid)
        return fault("is not ip:port with an IPv4 address");
    std::uint64_t port = 0;
    if (const auto reason = detail::readNumber(text.substr(colon + 1), { 1, 65535 }, port))
        return fault("has a port that " + *reason);
    return endpoint { ip, static_cast<std::uint16_t>(port) };
}

} // namespace pimentomast::settings
