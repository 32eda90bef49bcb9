#pragma once

#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/frontend_requirements.hpp>
#include <cstdint>
#include <string>

namespace pimentomast::telemetry::detail {

/// Writes whole lines to a descriptor, or leaves them out if that would have to wait.
/// Not thread-safe, but for takeLeftOut().
class line_writer {
public:
    /// Opens the file for appending; empty: standard output. Throws failure if it cannot be opened.
    [[nodiscard]] static line_writer open(const std::string& path);

    /// Precondition: the line has no line ending.
    void write(std::string line);

    /// Returns how many lines were left out since the last call, if there is room to say so; 0
    /// otherwise. Thread-safe.
    [[nodiscard]] std::uint64_t takeDroppedCount() const noexcept;

private:
    explicit line_writer(int descriptor)
        : m_descriptor(descriptor)
    {
    }

    /// Open for the life of the process, as its log is.
    int m_descriptor;
};

/// What Boost.Log writes its lines to.
class line_backend : public boost::log::sinks::basic_formatted_sink_backend<char,
                         boost::log::sinks::synchronized_feeding> {
public:
    explicit line_backend(line_writer writer)
        : m_writer(writer)
    {
    }

    void consume(const boost::log::record_view&, const string_type& line) { m_writer.write(line); }
    [[nodiscard]] std::uint64_t takeDroppedCount() const noexcept
    {
        return m_writer.takeDroppedCount();
    }

private:
    line_writer m_writer;
};

} // namespace pimentomast::telemetry::detail
