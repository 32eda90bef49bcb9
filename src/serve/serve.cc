#include "pimentomast/serve.h"
