#pragma once

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/URI.h>
#include <chrono>
#include <condition_variable>
#include <map>
#include <mutex>
#include <sstream>
#include <string>
#include <tuple>

/// Stand-in for the platform's store: rows, transactions and the feed, by the users' protocol page.
namespace review {

using row_key = std::tuple<std::string, std::string, std::string>;

struct stored_row {
    /// In base64, as it is on the wire.
    std::string value;
    unsigned long version = 0;
    bool removed = false;
};

/// Rows of all tables. Thread-safe.
class row_store {
public:
    /// Writes a row without a condition.
    void put(const row_key& key, const std::string& value)
    {
        const std::lock_guard guard(m_lock);
        m_rows[key] = { value, ++m_version, false };
        m_changed.notify_all();
    }

    void remove(const row_key& key)
    {
        const std::lock_guard guard(m_lock);
        m_rows[key] = { "", ++m_version, true };
        m_changed.notify_all();
    }

    /// Carries out a transaction; returns the status, and the body in the argument.
    int transact(const std::string& request, std::string& reply)
    {
        const auto body = Poco::JSON::Parser().parse(request).extract<Poco::JSON::Object::Ptr>();
        const std::lock_guard guard(m_lock);
        const auto conditions = body->getArray("precondition");
        if (!holds(conditions)) {
            reply = conflict(conditions);
            return 412;
        }
        ++m_version;
        const auto upserts = body->getArray("upserts");
        for (unsigned i = 0; upserts && i < upserts->size(); ++i) {
            const auto row = upserts->getObject(i);
            m_rows[keyOf(*row)] = { row->getValue<std::string>("value"), m_version, false };
        }
        const auto deletes = body->getArray("deletes");
        for (unsigned i = 0; deletes && i < deletes->size(); ++i)
            m_rows[keyOf(*deletes->getObject(i))] = { "", m_version, true };
        m_changed.notify_all();
        reply = "{\"ver\":" + std::to_string(m_version) + ",\"now\":" + std::to_string(m_version)
            + "}";
        return 200;
    }

    std::string get(const std::string& table, const std::string& part, const std::string& from,
        std::size_t limit)
    {
        const std::lock_guard guard(m_lock);
        Poco::JSON::Array::Ptr rows = new Poco::JSON::Array;
        bool more = false;
        for (auto at = m_rows.lower_bound({ table, part, from }); at != m_rows.end(); ++at) {
            if (std::get<0>(at->first) != table || std::get<1>(at->first) != part)
                break;
            if (at->second.removed)
                continue;
            more = rows->size() >= limit;
            if (more)
                break;
            rows->add(toJson(at->first, at->second));
        }
        return page(rows, more);
    }

    std::string feed(const std::string& table, unsigned long after, std::chrono::milliseconds wait)
    {
        std::unique_lock guard(m_lock);
        const auto until = std::chrono::steady_clock::now() + wait;
        while (true) {
            Poco::JSON::Array::Ptr rows = changesOf(table, after);
            const bool due = std::chrono::steady_clock::now() >= until;
            if (rows->size() > 0 || due)
                return page(rows, false);
            m_changed.wait_until(guard, until);
        }
    }

private:
    static row_key keyOf(const Poco::JSON::Object& row)
    {
        return { row.getValue<std::string>("table"), row.optValue<std::string>("part", ""),
            row.getValue<std::string>("key") };
    }

    static Poco::JSON::Object::Ptr toJson(const row_key& key, const stored_row& row)
    {
        Poco::JSON::Object::Ptr object = new Poco::JSON::Object;
        object->set("table", std::get<0>(key));
        object->set("part", std::get<1>(key));
        object->set("key", std::get<2>(key));
        object->set("value", row.value);
        object->set("ver", row.version);
        if (row.removed)
            object->set("deleted", true);
        return object;
    }

    [[nodiscard]] unsigned long versionOf(const row_key& key) const
    {
        const auto found = m_rows.find(key);
        return found == m_rows.end() || found->second.removed ? 0 : found->second.version;
    }

    [[nodiscard]] bool holds(const Poco::JSON::Array::Ptr& conditions) const
    {
        for (unsigned i = 0; conditions && i < conditions->size(); ++i) {
            const auto row = conditions->getObject(i);
            if (versionOf(keyOf(*row)) != row->getValue<unsigned long>("ver"))
                return false;
        }
        return true;
    }

    [[nodiscard]] std::string conflict(const Poco::JSON::Array::Ptr& conditions) const
    {
        Poco::JSON::Array::Ptr rows = new Poco::JSON::Array;
        for (unsigned i = 0; i < conditions->size(); ++i) {
            const auto found = m_rows.find(keyOf(*conditions->getObject(i)));
            if (found != m_rows.end() && !found->second.removed)
                rows->add(toJson(found->first, found->second));
        }
        return page(rows, false);
    }

    [[nodiscard]] Poco::JSON::Array::Ptr changesOf(
        const std::string& table, unsigned long after) const
    {
        std::map<unsigned long, Poco::JSON::Object::Ptr> ordered;
        for (const auto& [key, row] : m_rows) {
            if (std::get<0>(key) == table && row.version > after)
                ordered[row.version] = toJson(key, row);
        }
        Poco::JSON::Array::Ptr rows = new Poco::JSON::Array;
        for (const auto& each : ordered)
            rows->add(each.second);
        return rows;
    }

    [[nodiscard]] std::string page(const Poco::JSON::Array::Ptr& rows, bool more) const
    {
        Poco::JSON::Object object;
        object.set("rows", rows);
        object.set("hasMore", more);
        object.set("ver", m_version);
        object.set("now", m_version);
        std::ostringstream text;
        object.stringify(text);
        return text.str();
    }

    std::mutex m_lock;
    std::condition_variable m_changed;
    unsigned long m_version = 0;
    std::map<row_key, stored_row> m_rows;
};

/// Answers the store's calls.
class store_handler : public Poco::Net::HTTPRequestHandler {
public:
    explicit store_handler(row_store& rows)
        : m_rows(rows)
    {
    }

    void handleRequest(
        Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response) override
    {
        const Poco::URI uri(request.getURI());
        std::map<std::string, std::string> query;
        for (const auto& [name, value] : uri.getQueryParameters())
            query[name] = value;
        std::string reply;
        int status = 200;
        if (uri.getPath() == "/rows-tx") {
            std::ostringstream body;
            body << request.stream().rdbuf();
            status = m_rows.transact(body.str(), reply);
        } else if (uri.getPath() == "/rows-get") {
            const auto limit = query["limit"].empty() ? 500 : std::stoul(query["limit"]);
            reply = m_rows.get(query["table"], query["part"], query["from"], limit);
        } else if (uri.getPath() == "/rows-feed") {
            reply = m_rows.feed(query["table"], std::stoul(query["after"]),
                std::chrono::milliseconds(std::stoul(query["waitMs"])));
        } else {
            status = 404;
        }
        response.setStatus(std::to_string(status));
        response.setContentType("application/json");
        response.sendBuffer(reply.data(), reply.size());
    }

private:
    row_store& m_rows;
};

} // namespace review
