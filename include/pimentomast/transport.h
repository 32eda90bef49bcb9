#pragma once

#include <Poco/Net/StreamSocket.h>
#include <chrono>

/// How the TCP connections that a host opens end, and what may still arrive after that. All that
/// opens a connection over POCO uses it: calls to stores and targets, callers' requests to targets,
/// and probes.
///
/// An ordinary close() leaves it to the kernel, or to a proxy on the way, to deliver what the peer
/// has not received, and that goes on for minutes, also after the end of the process. What was sent
/// before a link was cut can so arrive after the cut, long after its call was given up. A prepared
/// connection is reset instead, by reset() or by the end of the process, and nothing that was sent
/// on it arrives more than maxTransit later.
///
/// A peer whose program works for long still acknowledges; one that is cut off, or whose connection
/// has gone silent, does not. On a prepared connection without traffic the kernel asks for a sign
/// of life after silenceInterval, and fails the connection after two more intervals without one.
namespace pimentomast::transport {

/// Time without traffic after which the kernel asks the peer for a sign of life, and between two
/// such probes.
inline constexpr std::chrono::seconds silenceInterval { 1 };

/// Time after which a peer that acknowledges nothing counts as lost.
inline constexpr std::chrono::milliseconds silenceLimit { 2500 };

/// Longest time for which data may be under way after its sender has dropped it.
inline constexpr std::chrono::milliseconds maxTransit { 50 };

/// Sets the options of a connection that has just been opened. Throws a Poco exception if the
/// kernel refuses one. Preconditions: the socket is connected, and nothing has been sent on it.
/// Thread-safe for different connections.
void prepare(Poco::Net::StreamSocket& opened);

/// Bounds the time in which the kernel tries to deliver what is sent from now on, also while the
/// process stands still. When it is over, the data is dropped and the connection fails, even if the
/// peer lives and only reads nothing. Throws a Poco exception if the kernel refuses. Preconditions:
/// the connection is prepared, and the limit is positive. Thread-safe for different connections.
void limitDelivery(Poco::Net::StreamSocket& connection, std::chrono::milliseconds limit);

/// Returns whether data awaits its acknowledgement and the peer has acknowledged nothing for
/// silenceLimit, not even that it can't take more. False if the kernel does not tell. Precondition:
/// nothing was sent in that time. Thread-safe for different connections.
[[nodiscard]] bool isSilent(const Poco::Net::StreamSocket& connection) noexcept;

/// Returns whether the peer has ended its sending in order and the connection has not failed since.
/// A read that returns the end of the stream doesn't show that: it returns it too once an error was
/// reported to another call, or once the receiving side was shut down here. False if the kernel
/// does not tell. Precondition: the sending side was not shut down here. Thread-safe for different
/// connections.
[[nodiscard]] bool hasPeerFinished(const Poco::Net::StreamSocket& connection) noexcept;

/// Ends a prepared connection with a reset, which drops what has not arrived. Does nothing if it is
/// closed already. Thread-safe for different connections.
void reset(Poco::Net::StreamSocket& connection) noexcept;

/// Ends a prepared connection in order. Does nothing if it is closed already. Precondition: every
/// request that was sent on it has been answered. Thread-safe for different connections.
void closeIdle(Poco::Net::StreamSocket& connection) noexcept;

} // namespace pimentomast::transport
