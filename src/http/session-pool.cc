#include "session-pool.h"

#include "pimentomast/transport.h"

#include <poll.h>

namespace pimentomast::http::detail {

namespace {
Poco::Timespan timespan(std::chrono::milliseconds span)
{
    return Poco::Timespan(std::chrono::microseconds(span).count());
}
} // namespace

session::session(const endpoint& address)
    : HTTPClientSession(address.ip, address.port)
{
    setKeepAlive(true);
}

session::~session()
{
    if (m_isIdle)
        transport::closeIdle(socket());
    else
        transport::reset(socket());
}

void session::open(std::chrono::milliseconds timeout)
{
    setTimeout(timespan(timeout));
    reconnect();
    transport::prepare(socket());
}

void session::beginExchange(std::chrono::milliseconds deliveryLimit)
{
    m_isIdle = false;
    transport::limitDelivery(socket(), deliveryLimit);
}

void session::setIoTimeout(std::chrono::milliseconds timeout)
{
    socket().setReceiveTimeout(timespan(timeout));
    socket().setSendTimeout(timespan(timeout));
}

bool session::reusable()
{
    if (!connected() || buffered() > 0)
        return false;
    // POCO's poll() opens a descriptor and throws if there is none left.
    pollfd watched { socket().impl()->sockfd(), POLLIN, 0 };
    return ::poll(&watched, 1, 0) == 0;
}

session_pool::session_pool(endpoint address)
    : m_address(std::move(address))
{
}

std::unique_ptr<session> session_pool::takeIdle()
{
    const std::lock_guard lock(m_mutex);
    while (!m_idle.empty()) {
        auto last = std::move(m_idle.back());
        m_idle.pop_back();
        if (last->reusable())
            return last;
    }
    return nullptr;
}

std::unique_ptr<session> session_pool::openNew(std::chrono::milliseconds timeout) const
{
    auto opened = std::make_unique<session>(m_address);
    opened->open(timeout);
    return opened;
}

void session_pool::returnIdle(std::unique_ptr<session> idle)
{
    const std::lock_guard lock(m_mutex);
    if (m_idle.size() < maxIdle)
        m_idle.push_back(std::move(idle));
}

void session_pool::clear()
{
    const std::lock_guard lock(m_mutex);
    m_idle.clear();
}

} // namespace pimentomast::http::detail
