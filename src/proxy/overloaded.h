#pragma once

namespace pimentomast::proxy::detail {

/// One visitor of several functions.
template <class... Handlers>
struct overloaded : Handlers... {
    using Handlers::operator()...;
};
template <class... Handlers>
overloaded(Handlers...) -> overloaded<Handlers...>;

} // namespace pimentomast::proxy::detail
