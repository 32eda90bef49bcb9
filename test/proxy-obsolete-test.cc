#include "helper/scripted-target.h"

#include <criterion/criterion.h>

using namespace pimentomast;
using namespace pimentomast::test;

namespace {

std::string get(const std::string& path, const std::string& fields = {})
{
    return "GET /weights/" + path + " HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n";
}

/// A proxy with one worker, which the request `first` occupies until release().
class occupied_proxy {
public:
    occupied_proxy()
    {
        m_first.send(get("first"));
        cr_assert(waitUntil([this] { return m_target.heads().size() == 1; }));
    }

    [[nodiscard]] raw_connection connect() const { return raw_connection(m_host.address()); }

    /// Waits until the proxy has dispatched so many requests.
    void waitForDispatched(std::size_t count)
    {
        cr_assert(waitUntil([&] { return m_host.dispatcher.waiting().size() == count; }));
    }

    void release() { m_first.close(); }

    /// Returns whether the target was sent a request for the path before one for `last`, which is
    /// sent now.
    bool wasSent(const std::string& path)
    {
        raw_connection last(m_host.address());
        last.send(get("last"));
        cr_assert(waitUntil([&] { return reached("last"); }));
        return reached(path);
    }

private:
    static proxy::options settings()
    {
        proxy::options settings;
        settings.workers = 1;
        settings.contract.deadline = "X-Left";
        settings.contract.callersStateDeadline = true;
        return settings;
    }

    bool reached(const std::string& path)
    {
        const auto heads = m_target.heads();
        return std::any_of(heads.begin(), heads.end(),
            [&](const auto& head) { return head.starts_with("GET /weights/" + path + " "); });
    }

    scripted_target m_target { {} };
    proxy_fixture m_host { { m_target.destination() }, 1, settings() };
    raw_connection m_first { m_host.address() };
};

} // namespace

Test(proxy_obsolete, request_whose_caller_left_while_it_waited_for_a_worker_is_not_sent)
{
    occupied_proxy host;
    {
        auto leaving = host.connect();
        leaving.send(get("obsolete"));
        host.waitForDispatched(2);
        leaving.close();
    }
    host.release();
    cr_assert_not(host.wasSent("obsolete"));
}

Test(proxy_obsolete, request_whose_deadline_passed_while_it_waited_for_a_worker_is_not_sent)
{
    occupied_proxy host;
    auto caller = host.connect();
    caller.send(get("obsolete", "X-Left: 20\r\n"));
    host.waitForDispatched(2);
    std::this_thread::sleep_for(milliseconds(60));
    host.release();
    cr_assert_not(host.wasSent("obsolete"));
}
