#include "parts-2.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/StreamCopier.h>
#include <Poco/ThreadPool.h>
#include <Poco/URI.h>
#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <deque>
#include <thread>
#include <vector>

/// Stand-in for the platform's metadata store (form "table").
/// Usage: platform-store --address IP:PORT
///
/// Beside the calls of the system's hosts: PUT and DELETE /row/TABLE/KEY, by which the operator and
/// upstreams write a row of an empty part (the value is base64); PUT /outage/on or /outage/off,
/// which makes the store answer the system's hosts with 503.
/// A row of `servers` that is not written again is removed after three heartbeats.
namespace review {
namespace {

namespace net = Poco::Net;
using Poco::JSON::Array;
using Poco::JSON::Object;

constexpr std::int64_t heartbeatMs = 870;
constexpr std::int64_t lapseMs = 3 * heartbeatMs;
constexpr std::size_t defaultLimit = 500;

struct row_name {
    std::string table;
    std::string part;
    std::string key;

    auto operator<=>(const row_name&) const = default;
};

struct stored_row {
    std::string value;
    std::uint64_t version = 0;
    std::int64_t writtenMs = 0;
};

struct change {
    row_name name;
    std::uint64_t version = 0;
};

class store_state {
public:
    std::mutex mutex;
    std::condition_variable changed;
    std::map<row_name, stored_row> rows;
    std::deque<change> changes;
    std::uint64_t version = 0;
    std::atomic<bool> outage { false };

    // The methods need the mutex to be held.

    void put(const row_name& name, const std::string& value)
    {
        rows[name] = { value, version, nowMs() };
        changes.push_back({ name, version });
    }

    void remove(const row_name& name)
    {
        rows.erase(name);
        changes.push_back({ name, version });
    }

    [[nodiscard]] std::uint64_t versionOf(const row_name& name) const
    {
        const auto found = rows.find(name);
        return found == rows.end() ? 0 : found->second.version;
    }

    [[nodiscard]] Object::Ptr describe(const row_name& name, std::uint64_t changedAt) const
    {
        Object::Ptr object = new Object;
        object->set("table", name.table);
        object->set("part", name.part);
        object->set("key", name.key);
        const auto found = rows.find(name);
        if (found == rows.end()) {
            object->set("deleted", true);
            object->set("ver", changedAt);
        } else {
            object->set("value", found->second.value);
            object->set("ver", found->second.version);
        }
        return object;
    }
};

row_name nameIn(const Object& object)
{
    return { object.getValue<std::string>("table"), object.optValue<std::string>("part", ""),
        object.getValue<std::string>("key") };
}

std::map<std::string, std::string> queryOf(const Poco::URI& uri)
{
    std::map<std::string, std::string> values;
    for (const auto& [name, value] : uri.getQueryParameters())
        values[name] = value;
    return values;
}

void send(net::HTTPServerResponse& response, int status, const Object& body)
{
    std::ostringstream text;
    body.stringify(text);
    response.setStatus(static_cast<net::HTTPResponse::HTTPStatus>(status));
    response.setContentType("application/json");
    response.sendBuffer(text.str().data(), text.str().size());
}

Object answerAt(std::uint64_t version)
{
    Object body;
    body.set("ver", version);
    body.set("now", std::to_string(nowMs()) + "ms");
    return body;
}

class store_handler : public net::HTTPRequestHandler {
public:
    explicit store_handler(store_state& state)
        : m_state(state)
    {
    }

    void handleRequest(net::HTTPServerRequest& request, net::HTTPServerResponse& response) override
    {
        const Poco::URI uri(request.getURI());
        std::string body;
        Poco::StreamCopier::copyToString(request.stream(), body);
        std::vector<std::string> words;
        uri.getPathSegments(words);
        const std::string call = words.empty() ? "" : words.front();
        if (call == "row" && words.size() == 3)
            return writeRow(request.getMethod(), { words[1], "", words[2] }, body, response);
        if (call == "outage" && words.size() == 2) {
            m_state.outage = words[1] == "on";
            return send(response, net::HTTPResponse::HTTP_OK, answerAt(0));
        }
        if (m_state.outage)
            return send(response, net::HTTPResponse::HTTP_SERVICE_UNAVAILABLE, answerAt(0));
        if (call == "rows-tx")
            return transact(body, response);
        if (call == "rows-get")
            return list(queryOf(uri), response);
        if (call == "rows-feed")
            return feed(queryOf(uri), response);
        send(response, net::HTTPResponse::HTTP_NOT_FOUND, answerAt(0));
    }

private:
    void writeRow(const std::string& method, const row_name& name, const std::string& value,
        net::HTTPServerResponse& response)
    {
        const std::lock_guard guard(m_state.mutex);
        const auto found = m_state.rows.find(name);
        if (method == "DELETE") {
            ++m_state.version;
            m_state.remove(name);
        } else if (found != m_state.rows.end() && found->second.value == value) {
            found->second.writtenMs = nowMs();
        } else {
            ++m_state.version;
            m_state.put(name, value);
        }
        m_state.changed.notify_all();
        send(response, net::HTTPResponse::HTTP_OK, answerAt(m_state.version));
    }

    void transact(const std::string& body, net::HTTPServerResponse& response)
    {
        const auto root = Poco::JSON::Parser().parse(body).extract<Object::Ptr>();
        const auto conditions = root->getArray("precondition");
        const std::lock_guard guard(m_state.mutex);
        Array current;
        bool holds = true;
        for (unsigned i = 0; conditions && i < conditions->size(); ++i) {
            const auto wanted = conditions->getObject(i);
            const auto name = nameIn(*wanted);
            const auto version = m_state.versionOf(name);
            holds = holds && version == wanted->getValue<Poco::UInt64>("ver");
            if (version != 0)
                current.add(m_state.describe(name, version));
        }
        if (!holds) {
            auto answer = answerAt(m_state.version);
            answer.set("rows", current);
            return send(response, net::HTTPResponse::HTTP_PRECONDITION_FAILED, answer);
        }
        ++m_state.version;
        const auto puts = root->getArray("upserts");
        for (unsigned i = 0; puts && i < puts->size(); ++i) {
            const auto put = puts->getObject(i);
            m_state.put(nameIn(*put), put->getValue<std::string>("value"));
        }
        const auto removals = root->getArray("deletes");
        for (unsigned i = 0; removals && i < removals->size(); ++i)
            m_state.remove(nameIn(*removals->getObject(i)));
        m_state.changed.notify_all();
        send(response, net::HTTPResponse::HTTP_OK, answerAt(m_state.version));
    }

    void list(std::map<std::string, std::string> query, net::HTTPServerResponse& response)
    {
        const std::size_t limit
            = query.contains("limit") ? std::stoul(query["limit"]) : defaultLimit;
        const std::lock_guard guard(m_state.mutex);
        Array rows;
        bool more = false;
        for (auto each = m_state.rows.lower_bound({ query["table"], query["part"], query["from"] });
             each != m_state.rows.end(); ++each) {
            const auto& name = each->first;
            const bool isPast = query.contains("to") && name.key >= query["to"];
            if (name.table != query["table"] || name.part != query["part"] || isPast)
                break;
            more = rows.size() == limit;
            if (more)
                break;
            rows.add(m_state.describe(name, 0));
        }
        auto answer = answerAt(m_state.version);
        answer.set("rows", rows);
        answer.set("hasMore", more);
        send(response, net::HTTPResponse::HTTP_OK, answer);
    }

    [[nodiscard]] Array changedRows(const std::string& table, std::uint64_t after) const
    {
        std::map<row_name, std::uint64_t> newest;
        for (const auto& each : m_state.changes) {
            if (each.name.table == table && each.version > after)
                newest[each.name] = each.version;
        }
        std::vector<std::pair<std::uint64_t, row_name>> ordered;
        ordered.reserve(newest.size());
        for (const auto& [name, version] : newest)
            ordered.emplace_back(version, name);
        std::sort(ordered.begin(), ordered.end());
        Array rows;
        for (const auto& [version, name] : ordered)
            rows.add(m_state.describe(name, version));
        return rows;
    }

    void feed(std::map<std::string, std::string> query, net::HTTPServerResponse& response)
    {
        const auto after = std::stoull(query["after"]);
        const auto wait = std::chrono::milliseconds(std::stol(query["waitMs"]));
        std::unique_lock guard(m_state.mutex);
        Array rows;
        m_state.changed.wait_for(guard, wait, [&] {
            rows = changedRows(query["table"], after);
            return rows.size() > 0;
        });
        auto answer = answerAt(m_state.version);
        answer.set("rows", rows);
        send(response, net::HTTPResponse::HTTP_OK, answer);
    }

    store_state& m_state;
};

class store_factory : public net::HTTPRequestHandlerFactory {
public:
    explicit store_factory(store_state& state)
        : m_state(state)
    {
    }

    net::HTTPRequestHandler* createRequestHandler(
        const net::HTTPServerRequest& /*request*/) override
    {
        return new store_handler(m_state);
    }

private:
    store_state& m_state;
};

void removeLapsed(store_state& state)
{
    const std::lock_guard guard(state.mutex);
    std::vector<row_name> lapsed;
    for (const auto& [name, row] : state.rows) {
        if (name.table == "servers" && nowMs() - row.writtenMs > lapseMs)
            lapsed.push_back(name);
    }
    for (const auto& name : lapsed) {
        ++state.version;
        state.remove(name);
    }
    if (!lapsed.empty())
        state.changed.notify_all();
}

int run(const arguments& given)
{
    constexpr int maxThreads = 512;
    constexpr std::chrono::milliseconds checkInterval { 50 };
    store_state state;
    Poco::ThreadPool threads(2, maxThreads);
    net::HTTPServerParams::Ptr params = new net::HTTPServerParams;
    params->setMaxThreads(maxThreads);
    params->setKeepAlive(true);
    params->setMaxKeepAliveRequests(0);
    net::ServerSocket socket(net::SocketAddress(given.text("address")));
    net::HTTPServer server(new store_factory(state), threads, socket, params);
    server.start();
    while (true) {
        std::this_thread::sleep_for(checkInterval);
        removeLapsed(state);
    }
}

} // namespace
} // namespace review

int main(int count, char** words) { return review::run(review::arguments(count, words)); }
