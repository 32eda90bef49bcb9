#include "pimentomast/edits.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <sstream>

namespace pimentomast::table {
namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;

template <class Value>
std::string text(const Value& value)
{
    std::ostringstream out;
    value.stringify(out);
    return out.str();
}

Object ordered() { return Object(Poco::JSON_PRESERVE_KEY_ORDER); }

Object toObject(const change& shown)
{
    auto object = ordered();
    object.set("row", shown.row.text());
    object.set("column", shown.column);
    object.set("before", shown.before);
    object.set("after", shown.after);
    return object;
}

Object toObject(const other_change& shown)
{
    auto object = toObject(shown.what);
    object.set("editor", shown.editor);
    return object;
}

Object toObject(const cell_conflict& shown)
{
    auto object = ordered();
    object.set("row", shown.row.text());
    object.set("column", shown.column);
    object.set("base", shown.base);
    object.set("mine", shown.mine);
    object.set("theirs", shown.theirs);
    object.set("their_editor", shown.theirEditor);
    return object;
}

Object toObject(const error& shown)
{
    auto object = ordered();
    object.set("step", shown.step);
    object.set("peer", shown.peer);
    object.set("reason", shown.reason);
    return object;
}

Object toObject(const corrupt_version& shown)
{
    auto object = ordered();
    object.set("version", shown.version.value());
    object.set("value", shown.value);
    return object;
}

Object toObject(const history_entry& shown);

template <class Item>
Array toArray(const std::vector<Item>& items)
{
    Array array;
    for (const auto& item : items)
        array.add(toObject(item));
    return array;
}

Object toObject(const history_entry& shown)
{
    auto object = ordered();
    object.set("version", shown.version.value());
    object.set("editor", shown.editor);
    object.set("at", shown.at);
    object.set("oldest", shown.oldest);
    object.set("changes", toArray(shown.changes));
    if (shown.corrupt)
        object.set("corrupt", *shown.corrupt);
    return object;
}

Object failed(const std::string& outcome, const error& cause)
{
    auto object = ordered();
    object.set("outcome", outcome);
    object.set("error", toObject(cause));
    return object;
}

struct outcome_object {
    Object operator()(const applied& shown) const
    {
        auto object = ordered();
        object.set("outcome", "applied");
        object.set("version", shown.version.value());
        object.set("changes", toArray(shown.changes));
        object.set("merged_with", toArray(shown.mergedWith));
        if (shown.replaced)
            object.set("replaced", toObject(*shown.replaced));
        return object;
    }
    Object operator()(const conflict& shown) const
    {
        auto object = ordered();
        object.set("outcome", "conflict");
        object.set("my_editor", shown.myEditor);
        object.set("their_version", shown.theirVersion.value());
        object.set("their_editor", shown.theirEditor);
        object.set("cells", toArray(shown.cells));
        object.set("invalid", shown.invalid);
        return object;
    }
    Object operator()(const invalid& shown) const { return failed("invalid", shown.cause); }
    Object operator()(const not_applied& shown) const { return failed("not-applied", shown.cause); }
    Object operator()(const apply_unknown& shown) const { return failed("unknown", shown.cause); }
};

} // namespace

std::string toJson(const table& rows)
{
    auto object = ordered();
    object.set("version", rows.version.value());
    object.set("editor", rows.editor);
    object.set("csv", format(rows));
    return text(object);
}

std::string toJson(const std::vector<change>& changes) { return text(toArray(changes)); }

std::string toJson(const apply_outcome& outcome)
{
    return text(std::visit(outcome_object {}, outcome));
}

std::string toJson(const std::vector<history_entry>& entries) { return text(toArray(entries)); }

} // namespace pimentomast::table
