#pragma once

#include "record.h"
#include "store.h"

#include <array>
#include <functional>

/// A stand-in for an upstream of the platform.
namespace review {

struct upstream_options {
    std::string id;
    std::string service;
    std::string zone = "zone-a";
    unsigned capacity = 4;
    unsigned queue = 16;
    milliseconds work { 50 };
    bool isKeyed = false;
    /// 0 takes a free one.
    std::uint16_t port = 0;
    /// Called with each grant that is accepted.
    std::function<void(std::size_t from, std::size_t to, std::uint64_t fence)> onGrant {};
    /// Bytes sent where the answer to a request is expected, before it, if the connection has
    /// carried an answer. The argument is the number of answers that the upstream has given.
    std::function<std::string(std::size_t answers)> extraBytes {};
    /// Reads requests slowly or not at all, and the like: called before a request is run.
    std::function<void(const message& request)> beforeRun {};
};

/// Serves requests, and keys if it is keyed. Registers itself in the store while it lives.
class upstream_stand_in {
public:
    upstream_stand_in(upstream_options options, store_stand_in& store, record& seen);
    upstream_stand_in(const upstream_stand_in&) = delete;
    upstream_stand_in& operator=(const upstream_stand_in&) = delete;
    /// Leaves: the entry is removed, requests that run are answered.
    ~upstream_stand_in();

    /// Leaves the store, or only says that it is draining, but goes on serving.
    void leaveStore();
    void drain();
    /// Stops answering, as a crashed one: connections are reset and the entry stays.
    void crash();

    [[nodiscard]] std::uint16_t port() const noexcept { return m_port; }
    [[nodiscard]] const upstream_options& options() const noexcept { return m_options; }
    /// Goes dark, as one whose machine has lost power: nothing answers, no connection is made. The
    /// store removes the entry after three heartbeats.
    void goDark();

    /// Number of keys that it holds.
    [[nodiscard]] std::size_t heldKeys() const;
    [[nodiscard]] bool holds(unsigned key) const;

private:
    static constexpr std::size_t keyCount = 65536;

    struct key_state {
        std::uint64_t fence = 0;
        steady::time_point until {};
        unsigned running = 0;
    };

    void accept();
    void serve(socket_handle connection);
    void beat();
    void registerNow();
    [[nodiscard]] message answer(const message& request, const socket_handle& connection);
    [[nodiscard]] message grant(const std::string& body);
    [[nodiscard]] message release(const std::string& body);
    [[nodiscard]] message runRequest(const message& request, const socket_handle& connection);
    /// Returns whether there was room.
    [[nodiscard]] bool takeSlot(steady::time_point deadline);
    void freeSlot();

    upstream_options m_options;
    store_stand_in& m_store;
    record& m_record;
    socket_handle m_listener;
    std::uint16_t m_port = 0;
    std::int64_t m_born = 0;
    std::atomic<bool> m_stopped = false;
    std::atomic<bool> m_registered = true;
    std::atomic<bool> m_draining = false;
    std::atomic<bool> m_crashed = false;
    std::atomic<bool> m_dark = false;
    std::atomic<steady::time_point> m_darkSince {};
    /// Fill the queue of the listener of a dark upstream, so that the kernel drops what comes.
    std::vector<socket_handle> m_queued;
    std::atomic<unsigned> m_sequence = 0;
    std::atomic<std::size_t> m_answers = 0;
    mutable std::mutex m_lock;
    std::condition_variable m_slotFreed;
    unsigned m_running = 0;
    unsigned m_waiting = 0;
    std::vector<key_state> m_keys { keyCount };
    std::thread m_acceptor;
    std::thread m_heart;
    connection_threads m_threads;
};

} // namespace review
