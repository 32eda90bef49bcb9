#pragma once

#include "pimentomast/http.h"
#include "pimentomast/http_parser.h"

#include <boost/beast/http/string_body.hpp>
#include <string_view>

namespace pimentomast::http::detail {

/// Reads of an answer whose time is over. What has arrived is still read, since a busy host may
/// only be late to look, but not without end.
class late_reads {
public:
    /// Returns whether to read once more.
    [[nodiscard]] bool allow(bool hasArrived) { return hasArrived && ++m_count <= maxCount; }

private:
    static constexpr unsigned maxCount = 16;

    unsigned m_count = 0;
};

/// Decodes the answer to one request. Not thread-safe.
class answer_reader {
public:
    /// `method` is the method of the request, `maxBodyBytes` the longest body accepted.
    answer_reader(const std::string& method, std::size_t maxBodyBytes);

    /// Decodes the next bytes. Throws Poco::Net::MessageException if they are no answer or exceed a
    /// limit.
    void put(std::string_view bytes);
    /// Takes note of the orderly end of the connection. Throws Poco::Net::MessageException unless
    /// the answer is whole.
    void end();

    [[nodiscard]] bool headDone() const { return m_parser->is_header_done(); }
    [[nodiscard]] bool done() const { return m_parser->is_done(); }
    /// Returns whether another request may be sent on the connection. Precondition: done().
    [[nodiscard]] bool reusable() const { return m_input.empty() && m_parser->keep_alive(); }
    /// Returns the answer. Precondition: done().
    [[nodiscard]] answer take();

private:
    using parser = http_parser::incremental_parser<false, boost::beast::http::string_body>;

    void startMessage();
    void decode();
    void checkHead() const;
    [[nodiscard]] bool isInterim() const;

    bool m_hasNoBody;
    std::size_t m_maxBodyBytes;
    std::unique_ptr<parser> m_parser;
    /// Bytes that have not been decoded.
    std::string m_input;
};

} // namespace pimentomast::http::detail
