#pragma once

#include "targets.h"

/// The clients of the benchmark: connections that send requests at set times or as fast as they are
/// answered.
namespace bench {

struct load {
    unsigned connections = 64;
    unsigned threads = 2;
    unsigned seconds = 5;
    /// Requests in a second, all connections together; 0: as many as they can carry.
    double rate = 0;
};

struct load_result {
    double perSecond = 0;
    double p50Us = 0;
    double p99Us = 0;
    double p999Us = 0;
    std::uint64_t requests = 0;
    std::uint64_t wrong = 0;
};

/// Sends the load to the servers by turns.
[[nodiscard]] load_result measure(const load& sent, const ports& servers);

} // namespace bench
