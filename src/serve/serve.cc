#include "pimentomast/serve.h"

namespace pimentomast::serve {

int run(const settings::settings&) { return 1; }

} // namespace pimentomast::serve
