#pragma once

#include "scripted-server.h"
#include "table-pages.h"

#include <Poco/Base64Decoder.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/StreamCopier.h>
#include <Poco/URI.h>
#include <algorithm>
#include <map>
#include <mutex>
#include <tuple>

namespace pimentomast::test {

/// A store of rows as the platform has it, that can be copied, go away and come back from the copy
/// in a new era. Thread-safe.
class era_store {
public:
    struct stored {
        std::string value;
        std::uint64_t version = 0;
        bool removed = false;
    };
    /// Table, part and key.
    using id = std::tuple<std::string, std::string, std::string>;

    [[nodiscard]] endpoint address() const { return m_server.address(); }

    /// Writes a row as operators and targets do.
    std::uint64_t put(const id& row, const std::string& value)
    {
        const std::lock_guard guard(m_lock);
        m_rows[row] = { value, ++m_version, false };
        return m_version;
    }
    void remove(const id& row)
    {
        const std::lock_guard guard(m_lock);
        m_rows[row] = { {}, ++m_version, true };
    }
    [[nodiscard]] std::optional<stored> find(const id& row) const
    {
        const std::lock_guard guard(m_lock);
        const auto found = m_rows.find(row);
        return found == m_rows.end() || found->second.removed ? std::nullopt
                                                              : std::optional(found->second);
    }
    void copy()
    {
        const std::lock_guard guard(m_lock);
        m_copy = { m_rows, m_version };
    }
    /// Answers 503 until restore().
    void goAway()
    {
        const std::lock_guard guard(m_lock);
        m_away = true;
    }
    /// Comes back from the last copy in the next era.
    void restore()
    {
        const std::lock_guard guard(m_lock);
        std::tie(m_rows, m_version) = m_copy;
        m_away = false;
        m_era = m_era.value_or(0) + 1;
    }
    /// Sets the header; without one, responses have no era.
    void setEra(std::optional<std::uint64_t> era)
    {
        const std::lock_guard guard(m_lock);
        m_era = era;
    }
    /// Raises the era after the next transaction was carried out, before its response is written.
    void raiseEraInTransaction() { m_raise = true; }
    /// Returns the requests so far: request line, and body of a transaction.
    [[nodiscard]] std::vector<std::string> requests() const
    {
        const std::lock_guard guard(m_lock);
        return m_requests;
    }

private:
    using parameters = std::map<std::string, std::string>;

    static std::string decoded(const std::string& text)
    {
        std::istringstream in(text);
        Poco::Base64Decoder decoder(in);
        std::string bytes;
        Poco::StreamCopier::copyToString(decoder, bytes);
        return bytes;
    }

    static id idOf(const Poco::JSON::Object& object)
    {
        return { object.getValue<std::string>("table"), object.getValue<std::string>("part"),
            object.getValue<std::string>("key") };
    }

    static std::string rowText(const std::string& key, const stored& row)
    {
        const std::string rest
            = row.removed ? R"("deleted":true)" : R"("value":")" + base64(row.value) + '"';
        return R"({"key":")" + key + R"(","ver":)" + std::to_string(row.version) + "," + rest + "}";
    }

    std::string respond(int status, const std::string& body) const
    {
        const auto era = m_era ? "Store-Era: " + std::to_string(*m_era) + "\r\n" : std::string();
        return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + era
            + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    std::string pageOf(const parameters& asked, std::uint64_t after, bool isFeed)
    {
        std::string rows;
        for (const auto& [row, content] : m_rows) {
            const auto& [table, part, key] = row;
            const bool wanted = isFeed
                ? content.version > after
                : part == asked.at("part") && key >= asked.at("from") && !content.removed;
            if (table == asked.at("table") && wanted)
                rows += (rows.empty() ? "" : ",") + rowText(key, content);
        }
        return respond(
            200, R"({"ver":)" + std::to_string(m_version) + R"(,"rows":[)" + rows + "]}");
    }

    std::string transact(const std::string& text)
    {
        const auto body = Poco::JSON::Parser().parse(text).extract<Poco::JSON::Object::Ptr>();
        for (const auto& each : *body->getArray("precondition")) {
            const auto& condition = each.extract<Poco::JSON::Object::Ptr>();
            const auto row = idOf(*condition);
            const auto found = m_rows.find(row);
            const bool exists = found != m_rows.end() && !found->second.removed;
            const auto version = exists ? found->second.version : 0;
            if (version != condition->getValue<Poco::UInt64>("ver"))
                return respond(412,
                    R"({"rows":[)" + (exists ? rowText(std::get<2>(row), found->second) : "")
                        + "]}");
        }
        ++m_version;
        for (const auto& each : *body->getArray("upserts")) {
            const auto& put = each.extract<Poco::JSON::Object::Ptr>();
            m_rows[idOf(*put)] = { decoded(put->getValue<std::string>("value")), m_version, false };
        }
        for (const auto& each : *body->getArray("deletes"))
            m_rows[idOf(*each.extract<Poco::JSON::Object::Ptr>())] = { {}, m_version, true };
        if (m_raise.exchange(false))
            m_era = m_era.value_or(0) + 1;
        return respond(200, R"({"ver":)" + std::to_string(m_version) + "}");
    }

    std::string respondTo(const std::string& line, const std::string& body)
    {
        const std::lock_guard guard(m_lock);
        m_requests.push_back(line + body);
        if (m_away)
            return respond(503, "");
        if (line.starts_with("POST"))
            return transact(body);
        const Poco::URI uri(line.substr(4, line.find(' ', 4) - 4));
        parameters asked { { "from", "" } };
        for (const auto& [name, value] : uri.getQueryParameters())
            asked[name] = value;
        const bool isFeed = asked.contains("after");
        const auto after = isFeed ? std::stoull(asked["after"]) : 0;
        if (after > m_version)
            return respond(410, "");
        return pageOf(asked, after, isFeed);
    }

    void serve(Poco::Net::StreamSocket& socket)
    {
        std::array<char, 4096> buffer {};
        for (std::string received;;) {
            const auto head = received.find("\r\n\r\n");
            const bool isComplete = head != std::string::npos
                && (received.starts_with("GET") || received.ends_with("]}"));
            if (isComplete) {
                write(socket,
                    respondTo(
                        received.substr(0, received.find("\r\n")), received.substr(head + 4)));
                received.clear();
            }
            const int count = socket.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
            if (count <= 0)
                return;
            received.append(buffer.data(), static_cast<std::size_t>(count));
        }
    }

    mutable std::mutex m_lock;
    std::map<id, stored> m_rows;
    std::uint64_t m_version = 0;
    std::pair<std::map<id, stored>, std::uint64_t> m_copy;
    std::optional<std::uint64_t> m_era;
    bool m_away = false;
    std::atomic<bool> m_raise { false };
    std::vector<std::string> m_requests;
    /// Last: its threads use the other members.
    scripted_server m_server { [this](auto& socket, int) { serve(socket); } };
};

} // namespace pimentomast::test
