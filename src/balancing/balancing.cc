#include "pimentomast/balancing.h"
