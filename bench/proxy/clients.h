#pragma once

#include "targets.h"

/// The clients of the benchmark: connections that send requests at a fixed rate, or each as soon as
/// the previous one is answered.
namespace bench {

struct load {
    unsigned connections = 64;
    unsigned threads = 2;
    unsigned seconds = 5;
    /// Requests per second of all connections together; 0: as many as possible.
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

/// Sends the load, with its connections spread round robin over the servers.
[[nodiscard]] load_result measure(const load& sent, const ports& servers);

} // namespace bench
