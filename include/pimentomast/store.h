#pragma once

#include "pimentomast/core.h"

#include <memory>
#include <optional>
#include <variant>
#include <vector>

/// Client of the platform: table service, object store and list of hosts.
namespace pimentomast::store {

/// Unique id of one write, kept with the row, by which a lost reply is settled.
using write_id = strong<struct write_id_tag, std::string>;

struct row {
    std::string key;
    std::string value;
    row_version version;
    write_id writer;
};

struct write_accepted {
    row_version version;
};
/// Another write came first; the row as it stands, or nothing if it does not exist.
struct write_conflict {
    std::optional<row> current;
};
/// The write certainly had no effect.
struct write_refused {
    error cause;
};
/// The write may or may not have taken effect: the reply was lost. Read the row back to settle it.
struct write_unknown {
    error cause;
};
using write_outcome = std::variant<write_accepted, write_conflict, write_refused, write_unknown>;

enum class host_state {
    Live,
    Leaving,
};

/// One entry host as the platform lists it; the list lags.
struct listed_host {
    host_id id;
    domain_id domain;
    endpoint peers;
    host_state state = host_state::Live;
};

/// The platform's services. Each call blocks until it is answered or its timeout has passed.
/// Implementations are thread-safe.
class services {
public:
    virtual ~services() = default;

    /// Reads a row; an empty optional if it does not exist. Fails while the service is out.
    virtual result<std::optional<row>> read(const std::string& key) = 0;
    /// Writes a row if its version equals expected (0: only if absent).
    virtual write_outcome write(
        const std::string& key, row_version expected, const std::string& value, const write_id& id)
        = 0;
    /// Stores an immutable object; storing the same name and bytes again succeeds.
    virtual result<void> putObject(const std::string& name, const std::string& bytes) = 0;
    /// Reads an object; an empty optional if it does not exist.
    virtual result<std::optional<std::string>> getObject(const std::string& name) = 0;
    /// Returns the platform's list of hosts.
    virtual result<std::vector<listed_host>> hosts() = 0;
};

struct client_options {
    endpoint address;
    std::chrono::milliseconds timeout { 500 };
};

/// Returns a client of the platform's HTTP interface. Opens no connection yet.
[[nodiscard]] result<std::unique_ptr<services>> connect(const client_options& options);

/// Writes a row and settles a lost reply by reading the row back, never by writing again blindly.
/// Returns write_unknown only if the row could not be read back either. Thread-safe.
[[nodiscard]] write_outcome writeSettled(services& platform, const std::string& key,
    row_version expected, const std::string& value, const write_id& id);

/// Returns a write id that no other write has. Thread-safe.
[[nodiscard]] write_id newWriteId();

} // namespace pimentomast::store
