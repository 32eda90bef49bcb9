#include "pimentomast/table.h"
