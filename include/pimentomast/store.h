#pragma once

#include "pimentomast/core.h"

#include <memory>
#include <optional>
#include <variant>
#include <vector>

/// Client of the platform: table service, object store and list of hosts.
namespace pimentomast::store {

/// Unique id of one write. It is stored with the row, so that a read after a lost reply shows
/// whether the write took effect.
using write_id = strong<struct write_id_tag, std::string>;

/// Number of low bits of a version that count the writes of the store. The bits above them are the
/// era: the store raises it each time it comes back from an older copy of its data, so that every
/// version of a later era is higher, although the count went back.
inline constexpr unsigned versionBits = 48;

[[nodiscard]] constexpr std::uint64_t eraOf(row_version version) noexcept
{
    return version.value() >> versionBits;
}

/// The era of the store as known here.
struct era_state {
    std::uint64_t era = 0;
    /// How often a later era was found.
    std::uint64_t rises = 0;
};

struct row {
    std::string key;
    std::string value;
    row_version version;
    write_id writer;
};

struct write_accepted {
    row_version version;
};
/// The row has another version than expected; current is empty if it does not exist.
struct write_conflict {
    std::optional<row> current;
};
/// The write certainly had no effect.
struct write_refused {
    error cause;
};
/// The reply was lost: the write may or may not have taken effect. Read the row to find out.
struct write_unknown {
    error cause;
};
using write_outcome = std::variant<write_accepted, write_conflict, write_refused, write_unknown>;

enum class host_state {
    Live,
    Leaving,
};

/// One entry host in the platform's list, which lags behind.
struct listed_host {
    host_id id;
    domain_id domain;
    endpoint peers;
    host_state state = host_state::Live;
    /// Processor time that the host may use, in thousandths of a core; 0 if the list does not say.
    unsigned millicores = 0;
};

/// The platform's services. Each call blocks until it is answered or its timeout has passed.
/// Implementations are thread-safe.
class services {
public:
    virtual ~services() = default;

    /// Reads a row; an empty optional if it does not exist. Fails while the service is unavailable.
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
    /// Returns the newest era known; does not block. Stays 0 for a store without eras.
    [[nodiscard]] virtual era_state era() const { return {}; }
};

struct client_options {
    endpoint address;
    std::chrono::milliseconds timeout { 500 };
};

/// Returns a client of the platform's HTTP interface. Opens no connection yet.
[[nodiscard]] result<std::unique_ptr<services>> connect(const client_options& options);

/// Writes a row. After a lost reply it reads the row to find out whether the write took effect, and
/// retries only if the row is unchanged. Returns write_unknown if the row cannot be read, if it was
/// written again since, or if the outcome of the last attempt is unknown. Thread-safe.
[[nodiscard]] write_outcome writeSettled(services& platform, const std::string& key,
    row_version expected, const std::string& value, const write_id& id);

/// Returns a write id that no other write has. Thread-safe.
[[nodiscard]] write_id newWriteId();

} // namespace pimentomast::store
