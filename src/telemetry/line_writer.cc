#include "line_writer.h"

#include "pimentomast/core.h"

#include <atomic>
#include <cerrno>
#include <climits>
#include <fcntl.h>
#include <poll.h>
#include <unistd.h>

namespace pimentomast::telemetry::detail {
namespace {

/// A pipe that is ready for writing accepts up to PIPE_BUF bytes at once, without blocking.
constexpr std::size_t maxLineBytes = PIPE_BUF;
constexpr mode_t logFileMode = 0644;

std::atomic<std::uint64_t> droppedLines { 0 };

bool hasRoom(int descriptor)
{
    pollfd watched { descriptor, POLLOUT, 0 };
    return ::poll(&watched, 1, 0) == 1 && (watched.revents & POLLOUT) != 0;
}

} // namespace

line_writer line_writer::open(const std::string& path)
{
    if (path.empty())
        return line_writer(STDOUT_FILENO);
    const int descriptor
        = ::open(path.c_str(), O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, logFileMode);
    if (descriptor < 0)
        throw failure({ "open log file", path, "cannot open the file for appending" });
    return line_writer(descriptor);
}

void line_writer::write(std::string line)
{
    if (line.size() >= maxLineBytes)
        line.resize(maxLineBytes - 1);
    line += '\n';
    const bool complete = hasRoom(m_descriptor)
        && ::write(m_descriptor, line.data(), line.size()) == static_cast<ssize_t>(line.size());
    if (!complete)
        ++droppedLines;
}

std::uint64_t line_writer::takeDroppedCount() const noexcept
{
    return droppedLines > 0 && hasRoom(m_descriptor) ? droppedLines.exchange(0) : 0;
}

} // namespace pimentomast::telemetry::detail
