#include "pimentomast/platform.h"
