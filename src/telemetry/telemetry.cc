#include "pimentomast/telemetry.h"
