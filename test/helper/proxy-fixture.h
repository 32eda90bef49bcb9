#pragma once

#include "../helper.h"
#include "fixed-dispatcher.h"

#include <Poco/Net/NetException.h>
#include <Poco/Net/StreamSocket.h>
#include <array>
#include <fstream>

namespace pimentomast::test {

/// A stand-in target that runs in a separate process.
class target_process {
public:
    explicit target_process(const std::string& id, std::vector<std::string> arguments = {})
        : m_address(freeAddress())
    {
        arguments.insert(arguments.end(), { "--listen", m_address.text(), "--id", id });
        m_process = std::make_unique<process>(
            process::start("stand-in-target", arguments, scratchFolder() + "/" + id + ".log"));
        const bool started = waitUntil([this] {
            return call(m_address, { "GET", "/pimentomast/health" }).status == 200;
        });
        if (!started)
            throw failure({ "start target", m_address.text(), "health check failed" });
    }

    [[nodiscard]] const endpoint& address() const { return m_address; }
    [[nodiscard]] process& self() { return *m_process; }

    [[nodiscard]] proxy::destination destination(unsigned connections = 64) const
    {
        return { target_id { m_address.text() }, m_address, std::nullopt, connections };
    }

    /// Returns the lines of the target's record that contain the text.
    [[nodiscard]] std::vector<std::string> record(const std::string& text) const
    {
        std::istringstream lines(call(m_address, { "GET", "/record" }).body);
        std::vector<std::string> found;
        for (std::string line; std::getline(lines, line);) {
            if (line.find(text) != std::string::npos)
                found.push_back(line);
        }
        return found;
    }

    /// Returns how often requests for the path were run.
    [[nodiscard]] std::size_t runs(const std::string& path) const
    {
        return record("\"path\":\"" + path + "\"").size();
    }

private:
    endpoint m_address;
    std::unique_ptr<process> m_process;
};

/// A connection on which a test sends raw bytes.
class raw_connection {
public:
    explicit raw_connection(const endpoint& server)
        : m_socket(Poco::Net::SocketAddress(server.ip, server.port))
    {
        m_socket.setReceiveTimeout(Poco::Timespan(waitTimeout.count(), 0));
    }

    void send(const std::string& bytes)
    {
        for (std::size_t sent = 0; sent < bytes.size();)
            sent += static_cast<std::size_t>(
                m_socket.sendBytes(bytes.data() + sent, static_cast<int>(bytes.size() - sent)));
    }

    /// Reads until the text has arrived or the connection has ended. Returns all input so far.
    std::string readUntil(const std::string& text)
    {
        while (m_input.find(text) == std::string::npos && readMore()) { }
        return m_input;
    }

    /// Reads until the connection ends; wasReset() tells whether it was reset. Returns all input so
    /// far.
    std::string readAll()
    {
        while (readMore()) { }
        return m_input;
    }

    [[nodiscard]] bool wasReset() const { return m_reset; }
    void clearInput() { m_input.clear(); }
    void close() { m_socket.close(); }
    Poco::Net::StreamSocket& socket() { return m_socket; }

private:
    bool readMore()
    {
        std::array<char, 65536> piece {};
        try {
            const int got = m_socket.receiveBytes(piece.data(), piece.size());
            m_input.append(piece.data(), static_cast<std::size_t>(std::max(got, 0)));
            return got > 0;
        } catch (const Poco::Net::NetException&) {
            m_reset = true;
            return false;
        }
    }

    Poco::Net::StreamSocket m_socket;
    std::string m_input;
    bool m_reset = false;
};

/// Returns settings for callers that choose the ids of their requests and state their deadlines.
inline proxy::options callersChooseIds()
{
    proxy::options settings;
    settings.contract.id = "X-Id";
    settings.contract.callersChooseId = true;
    settings.contract.notRun = "X-Refused";
    settings.contract.deadline = "X-Left";
    settings.contract.callersStateDeadline = true;
    settings.contract.sendPimentomastFields = false;
    return settings;
}

/// A proxy in the test process with a fixed list of targets.
class proxy_fixture {
public:
    explicit proxy_fixture(const std::vector<proxy::destination>& targets, unsigned attempts = 1,
        const proxy::options& settings = {})
        : dispatcher(targets, attempts)
        , server(proxy::server::start(settings, dispatcher, m_observer).value())
    {
        server->setTable(proxyTable());
        server->setHealthy(true);
    }

    [[nodiscard]] endpoint address() const { return server->address(); }

    fixed_dispatcher dispatcher;

private:
    null_observer m_observer;

public:
    std::unique_ptr<proxy::server> server;
};

} // namespace pimentomast::test
