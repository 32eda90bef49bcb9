#include "store.h"

#include <Poco/Base64Decoder.h>
#include <Poco/Base64Encoder.h>
#include <Poco/JSON/Parser.h>
#include <Poco/JSONString.h>
#include <Poco/StreamCopier.h>
#include <Poco/URI.h>
#include <algorithm>
#include <sstream>

namespace review {
namespace {

using Poco::JSON::Object;

constexpr milliseconds pollStep { 50 };
constexpr milliseconds readTime { 4 };
constexpr milliseconds readTimeout { 5000 };
constexpr milliseconds writeTime { 8 };
constexpr std::size_t pageRows = 500;

std::string toBase64(const std::string& bytes)
{
    std::ostringstream text;
    Poco::Base64Encoder encoder(text);
    encoder.rdbuf()->setLineLength(0);
    encoder << bytes;
    encoder.close();
    return text.str();
}

std::string fromBase64(const std::string& text)
{
    std::istringstream in(text);
    Poco::Base64Decoder decoder(in);
    std::string bytes;
    Poco::StreamCopier::copyToString(decoder, bytes);
    return bytes;
}

std::string rowText(
    const row_name& name, const std::string& value, std::uint64_t version, bool removed)
{
    std::string text = "{\"table\":" + Poco::toJSON(name.table)
        + ",\"part\":" + Poco::toJSON(name.part) + ",\"key\":" + Poco::toJSON(name.key)
        + ",\"ver\":" + std::to_string(version);
    text += removed ? ",\"deleted\":true}" : ",\"value\":\"" + toBase64(value) + "\"}";
    return text;
}

std::map<std::string, std::string> queryOf(const std::string& target)
{
    std::map<std::string, std::string> found;
    for (const auto& [key, value] : Poco::URI(target).getQueryParameters())
        found[key] = value;
    return found;
}

row_name nameOf(const Object& object)
{
    return { object.optValue<std::string>("table", ""), object.optValue<std::string>("part", ""),
        object.optValue<std::string>("key", "") };
}

std::vector<Object::Ptr> listOf(const Object& object, const std::string& name)
{
    std::vector<Object::Ptr> all;
    if (const auto list = object.getArray(name)) {
        for (unsigned i = 0; i < list->size(); ++i)
            all.push_back(list->getObject(i));
    }
    return all;
}

bool isForeign(const std::string& table) { return table == "op" || table == "servers"; }

} // namespace

store_stand_in::store_stand_in() { m_ports.reserve(64); }

store_stand_in::~store_stand_in()
{
    m_stopped = true;
    m_changed.notify_all();
    for (auto& each : m_ports)
        each->acceptor.join();
    m_threads.join();
}

endpoint store_stand_in::open()
{
    auto added = std::make_unique<port>();
    added->listener = listenOn({});
    endpoint at { "127.0.0.1", portOf(added->listener) };
    auto& opened = *added;
    m_ports.push_back(std::move(added));
    opened.acceptor = std::thread([this, &opened] { accept(opened); });
    return at;
}

void store_stand_in::setServiceOfAll(service how)
{
    for (auto& each : m_ports)
        each->how = how;
}

void store_stand_in::accept(port& at)
{
    while (!m_stopped) {
        auto accepted = acceptFrom(at.listener, pollStep);
        if (!accepted.isOpen())
            continue;
        m_threads.add([this, &at, connection = std::move(accepted)] { serve(at, connection); });
    }
}

void store_stand_in::serve(port& at, const socket_handle& connection)
{
    message_reader reader;
    message request;
    while (!m_stopped) {
        if (!reader.waitForMessage(connection, pollStep))
            continue;
        if (reader.read(connection, request, steady::now() + readTimeout) != read_state::Whole)
            return;
        while (at.how == service::Silent && !m_stopped) {
            if (hasPeerClosed(connection))
                return;
            std::this_thread::sleep_for(pollStep);
        }
        const auto made = at.how == service::Refuses ? refusal() : answer(request);
        if (!sendAll(connection, made.text()))
            return;
    }
}

message store_stand_in::answer(const message& request)
{
    const auto words = request.words();
    const std::string target = words.size() > 1 ? words[1] : "";
    std::this_thread::sleep_for(target.starts_with("/rows-tx") ? writeTime : readTime);
    if (target.starts_with("/rows-tx"))
        return transact(request.body);
    if (target.starts_with("/rows-get"))
        return listRows(queryOf(target));
    if (target.starts_with("/rows-feed"))
        return readFeed(queryOf(target));
    return refusal();
}

message store_stand_in::refusal() const
{
    const std::lock_guard guard(m_lock);
    return reply(503, "[]");
}

// The caller holds m_lock.
message store_stand_in::reply(int status, const std::string& rows, bool more) const
{
    const auto now = std::chrono::duration_cast<milliseconds>(steady::now() - m_started);
    message made;
    made.startLine = "HTTP/1.1 " + std::to_string(status) + " Status";
    made.fields.emplace_back("Content-Type", "application/json");
    if (m_era > 0)
        made.fields.emplace_back("Store-Era", std::to_string(m_era));
    made.body = "{\"rows\":" + rows + ",\"hasMore\":" + (more ? "true" : "false") + ",\"ver\":"
        + std::to_string(m_now.version) + ",\"now\":\"" + std::to_string(now.count()) + "ms\"}";
    return made;
}

message store_stand_in::listRows(const std::map<std::string, std::string>& query)
{
    const auto value = [&](const char* name) {
        const auto found = query.find(name);
        return found == query.end() ? std::string() : found->second;
    };
    const auto limitText = value("limit");
    const std::size_t limit = limitText.empty() ? pageRows : std::stoul(limitText);
    const auto to = value("to");
    const std::lock_guard guard(m_lock);
    std::string rows;
    std::size_t count = 0;
    for (auto each = m_now.rows.lower_bound({ value("table"), value("part"), value("from") });
         each != m_now.rows.end(); ++each) {
        const auto& name = each->first;
        const bool isOutside = name.table != value("table") || name.part != value("part");
        if (isOutside || (!to.empty() && name.key >= to))
            break;
        if (count == std::min(limit, pageRows))
            return reply(200, "[" + rows + "]", true);
        rows += (count++ == 0 ? "" : ",")
            + rowText(name, each->second.value, each->second.version, false);
    }
    return reply(200, "[" + rows + "]");
}

message store_stand_in::readFeed(const std::map<std::string, std::string>& query)
{
    const auto after = std::stoull(query.at("after"));
    const milliseconds wait(std::stoll(query.at("waitMs")));
    const auto& table = query.at("table");
    std::unique_lock guard(m_lock);
    const auto era = m_era;
    const auto isNew
        = [&](const change& each) { return each.name.table == table && each.version > after; };
    const auto hasNews = [&] {
        return m_stopped || m_era != era
            || std::any_of(m_now.changes.begin(), m_now.changes.end(), isNew);
    };
    if (after > m_now.version)
        return reply(410, "[]");
    m_changed.wait_for(guard, wait, hasNews);
    std::string rows;
    for (const auto& each : m_now.changes) {
        if (isNew(each))
            rows += (rows.empty() ? "" : ",")
                + rowText(each.name, each.value, each.version, each.removed);
    }
    return reply(200, "[" + rows + "]");
}

message store_stand_in::transact(const std::string& body)
{
    const auto call = Poco::JSON::Parser().parse(body).extract<Object::Ptr>();
    const std::lock_guard guard(m_lock);
    std::string current;
    bool holds = true;
    for (const auto& each : listOf(*call, "precondition")) {
        const auto name = nameOf(*each);
        const auto found = m_now.rows.find(name);
        const auto version = found == m_now.rows.end() ? 0 : found->second.version;
        holds = holds && version == each->optValue<Poco::UInt64>("ver", 0);
        if (found != m_now.rows.end())
            current += (current.empty() ? "" : ",")
                + rowText(name, found->second.value, version, false);
    }
    if (!holds)
        return reply(412, "[" + current + "]");
    const auto puts = listOf(*call, "upserts");
    const auto removals = listOf(*call, "deletes");
    const auto isAllowed = [](const Object::Ptr& each) { return !isForeign(nameOf(*each).table); };
    if (!std::all_of(puts.begin(), puts.end(), isAllowed)
        || !std::all_of(removals.begin(), removals.end(), isAllowed))
        return reply(403, "[]");
    ++m_now.version;
    for (const auto& each : puts)
        set(nameOf(*each), fromBase64(each->optValue<std::string>("value", "")));
    for (const auto& each : removals)
        erase(nameOf(*each));
    m_changed.notify_all();
    return reply(200, "[]");
}

void store_stand_in::set(const row_name& name, const std::string& value)
{
    m_now.rows[name] = { value, m_now.version };
    m_now.changes.push_back({ name, value, m_now.version, false });
}

void store_stand_in::erase(const row_name& name)
{
    if (m_now.rows.erase(name) > 0)
        m_now.changes.push_back({ name, {}, m_now.version, true });
}

std::uint64_t store_stand_in::put(const row_name& name, const std::string& value)
{
    const std::lock_guard guard(m_lock);
    ++m_now.version;
    set(name, value);
    m_changed.notify_all();
    return m_now.version;
}

void store_stand_in::remove(const row_name& name)
{
    const std::lock_guard guard(m_lock);
    ++m_now.version;
    erase(name);
    m_changed.notify_all();
}

std::string store_stand_in::get(const row_name& name) const
{
    const std::lock_guard guard(m_lock);
    const auto found = m_now.rows.find(name);
    return found == m_now.rows.end() ? std::string() : found->second.value;
}

void store_stand_in::keep()
{
    const std::lock_guard guard(m_lock);
    m_copy = m_now;
}

void store_stand_in::restore()
{
    const std::lock_guard guard(m_lock);
    m_now = m_copy;
    ++m_era;
    m_changed.notify_all();
}

} // namespace review
