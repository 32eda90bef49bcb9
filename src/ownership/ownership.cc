#include "pimentomast/ownership.h"
