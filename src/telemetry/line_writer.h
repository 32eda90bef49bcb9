#pragma once

#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/frontend_requirements.hpp>
#include <cstdint>
#include <string>

namespace pimentomast::telemetry::detail {

/// Writes complete lines to a file descriptor and drops those that it cannot write without
/// blocking. Not thread-safe, except for takeDroppedCount().
class line_writer {
public:
    /// Opens the file for appending, or standard output if the path is empty. Throws failure if the
    /// file cannot be opened.
    [[nodiscard]] static line_writer open(const std::string& path);

    /// Precondition: the line has no line ending.
    void write(std::string line);

    /// Returns the number of lines dropped since the last call, and resets it, if the descriptor is
    /// ready for writing; otherwise returns 0. Thread-safe.
    [[nodiscard]] std::uint64_t takeDroppedCount() const noexcept;

private:
    explicit line_writer(int descriptor)
        : m_descriptor(descriptor)
    {
    }

    /// Stays open until the process exits.
    int m_descriptor;
};

/// Boost.Log sink backend that passes formatted records to a line_writer.
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
