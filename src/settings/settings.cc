#include "pimentomast/settings.h"
