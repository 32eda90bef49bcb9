#pragma once

#include <cstdint>
#include <vector>

/// The targets of the benchmark; they answer with as little work as possible.
namespace bench {

using ports = std::vector<std::uint16_t>;

[[nodiscard]] int listenOnFreePort(std::uint16_t& port);
void setNoDelay(int socket);
/// Serves all listeners, with one thread per connection.
[[noreturn]] void runTargets(const std::vector<int>& listeners);

} // namespace bench
