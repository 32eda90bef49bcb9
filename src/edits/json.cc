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

Object orderedObject() { return Object(Poco::JSON_PRESERVE_KEY_ORDER); }

Object toObject(const change& value)
{
    auto object = orderedObject();
    object.set("row", value.row.text());
    object.set("column", value.column);
    object.set("before", value.before);
    object.set("after", value.after);
    return object;
}

Object toObject(const other_change& value)
{
    auto object = toObject(value.what);
    object.set("editor", value.editor);
    return object;
}

Object toObject(const cell_conflict& value)
{
    auto object = orderedObject();
    object.set("row", value.row.text());
    object.set("column", value.column);
    object.set("base", value.base);
    object.set("mine", value.mine);
    object.set("theirs", value.theirs);
    object.set("their_editor", value.theirEditor);
    return object;
}

Object toObject(const error& value)
{
    auto object = orderedObject();
    object.set("step", value.step);
    object.set("peer", value.peer);
    object.set("reason", value.reason);
    return object;
}

Object toObject(const corrupt_version& value)
{
    auto object = orderedObject();
    object.set("version", value.version.value());
    object.set("value", value.value);
    return object;
}

Object toObject(const history_entry& value);

template <class Item>
Array toArray(const std::vector<Item>& items)
{
    Array array;
    for (const auto& item : items)
        array.add(toObject(item));
    return array;
}

Object toObject(const history_entry& value)
{
    auto object = orderedObject();
    object.set("version", value.version.value());
    object.set("editor", value.editor);
    object.set("at", value.at);
    object.set("oldest", value.oldest);
    object.set("changes", toArray(value.changes));
    if (value.corrupt)
        object.set("corrupt", *value.corrupt);
    return object;
}

Object errorOutcome(const std::string& outcome, const error& cause)
{
    auto object = orderedObject();
    object.set("outcome", outcome);
    object.set("error", toObject(cause));
    return object;
}

struct outcome_to_object {
    Object operator()(const applied& value) const
    {
        auto object = orderedObject();
        object.set("outcome", "applied");
        object.set("version", value.version.value());
        object.set("changes", toArray(value.changes));
        object.set("merged_with", toArray(value.mergedWith));
        if (value.replaced)
            object.set("replaced", toObject(*value.replaced));
        return object;
    }
    Object operator()(const conflict& value) const
    {
        auto object = orderedObject();
        object.set("outcome", "conflict");
        object.set("my_editor", value.myEditor);
        object.set("their_version", value.theirVersion.value());
        object.set("their_editor", value.theirEditor);
        object.set("cells", toArray(value.cells));
        object.set("invalid", value.invalid);
        return object;
    }
    Object operator()(const invalid& value) const { return errorOutcome("invalid", value.cause); }
    Object operator()(const not_applied& value) const
    {
        return errorOutcome("not-applied", value.cause);
    }
    Object operator()(const apply_unknown& value) const
    {
        return errorOutcome("unknown", value.cause);
    }
};

} // namespace

std::string toJson(const table& rows)
{
    auto object = orderedObject();
    object.set("version", rows.version.value());
    object.set("editor", rows.editor);
    object.set("csv", format(rows));
    return text(object);
}

std::string toJson(const std::vector<change>& changes) { return text(toArray(changes)); }

std::string toJson(const apply_outcome& outcome)
{
    return text(std::visit(outcome_to_object {}, outcome));
}

std::string toJson(const std::vector<history_entry>& entries) { return text(toArray(entries)); }

} // namespace pimentomast::table
