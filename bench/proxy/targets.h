#pragma once

#include <cstdint>
#include <vector>

/// The targets of the benchmark: processes that answer with as little work as a target can do.
namespace bench {

using ports = std::vector<std::uint16_t>;

[[nodiscard]] int listenOnFreePort(std::uint16_t& port);
void setNoDelay(int socket);
/// Serves all listeners, a thread for each connection.
[[noreturn]] void runTargets(const std::vector<int>& listeners);

} // namespace bench
