#pragma once

#include "pattern.h"
#include "target-admin.h"

#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/URI.h>
#include <array>
#include <poll.h>
#include <xxhash.h>

/// HTTP handler for forwarded requests.
namespace stand_in {

/// Size and checksum of an upload, for comparing what was sent with what arrived.
struct upload {
    std::uint64_t bytes = 0;
    std::uint64_t checksum = 0;
    bool complete = true;
};

inline std::string parameter(const Poco::URI& uri, const std::string& name)
{
    for (const auto& [key, value] : uri.getQueryParameters()) {
        if (key == name)
            return value;
    }
    return {};
}

/// Thrown to end the exchange by resetting the connection.
struct reset_requested { };

class run_handler : public net::HTTPRequestHandler {
public:
    explicit run_handler(target_state& state)
        : m_state(state)
    {
    }

    void handleRequest(net::HTTPServerRequest& request, net::HTTPServerResponse& response) override
    {
        response.setStatusAndReason(net::HTTPResponse::HTTP_OK);
        m_state.waitWhileFrozen();
        m_socket = static_cast<net::HTTPServerRequestImpl&>(request).socket();
        try {
            run(request, response);
        } catch (const reset_requested&) {
            m_socket.setLinger(true, 0);
            m_socket.close();
        }
    }

private:
    void run(net::HTTPServerRequest& request, net::HTTPServerResponse& response)
    {
        if (m_state.controls.takeReset("before"))
            throw reset_requested {};
        std::optional<std::uint64_t> sliceId;
        const admission admissionResult = m_state.admit(keyOf(request), tokenOf(request), sliceId);
        if (admissionResult != admission::Admitted)
            return refuse(response, admissionResult);
        crashIfRequested(request);
        const std::size_t index = m_state.runs.begin(makeRunRecord(request));
        upload received;
        std::string outcome = "broken";
        try {
            outcome = serve(request, response, received);
        } catch (const reset_requested&) {
            m_state.runs.end(index, outcome, received.bytes);
            m_state.finishRequest(sliceId);
            throw;
        }
        m_state.runs.end(index, outcome, received.bytes);
        m_state.finishRequest(sliceId);
        if (m_state.controls.get().closeSilently)
            m_socket.shutdown();
    }

    std::string serve(
        net::HTTPServerRequest& request, net::HTTPServerResponse& response, upload& received)
    {
        const behaviour now = m_state.controls.get();
        if (request.getExpectContinue() && !now.earlyAnswer)
            response.sendContinue();
        if (!now.earlyAnswer)
            received = receive(request);
        if (!received.complete)
            return "broken";
        if (!waitServiceTime(request, now))
            return "cancelled";
        if (m_state.controls.takeReset("after"))
            throw reset_requested {};
        const Poco::URI uri(request.getURI());
        const std::string bytes = parameter(uri, "bytes");
        if (!bytes.empty())
            return sendExport(request, response, uri, Poco::NumberParser::parseUnsigned64(bytes));
        sendSummary(request, response, received, now);
        return "completed";
    }

    void refuse(net::HTTPServerResponse& response, admission admissionResult)
    {
        int status = 421;
        if (admissionResult == admission::Shed)
            status = 503;
        else if (admissionResult == admission::Draining)
            status = 425;
        response.set("Pimentomast-Outcome", "not-run");
        sendText(response, status, "text/plain", "refused\n");
    }

    static std::optional<pm::key_hash> keyOf(const net::HTTPServerRequest& request)
    {
        if (!request.has("Pimentomast-Key-Hash"))
            return std::nullopt;
        return pm::key_hash { Poco::NumberParser::parseHex64(request.get("Pimentomast-Key-Hash")) };
    }

    static std::optional<pm::token> tokenOf(const net::HTTPServerRequest& request)
    {
        const std::string text = request.get("Pimentomast-Token", "");
        const std::size_t dot = text.find('.');
        if (dot == std::string::npos)
            return std::nullopt;
        return pm::token { pm::epoch { Poco::NumberParser::parseUnsigned64(text.substr(0, dot)) },
            pm::sequence { Poco::NumberParser::parseUnsigned64(text.substr(dot + 1)) } };
    }

    static run_record makeRunRecord(const net::HTTPServerRequest& request)
    {
        run_record run;
        run.requestId = request.get("Pimentomast-Request-Id", "");
        run.method = request.getMethod();
        run.path = request.getURI();
        run.keyHash = request.get("Pimentomast-Key-Hash", "");
        run.token = request.get("Pimentomast-Token", "");
        run.startUs = nowUs();
        return run;
    }

    void crashIfRequested(const net::HTTPServerRequest& request)
    {
        const std::string crashPath = m_state.controls.get().crashPath;
        const bool byPath
            = !crashPath.empty() && request.getURI().find(crashPath) != std::string::npos;
        if (!byPath && !request.has("X-Crash"))
            return;
        m_state.runs.begin(makeRunRecord(request));
        std::_Exit(99);
    }

    upload receive(net::HTTPServerRequest& request)
    {
        upload received;
        XXH3_state_t* hash = XXH3_createState();
        XXH3_64bits_reset(hash);
        std::array<char, 65536> chunk {};
        std::istream& in = request.stream();
        const bool resets = m_state.controls.takeReset("upload");
        while (in.read(chunk.data(), chunk.size()) || in.gcount() > 0) {
            const auto count = static_cast<std::size_t>(in.gcount());
            XXH3_64bits_update(hash, chunk.data(), count);
            received.bytes += count;
            if (resets)
                break;
        }
        received.checksum = XXH3_64bits_digest(hash);
        XXH3_freeState(hash);
        if (resets)
            throw reset_requested {};
        const auto length = request.getContentLength64();
        // POCO treats a truncated chunked body as complete.
        received.complete = length == net::HTTPMessage::UNKNOWN_CONTENT_LENGTH
            ? !callerDisconnected()
            : static_cast<std::uint64_t>(length) == received.bytes;
        return received;
    }

    /// Waits for the service time; returns false if the caller disconnects meanwhile.
    bool waitServiceTime(const net::HTTPServerRequest& request, const behaviour& now)
    {
        std::int64_t waitMs = now.serviceMs;
        const std::string own = parameter(Poco::URI(request.getURI()), "service_ms");
        if (!own.empty())
            waitMs = Poco::NumberParser::parse(own);
        const auto key = keyOf(request);
        if (now.coldMs > 0 && key && m_state.recordFirstRequest(*key))
            waitMs += now.coldMs;
        const std::int64_t endUs = nowUs() + waitMs * 1000;
        while (nowUs() < endUs) {
            std::this_thread::sleep_for(
                std::chrono::microseconds(std::min<std::int64_t>(endUs - nowUs(), 2000)));
            m_state.waitWhileFrozen();
            if (!now.ignoreCancel && callerDisconnected())
                return false;
        }
        return true;
    }

    bool callerDisconnected()
    {
        pollfd watched { static_cast<int>(m_socket.impl()->sockfd()), POLLRDHUP, 0 };
        return ::poll(&watched, 1, 0) > 0
            && (watched.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
    }

    void sendSummary(net::HTTPServerRequest& request, net::HTTPServerResponse& response,
        const upload& received, const behaviour& now)
    {
        Poco::JSON::Object answer;
        answer.set("target", m_state.settings.id);
        answer.set("request_id", request.get("Pimentomast-Request-Id", ""));
        answer.set("method", request.getMethod());
        answer.set("path", request.getURI());
        answer.set("key_hash", request.get("Pimentomast-Key-Hash", ""));
        answer.set("caller", request.get("Pimentomast-Caller", ""));
        answer.set("bytes", received.bytes);
        answer.set("checksum", hex16(received.checksum));
        const std::string text = toJsonLine(answer);
        response.setContentType("application/json");
        const bool resets = m_state.controls.takeReset("during");
        if (now.unframed)
            response.setKeepAlive(false);
        else if (resets)
            response.setContentLength64(static_cast<Poco::Int64>(text.size()));
        if (resets) {
            response.send() << text.substr(0, text.size() / 2) << std::flush;
            throw reset_requested {};
        }
        if (now.unframed) {
            response.send() << text << std::flush;
            return;
        }
        sendText(response, 200, "application/json", text);
    }

    /// Sends a pattern of the given length, or the part that a Range field asks for.
    std::string sendExport(net::HTTPServerRequest& request, net::HTTPServerResponse& response,
        const Poco::URI& uri, std::uint64_t length)
    {
        const std::string tag = "\"pattern-" + std::to_string(length) + "\"";
        std::uint64_t begin = 0;
        const std::string range = request.get("Range", "");
        const bool current = request.get("If-Range", tag) == tag;
        if (range.starts_with("bytes=") && current) {
            begin = Poco::NumberParser::parseUnsigned64(range.substr(6, range.find('-') - 6));
            response.setStatusAndReason(net::HTTPResponse::HTTP_PARTIAL_CONTENT);
            response.set("Content-Range",
                "bytes " + std::to_string(begin) + "-" + std::to_string(length - 1) + "/"
                    + std::to_string(length));
        }
        response.set("ETag", tag);
        response.set("Accept-Ranges", "bytes");
        response.setContentType("application/octet-stream");
        if (parameter(uri, "chunked") == "1")
            response.setChunkedTransferEncoding(true);
        else
            response.setContentLength64(static_cast<Poco::Int64>(length - begin));
        return streamPattern(response, uri, begin, length);
    }

    std::string streamPattern(net::HTTPServerResponse& response, const Poco::URI& uri,
        std::uint64_t begin, std::uint64_t end)
    {
        constexpr std::uint64_t chunkBytes = 65536;
        const std::string pause = parameter(uri, "pause_ms");
        const bool resets = m_state.controls.takeReset("during");
        const std::uint64_t resetAt = begin + (end - begin) / 2;
        std::ostream& out = response.send();
        for (std::uint64_t at = begin; at < end && out.good(); at += chunkBytes) {
            if (resets && at >= resetAt)
                throw reset_requested {};
            out << patternBytes(at, std::min(chunkBytes, end - at));
            if (!pause.empty()) {
                out.flush();
                std::this_thread::sleep_for(
                    std::chrono::milliseconds(Poco::NumberParser::parse(pause)));
            }
            m_state.waitWhileFrozen();
        }
        out.flush();
        return out.good() ? "completed" : "cancelled";
    }

    target_state& m_state;
    net::StreamSocket m_socket;
};

} // namespace stand_in
