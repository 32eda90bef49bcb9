#include "pimentomast/command.h"
