#include "history.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <sstream>

namespace pimentomast::table {
namespace {

using detail::stored_version;
using object_pointer = Poco::JSON::Object::Ptr;

constexpr unsigned maxAttempts = 4;

/// The decoded value of a `config` row.
struct config_value {
    std::string editor;
    std::string csv;
    std::string at;
    config_version previous;
};

object_pointer parseObject(const std::string& text)
{
    return Poco::JSON::Parser().parse(text).extract<object_pointer>();
}

std::string text(const Poco::JSON::Object& object)
{
    std::ostringstream out;
    object.stringify(out);
    return out.str();
}

result<config_value> decodeValue(const std::string& value)
{
    try {
        const auto object = parseObject(value);
        return config_value {
            object->getValue<std::string>("editor"),
            object->getValue<std::string>("csv"),
            object->optValue<std::string>("at", ""),
            config_version { object->optValue<Poco::UInt64>("previous", 0) },
        };
    } catch (const Poco::Exception& caught) {
        return error { "decode table", "platform", caught.displayText() };
    }
}

std::string slotKey(config_version version)
{
    return "config-history/" + std::to_string(version.value() % historyLength);
}

result<stored_version> decodeSlot(const std::string& value)
{
    try {
        const auto object = parseObject(value);
        return stored_version { config_version { object->getValue<Poco::UInt64>("version") },
            object->getValue<std::string>("value") };
    } catch (const Poco::Exception& caught) {
        return error { "decode history", "platform", caught.displayText() };
    }
}

struct slot_state {
    row_version row;
    std::optional<stored_version> saved;
};

result<slot_state> readSlot(store::services& store, config_version version)
{
    const auto row = store.read(slotKey(version));
    if (!row)
        return row.error();
    if (!row.value())
        return slot_state {};
    const auto saved = decodeSlot(row.value()->value);
    if (!saved)
        return saved.error();
    return slot_state { row.value()->version, saved.value() };
}

std::string encodeSlot(const stored_version& saved)
{
    Poco::JSON::Object object;
    object.set("version", saved.version.value());
    object.set("value", saved.value);
    return text(object);
}

result<table> parseValue(const config_value& value, config_version version)
{
    auto rows = parse(value.csv);
    if (!rows)
        return rows.error();
    rows.value().version = version;
    rows.value().editor = value.editor;
    return rows;
}

/// Reads the current version; version 0 if there is none.
result<stored_version> readNewest(store::services& store)
{
    const auto row = store.read(std::string(configRow));
    if (!row)
        return row.error();
    if (!row.value())
        return stored_version {};
    return stored_version { config_version { row.value()->version.value() }, row.value()->value };
}

/// Reads history entries from the newest version to the oldest.
class history_reader {
public:
    history_reader(store::services& store, stored_version newest)
        : m_store(store)
        , m_next(std::move(newest))
    {
    }

    [[nodiscard]] bool atEnd() const { return m_next.version == config_version {}; }

    result<history_entry> readNext()
    {
        const auto current = m_next;
        const auto value = decodeValue(current.value);
        const auto after = decode(current.version, current.value);
        if (!after)
            return corruptEntry(current);
        auto before = readPrevious(value.value());
        if (!before)
            return before.error();
        history_entry entry { current.version, value.value().editor, value.value().at, {}, false };
        entry.oldest = !before.value();
        if (before.value())
            entry.changes = difference(*before.value(), after.value());
        return entry;
    }

private:
    result<history_entry> corruptEntry(const stored_version& current)
    {
        const auto before = detail::newestReadableBefore(m_store, current.version);
        if (!before)
            return before.error();
        m_next = before.value() ? before.value()->stored : stored_version {};
        return history_entry { current.version, "", "", {}, !before.value(), current.value };
    }

    /// Advances to the previous version and returns the table to compare with; an empty optional if
    /// no earlier version can be parsed.
    result<std::optional<table>> readPrevious(const config_value& value)
    {
        m_next = {};
        if (value.previous.value() == 0)
            return std::optional<table> { table {} };
        const auto saved = detail::readVersion(m_store, value.previous);
        if (!saved)
            return saved.error();
        if (!saved.value())
            return std::optional<table> {};
        m_next = *saved.value();
        if (const auto rows = decode(m_next.version, m_next.value))
            return std::optional<table> { rows.value() };
        const auto readable = detail::newestReadableBefore(m_store, m_next.version);
        if (!readable)
            return readable.error();
        if (!readable.value())
            return std::optional<table> {};
        return std::optional<table> { readable.value()->rows };
    }

    store::services& m_store;
    /// Version to read next; version 0 at the end.
    stored_version m_next;
};

} // namespace

namespace detail {

std::string encode(const table& rows, config_version previous, const std::string& at)
{
    Poco::JSON::Object object;
    object.set("editor", rows.editor);
    object.set("csv", format(rows));
    object.set("at", at);
    object.set("previous", previous.value());
    return text(object);
}

result<void> saveVersion(store::services& store, const stored_version& saved)
{
    for (unsigned attempt = 0; attempt < maxAttempts; ++attempt) {
        const auto slot = readSlot(store, saved.version);
        if (!slot)
            return slot.error();
        const auto& state = slot.value();
        if (state.saved && state.saved->version >= saved.version)
            return boost::outcome_v2::success();
        const auto outcome = store::writeSettled(
            store, slotKey(saved.version), state.row, encodeSlot(saved), store::newWriteId());
        if (std::holds_alternative<store::write_accepted>(outcome))
            return boost::outcome_v2::success();
        if (const auto* refused = std::get_if<store::write_refused>(&outcome))
            return refused->cause;
    }
    return error { "write history", "platform",
        "gave up after repeated conflicting or unconfirmed writes" };
}

result<std::optional<stored_version>> readVersion(store::services& store, config_version version)
{
    const auto slot = readSlot(store, version);
    if (!slot)
        return slot.error();
    const auto& saved = slot.value().saved;
    if (!saved || saved->version != version)
        return std::optional<stored_version> {};
    return saved;
}

result<std::optional<readable_version>> newestReadableBefore(
    store::services& store, config_version version)
{
    auto number = version.value();
    for (unsigned step = 0; step < historyLength && number > 1; ++step) {
        const auto saved = readVersion(store, config_version { --number });
        if (!saved)
            return saved.error();
        if (!saved.value())
            continue;
        if (const auto rows = decode(saved.value()->version, saved.value()->value))
            return std::optional { readable_version { *saved.value(), rows.value() } };
    }
    return std::optional<readable_version> {};
}

result<std::vector<history_entry>> entriesBetween(
    store::services& store, config_version base, config_version last)
{
    auto entries = history(store, historyLength);
    if (!entries)
        return entries.error();
    std::erase_if(entries.value(),
        [&](const auto& entry) { return entry.version <= base || entry.version > last; });
    return entries;
}

} // namespace detail

result<table> decode(config_version version, const std::string& value)
{
    const auto decoded = decodeValue(value);
    if (!decoded)
        return decoded.error();
    return parseValue(decoded.value(), version);
}

result<std::vector<history_entry>> history(store::services& store, unsigned limit)
{
    const auto newest = readNewest(store);
    if (!newest)
        return newest.error();
    std::vector<history_entry> entries;
    if (newest.value().version.value() == 0)
        return entries;
    history_reader reader(store, newest.value());
    while (!reader.atEnd() && entries.size() < limit) {
        auto entry = reader.readNext();
        if (!entry)
            return entry.error();
        entries.push_back(std::move(entry.value()));
    }
    return entries;
}

} // namespace pimentomast::table
