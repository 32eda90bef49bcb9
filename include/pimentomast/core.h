#pragma once

#include <boost/outcome/basic_result.hpp>
#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// Identifiers, units, time and errors that every library shares.
///
/// Every type here is a value: concurrent reads are safe, concurrent writes to one object are not.
namespace pimentomast {

/// Strong typedef: a value of type Rep that is only comparable with values of the same Tag.
template <class Tag, class Rep>
class strong {
public:
    using rep = Rep;

    constexpr strong() = default;
    constexpr explicit strong(Rep value)
        : m_value(std::move(value))
    {
    }

    [[nodiscard]] constexpr const Rep& value() const noexcept { return m_value; }
    auto operator<=>(const strong&) const = default;

    friend std::ostream& operator<<(std::ostream& out, const strong& id)
    {
        return out << id.m_value;
    }

private:
    Rep m_value {};
};

using host_id = strong<struct host_tag, std::string>;
using target_id = strong<struct target_tag, std::string>;
using service_id = strong<struct service_tag, std::string>;
using caller_id = strong<struct caller_tag, std::string>;
using domain_id = strong<struct domain_tag, std::string>;

/// Identifies one run of a process; a restarted process has another.
using incarnation = strong<struct incarnation_tag, std::uint64_t>;
/// Counts the coordinators of a service; each takeover raises it by one.
using epoch = strong<struct epoch_tag, std::uint64_t>;
/// Orders assignments and messages within an epoch.
using sequence = strong<struct sequence_tag, std::uint64_t>;
/// Orders the accepted versions of the operators' table.
using config_version = strong<struct config_version_tag, std::uint64_t>;
/// Version of a row in the platform's table service; 0 means that the row does not exist.
using row_version = strong<struct row_version_tag, std::uint64_t>;
/// Position of a key in the 64-bit hash space.
using key_hash = strong<struct key_hash_tag, std::uint64_t>;

/// Returns the XXH3 64-bit hash of the key.
[[nodiscard]] key_hash hashKey(std::string_view key) noexcept;

/// Clock that never goes back and also runs while the machine is suspended (CLOCK_BOOTTIME).
struct monotonic_clock {
    using duration = std::chrono::microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<monotonic_clock>;
    static constexpr bool isSteady = true;

    /// Returns the current time. Thread-safe.
    [[nodiscard]] static time_point now() noexcept;
};

using instant = monotonic_clock::time_point;
using duration = monotonic_clock::duration;

/// Inclusive range of key hashes.
struct slice {
    key_hash first;
    key_hash last;

    [[nodiscard]] constexpr bool contains(key_hash hash) const noexcept
    {
        return first <= hash && hash <= last;
    }
    auto operator<=>(const slice&) const = default;
};

/// Returns whether the ranges share a hash. Thread-safe.
[[nodiscard]] bool overlap(const slice& left, const slice& right) noexcept;
/// Returns the intersection of the ranges. Precondition: they overlap. Thread-safe.
[[nodiscard]] slice intersection(const slice& left, const slice& right) noexcept;
/// Returns the parts of the range that are in none of the holes, in order if the holes are.
/// Thread-safe.
[[nodiscard]] std::vector<slice> subtract(const slice& range, const std::vector<slice>& holes);
/// Merges adjacent ranges. Precondition: the ranges are sorted and do not overlap. Thread-safe.
[[nodiscard]] std::vector<slice> mergeAdjacent(const std::vector<slice>& sorted);

/// Fencing token of a grant: a grant with a higher token supersedes one with a lower token.
struct token {
    epoch coordinator;
    sequence assignment;

    auto operator<=>(const token&) const = default;
};

/// TCP endpoint by IP number.
struct endpoint {
    std::string ip;
    std::uint16_t port = 0;

    /// Returns "ip:port".
    [[nodiscard]] std::string text() const;
    auto operator<=>(const endpoint&) const = default;
};

/// Describes a failure: the operation, the peer that it involved, and the reason.
struct error {
    std::string step;
    std::string peer;
    std::string reason;

    /// Returns "step (peer): reason".
    [[nodiscard]] std::string text() const;
    bool operator==(const error&) const = default;
};

/// Exception that carries an error.
class failure : public std::runtime_error {
public:
    explicit failure(error cause);
    [[nodiscard]] const error& cause() const noexcept { return m_cause; }

private:
    error m_cause;
};

namespace detail {
struct throw_failure : boost::outcome_v2::policy::base {
    template <class Impl>
    static constexpr void wide_value_check(Impl&& self)
    {
        if (!base::_has_value(std::forward<Impl>(self)))
            throw failure(base::_error(std::forward<Impl>(self)));
    }
    template <class Impl>
    static constexpr void wide_error_check(Impl&& self)
    {
        if (!base::_has_error(std::forward<Impl>(self)))
            throw std::logic_error("result holds a value, not an error");
    }
};
} // namespace detail

/// A value or an error; value() throws failure if there is no value.
template <class T>
using result = boost::outcome_v2::basic_result<T, error, detail::throw_failure>;

/// Combines several function objects into one visitor.
template <class... Handlers>
struct overloaded : Handlers... {
    using Handlers::operator()...;
};
template <class... Handlers>
overloaded(Handlers...) -> overloaded<Handlers...>;

} // namespace pimentomast

template <class Tag, class Rep>
struct std::hash<pimentomast::strong<Tag, Rep>> {
    std::size_t operator()(const pimentomast::strong<Tag, Rep>& id) const noexcept
    {
        return std::hash<Rep> {}(id.value());
    }
};
