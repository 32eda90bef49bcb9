#include "pimentomast/http.h"

#include "helper/cut-link.h"
#include "helper/invalid-fields.h"
#include "helper/scripted-server.h"
#include "http/answer-reader.h"

#include <criterion/criterion.h>
#include <future>
#include <sys/resource.h>
#include <unistd.h>

using namespace pimentomast;
using namespace std::chrono_literals;
using test::readRequest;
using test::scripted_server;
using test::write;

namespace {

constexpr std::chrono::milliseconds timeout { 3000 };
const http::request get { "GET", "/", "", "" };

/// Writes the text again and again until the client closes the connection; returns the number of
/// bytes that were written, at most most.
std::size_t writeWithoutEnd(
    Poco::Net::StreamSocket& socket, const std::string& text, std::size_t most)
{
    std::size_t written = 0;
    try {
        for (; written < most; written += text.size())
            write(socket, text);
    } catch (const Poco::Exception&) {
        return written;
    }
    return written;
}

bool isNoAnswer(const http::outcome& outcome)
{
    return std::holds_alternative<http::no_answer>(outcome);
}

bool isAnswer(const http::outcome& outcome, const std::string& body)
{
    const auto* answer = std::get_if<http::answer>(&outcome);
    return answer && answer->body == body;
}

enum class ending { Close, Reset };

/// Returns what clients make of the first bytes of an answer, then the end of the connection; the
/// index is the number of bytes.
std::vector<http::outcome> outcomesOfParts(
    const std::string& whole, std::size_t parts, ending after)
{
    scripted_server server([&](auto& socket, int number) {
        readRequest(socket);
        write(socket, whole.substr(0, static_cast<std::size_t>(number)));
        if (after == ending::Reset)
            socket.setLinger(true, 0);
        socket.close();
    });
    std::vector<http::outcome> outcomes;
    while (outcomes.size() < parts)
        outcomes.push_back(http::client({ server.address(), test::waitTimeout }).sendOnce(get));
    return outcomes;
}

/// What the buffers of both sockets may hold beyond what the client reads.
constexpr std::size_t socketBytes = 16U << 20U;
constexpr std::size_t endlessBytes = 256U << 20U;

} // namespace

Test(http, answer_that_keeps_arriving_may_take_longer_than_the_timeout)
{
    scripted_server server([](auto& socket, int) {
        readRequest(socket);
        write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n");
        for (const char* piece : { "a", "b", "c", "d", "e" }) {
            std::this_thread::sleep_for(timeout / 4);
            write(socket, piece);
        }
    });
    http::client client({ server.address(), timeout });
    auto patient = get;
    patient.bodyTimeout = test::waitTimeout;
    cr_assert(isAnswer(client.sendOnce(patient), "abcde"));
    cr_assert(std::holds_alternative<http::no_answer>(client.sendOnce(get)));
}

Test(http, answer_that_falls_silent_is_given_up_after_the_timeout)
{
    std::promise<void> finish;
    auto finished = finish.get_future().share();
    scripted_server server([finished](auto& socket, int) {
        readRequest(socket);
        write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab");
        finished.wait();
    });
    http::client client({ server.address(), 200ms });
    auto patient = get;
    patient.bodyTimeout = test::waitTimeout;
    const auto started = monotonic_clock::now();
    const auto outcome = client.sendOnce(patient);
    finish.set_value();
    cr_assert(std::holds_alternative<http::no_answer>(outcome));
    cr_assert_lt(
        (monotonic_clock::now() - started).count(), duration(test::waitTimeout).count() / 2);
}

// A grant arrived after its target had been cut off, seconds after its call had timed out.
Test(http, call_that_timed_out_does_not_arrive_after_a_cut)
{
    std::promise<void> timedOut;
    std::promise<bool> arrived;
    scripted_server server([&](auto& socket, int) {
        readRequest(socket);
        {
            const test::cut_link cut(socket);
            write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1");
            timedOut.get_future().wait();
            std::this_thread::sleep_for(1s);
        }
        // Retransmissions of the call would follow within the next pause between them.
        socket.setReceiveTimeout(Poco::Timespan(3, 0));
        char byte = 0;
        try {
            arrived.set_value(socket.receiveBytes(&byte, 1) > 0);
        } catch (const Poco::Exception&) {
            arrived.set_value(false);
        }
    });
    http::client client({ server.address(), test::waitTimeout });
    cr_assert(isAnswer(client.sendOnce(get), "1"));
    http::request grant { "POST", "/grant", "", "1" };
    grant.timeout = 300ms;
    cr_assert(isNoAnswer(client.sendOnce(grant)));
    timedOut.set_value();
    cr_assert_not(arrived.get_future().get());
}

// A proxy on the way passes on what was followed by an orderly end.
Test(http, call_that_timed_out_ends_with_a_reset)
{
    std::promise<bool> wasReset;
    scripted_server server([&](auto& socket, int) {
        readRequest(socket);
        try {
            char byte = 0;
            wasReset.set_value(socket.receiveBytes(&byte, 1) < 0);
        } catch (const Poco::Exception&) {
            wasReset.set_value(true);
        }
    });
    http::client client({ server.address(), 200ms });
    cr_assert(isNoAnswer(client.sendOnce(get)));
    cr_assert(wasReset.get_future().get());
}

Test(http, call_whose_time_is_over_is_not_sent)
{
    std::atomic<int> requests { 0 };
    scripted_server server([&](auto& socket, int) {
        while (!readRequest(socket).empty()) {
            ++requests;
            write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1");
        }
    });
    http::client client({ server.address(), test::waitTimeout });
    cr_assert(isAnswer(client.sendOnce(get), "1"));
    auto late = get;
    late.timeout = 0ms;
    cr_assert(std::holds_alternative<http::not_sent>(client.sendOnce(late)));
    cr_assert(isAnswer(client.sendOnce(get), "1"));
    cr_assert_eq(requests, 2);
}

Test(http, head_without_end_is_given_up_in_bounded_memory)
{
    std::promise<std::size_t> written;
    scripted_server server([&](auto& socket, int) {
        readRequest(socket);
        write(socket, "HTTP/1.1 200 OK\r\n");
        written.set_value(
            writeWithoutEnd(socket, "X-More: " + std::string(4000, 'x') + "\r\n", endlessBytes));
    });
    http::client client({ server.address(), test::waitTimeout });
    cr_assert(std::holds_alternative<http::no_answer>(client.sendOnce(get)));
    cr_assert_lt(written.get_future().get(), socketBytes);
}

Test(http, body_without_end_is_given_up_in_bounded_memory)
{
    std::promise<std::size_t> written;
    scripted_server server([&](auto& socket, int) {
        readRequest(socket);
        write(socket, "HTTP/1.1 200 OK\r\n\r\n");
        written.set_value(writeWithoutEnd(socket, std::string(4096, 'x'), endlessBytes));
    });
    http::client client({ server.address(), test::waitTimeout, 65536 });
    cr_assert(std::holds_alternative<http::no_answer>(client.sendOnce(get)));
    cr_assert_lt(written.get_future().get(), socketBytes);
}

Test(http, answer_beyond_the_awaited_one_is_not_taken_for_the_next)
{
    std::vector<Poco::Net::StreamSocket> keptOpen;
    scripted_server server([&](auto& socket, int number) {
        keptOpen.push_back(socket);
        readRequest(socket);
        const std::string own
            = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n" + std::to_string(number);
        write(socket, own + "HTTP/1.1 409 Conflict\r\nContent-Length: 1\r\n\r\nx");
    });
    http::client client({ server.address(), test::waitTimeout });
    cr_assert(isAnswer(client.sendOnce(get), "0"));
    cr_assert(isAnswer(client.sendOnce(get), "1"));
}

Test(http, call_on_a_kept_connection_needs_no_further_descriptor)
{
    scripted_server server([](auto& socket, int) {
        while (!readRequest(socket).empty())
            write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1");
    });
    http::client client({ server.address(), test::waitTimeout });
    cr_assert(isAnswer(client.sendOnce(get), "1"));
    const int next = ::dup(STDIN_FILENO);
    ::close(next);
    const rlimit noMore { static_cast<rlim_t>(next), static_cast<rlim_t>(next) };
    cr_assert_eq(::setrlimit(RLIMIT_NOFILE, &noMore), 0);
    cr_assert(isAnswer(client.sendOnce(get), "1"));
}

Test(http, answer_that_is_cut_at_any_byte_is_never_taken_for_whole)
{
    for (const std::string& whole : { std::string("HTTP/1.1 200 OK\r\nX-Range: 12\r\n"
                                                  "Content-Length: 13\r\n\r\n{\"version\":1}"),
             std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                         "5\r\ngoats\r\na\r\n0123456789\r\n0\r\nX-End: 1\r\n\r\n"),
             std::string("HTTP/1.1 100 Continue\r\n\r\n"
                         "HTTP/1.1 409 Conflict\r\nContent-Length: 2\r\n\r\nno"),
             std::string("HTTP/1.1 204 No Content\r\nX-Revision: 12\r\n\r\n") }) {
        for (const auto after : { ending::Close, ending::Reset }) {
            const auto outcomes = outcomesOfParts(whole, whole.size(), after);
            for (std::size_t bytes = 0; bytes < outcomes.size(); ++bytes)
                cr_expect(
                    isNoAnswer(outcomes[bytes]), "the first %zu bytes of %s", bytes, whole.c_str());
        }
    }
}

// The end of an empty answer in chunks ended the process when it came in three pieces.
Test(http, answer_that_comes_byte_by_byte_is_read)
{
    for (const std::string body : { "", "5\r\ngoats\r\n" }) {
        const std::string whole
            = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + body + "0\r\n\r\n";
        http::detail::answer_reader reader("GET", 1000);
        for (const char byte : whole) {
            cr_assert_not(reader.done());
            reader.put({ &byte, 1 });
        }
        cr_assert(reader.done());
        cr_assert_eq(reader.take().body, body.empty() ? "" : "goats");
    }
}

Test(http, answer_without_a_length_is_whole_only_after_its_head_and_an_orderly_close)
{
    const std::string head = "HTTP/1.1 200 OK\r\nX-Revision: 12\r\n\r\n";
    const auto closed = outcomesOfParts(head + "goats", head.size() + 6, ending::Close);
    for (std::size_t bytes = 0; bytes < head.size(); ++bytes)
        cr_expect(isNoAnswer(closed[bytes]), "the first %zu bytes", bytes);
    cr_assert(isAnswer(closed.back(), "goats"));
    for (const auto& outcome : outcomesOfParts(head + "goats", head.size() + 6, ending::Reset))
        cr_expect(isNoAnswer(outcome));
}

// Answers to grants, of the store and to probes are read here.
Test(http, answer_with_a_status_that_is_not_one_of_http_is_no_answer)
{
    for (const std::string status :
        { "000", "099", "101", "600", "999", "abc", "20", "2000", "-20", "" }) {
        const std::string whole = "HTTP/1.1 " + status + " Odd\r\nContent-Length: 2\r\n\r\n{}";
        for (const std::string before : { "", "HTTP/1.1 103 Early Hints\r\n\r\n" }) {
            scripted_server server([&](auto& socket, int) {
                readRequest(socket);
                write(socket, before + whole);
            });
            http::client client({ server.address(), test::waitTimeout });
            cr_expect(isNoAnswer(client.sendOnce(get)), "%s", (before + whole).c_str());
        }
    }
}

Test(http, answer_with_an_invalid_field_name_is_no_answer)
{
    const std::string whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
    const std::vector<std::pair<std::string, std::string>> startsAndRests {
        { "HTTP/1.1 200 OK\r\nX-More: 1\r\n", "\r\nContent-Length: 2\r\n\r\n{}" },
        { "HTTP/1.1 200 OK\r\nX-More: 1\r\n", "\r\n\r\n{}" },
        { "HTTP/1.1 103 Early Hints\r\nX-More: 1\r\n", "\r\n\r\n" + whole },
    };
    for (const auto& line : test::invalidFieldLines()) {
        for (const auto& [start, rest] : startsAndRests) {
            std::string bytes = start;
            bytes += line;
            bytes += rest;
            scripted_server server([&](auto& socket, int) {
                readRequest(socket);
                write(socket, bytes);
            });
            http::client client({ server.address(), test::waitTimeout });
            cr_expect(isNoAnswer(client.sendOnce(get)), "%s", test::shown(bytes).c_str());
        }
    }
}

Test(http, folded_field_is_refused_however_it_arrives)
{
    const std::string folded = "HTTP/1.1 200 OK\r\nX-More: 1\r\n Content-Length: 2\r\n\r\n";
    const auto takesAll = [&] {
        http::detail::answer_reader reader("GET", 1000);
        for (const char byte : folded)
            reader.put({ &byte, 1 });
    };
    cr_assert_throw(takesAll(), Poco::Exception);
}

// The send of a body takes the reset, after which a read would look like an orderly end.
Test(http, answer_whose_reset_is_met_by_the_send_is_no_answer)
{
    for (const std::string answer : { "HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\n{}" }) {
        scripted_server server([&](auto& socket, int) {
            readRequest(socket);
            write(socket, answer);
            socket.setLinger(true, 0);
            socket.close();
        });
        http::client client({ server.address(), test::waitTimeout });
        const http::request put { "PUT", "/", "", std::string(socketBytes, 'x') };
        cr_expect(isNoAnswer(client.sendOnce(put)), "%s", answer.c_str());
    }
}

Test(http, interim_answers_without_end_are_given_up_at_the_deadline)
{
    scripted_server server([](auto& socket, int) {
        readRequest(socket);
        writeWithoutEnd(socket, "HTTP/1.1 100 Continue\r\n\r\n", std::size_t { 1 } << 40U);
    });
    http::client client({ server.address(), 300ms });
    const auto started = monotonic_clock::now();
    cr_assert(std::holds_alternative<http::no_answer>(client.sendOnce(get)));
    cr_assert_lt(
        (monotonic_clock::now() - started).count(), duration(test::waitTimeout).count() / 2);
}

Test(http, late_look_at_an_answer_that_has_arrived_is_no_timeout)
{
    http::detail::late_reads reads;
    cr_assert(reads.allow(true));
    cr_assert_not(reads.allow(false));
    constexpr int endless = 1000;
    int more = 0;
    while (more < endless && reads.allow(true))
        ++more;
    cr_assert_lt(more, endless);
}
