#include "pimentomast/proxy.h"
