#include "json.h"

#include <Poco/StringTokenizer.h>
#include <algorithm>
#include <limits>
#include <map>

namespace pimentomast::ownership {

namespace {
constexpr std::uint64_t highestHash = std::numeric_limits<std::uint64_t>::max();

error invalid(const assignment& value, const std::string& reason)
{
    return { "check assignment", value.service.value(), reason };
}

constexpr std::size_t hashDigits = detail::hashDigits;

/// Returns the hash's hexadecimal digits without trailing zeros, of which first hashes have many.
std::string shortHex(std::uint64_t value)
{
    auto digits = detail::hexText(value);
    digits.erase(digits.find_last_not_of('0') + 1);
    return digits;
}

std::uint64_t fromShortHex(std::string digits)
{
    if (digits.size() > hashDigits)
        throw Poco::SyntaxException("hash is too long: " + digits);
    digits.resize(hashDigits, '0');
    return detail::hexNumber(digits);
}

/// Numbers the targets that own slices or are their standbys.
class owner_list {
public:
    std::size_t number(const target_id& owner)
    {
        const auto known = m_numbers.try_emplace(owner, m_numbers.size());
        if (known.second)
            m_names.add(owner.value());
        return known.first->second;
    }
    [[nodiscard]] const Poco::JSON::Array& names() const noexcept { return m_names; }

private:
    std::map<target_id, std::size_t> m_numbers;
    Poco::JSON::Array m_names;
};

/// Returns "FIRST,OWNER,EPOCH,SEQUENCE" or "FIRST,OWNER,EPOCH,SEQUENCE,STANDBY", with the numbers
/// of the targets. A slice ends where the next one begins.
std::string toText(const owned_slice& value, owner_list& owners)
{
    auto text = shortHex(value.range.first.value()) + ','
        + std::to_string(owners.number(value.owner)) + ','
        + std::to_string(value.grant.coordinator.value()) + ','
        + std::to_string(value.grant.assignment.value());
    if (value.standby)
        text += ',' + std::to_string(owners.number(*value.standby));
    return text;
}

target_id ownerAt(const Poco::JSON::Array& owners, const std::string& number)
{
    return target_id { owners.getElement<std::string>(Poco::NumberParser::parseUnsigned(number)) };
}

/// Throws a Poco exception if the text is malformed.
owned_slice readSlice(const std::string& text, const Poco::JSON::Array& owners)
{
    const Poco::StringTokenizer fields(text, ",");
    if (fields.count() != 4 && fields.count() != 5)
        throw Poco::SyntaxException("slice is malformed: " + text);
    owned_slice value;
    value.range.first = key_hash { fromShortHex(fields[0]) };
    value.owner = ownerAt(owners, fields[1]);
    value.grant.coordinator = epoch { Poco::NumberParser::parseUnsigned64(fields[2]) };
    value.grant.assignment = sequence { Poco::NumberParser::parseUnsigned64(fields[3]) };
    if (fields.count() == 5)
        value.standby = ownerAt(owners, fields[4]);
    return value;
}

std::vector<owned_slice> readSlices(const std::string& text, const Poco::JSON::Array& owners)
{
    std::vector<owned_slice> slices;
    for (const auto& each : Poco::StringTokenizer(text, ";"))
        slices.push_back(readSlice(each, owners));
    for (std::size_t i = 0; i + 1 < slices.size(); ++i)
        slices[i].range.last = key_hash { slices[i + 1].range.first.value() - 1 };
    if (!slices.empty())
        slices.back().range.last = key_hash { highestHash };
    return slices;
}

/// Reads a slice of a row as earlier versions wrote it: one object for each.
owned_slice readObject(const Poco::JSON::Object& object)
{
    owned_slice value;
    value.range.first = key_hash { detail::hexNumber(object.getValue<std::string>("first")) };
    value.range.last = key_hash { detail::hexNumber(object.getValue<std::string>("last")) };
    value.owner = target_id { object.getValue<std::string>("owner") };
    value.grant.coordinator = epoch { object.getValue<Poco::UInt64>("epoch") };
    value.grant.assignment = sequence { object.getValue<Poco::UInt64>("sequence") };
    if (object.has("standby"))
        value.standby = target_id { object.getValue<std::string>("standby") };
    return value;
}

assignment toAssignment(const Poco::JSON::Object& object)
{
    assignment value;
    value.service = service_id { object.getValue<std::string>("service") };
    value.coordinator = epoch { object.getValue<Poco::UInt64>("epoch") };
    value.number = sequence { object.getValue<Poco::UInt64>("sequence") };
    if (object.has("owners")) {
        value.slices = readSlices(
            object.getValue<std::string>("slices"), *detail::arrayOf(object, "owners"));
        return value;
    }
    for (const auto& entry : *detail::arrayOf(object, "slices"))
        value.slices.push_back(readObject(*entry.extract<Poco::JSON::Object::Ptr>()));
    return value;
}
} // namespace

const owned_slice* assignment::find(key_hash hash) const noexcept
{
    const auto after = std::upper_bound(slices.begin(), slices.end(), hash,
        [](key_hash left, const owned_slice& right) { return left < right.range.first; });
    if (after == slices.begin())
        return nullptr;
    const auto& candidate = *std::prev(after);
    return candidate.range.contains(hash) ? &candidate : nullptr;
}

result<void> check(const assignment& value)
{
    if (value.slices.empty())
        return invalid(value, "no slices");
    std::uint64_t next = 0;
    for (const auto& each : value.slices) {
        if (each.range.first.value() != next || each.range.last < each.range.first)
            return invalid(value, "gap or overlap at " + detail::hexText(next));
        if (each.owner.value().empty())
            return invalid(value, "no owner at " + detail::hexText(next));
        if (value.version() < each.grant)
            return invalid(value, "token above the version at " + detail::hexText(next));
        const bool isLast = &each == &value.slices.back();
        if (isLast != (each.range.last.value() == highestHash))
            return invalid(value, "the hash space is not covered to its end");
        next = each.range.last.value() + 1;
    }
    return boost::outcome_v2::success();
}

std::string format(const assignment& value)
{
    owner_list owners;
    std::string slices;
    for (const auto& each : value.slices)
        slices += (slices.empty() ? "" : ";") + toText(each, owners);
    Poco::JSON::Object object;
    object.set("service", value.service.value());
    object.set("epoch", value.coordinator.value());
    object.set("sequence", value.number.value());
    object.set("owners", owners.names());
    object.set("slices", slices);
    return detail::text(object);
}

result<assignment> parseAssignment(const std::string& text)
{
    auto parsed = detail::parseObject<assignment>("parse assignment", text, toAssignment);
    if (!parsed)
        return parsed;
    const auto checked = check(parsed.value());
    if (!checked)
        return checked.error();
    return parsed;
}

std::string assignmentKey(const service_id& service) { return "assignment/" + service.value(); }

} // namespace pimentomast::ownership
