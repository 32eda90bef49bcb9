#include "pimentomast/routing.h"
